//! Messages between the daemons of a published VM list.
//!
//! New variants go at the end, as postcard encodes a variant by its index. A daemon ignores
//! messages with a variant that it does not know.

use serde::{Deserialize, Serialize};

use crate::protocol::member::MemberMessage;
use crate::protocol::news::NewsMessage;
use crate::protocol::spread::SpreadMessage;

/// One message to a peer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Liveness and the VM list.
    Member(MemberMessage),
    /// Stamps and files of the councils' configuration, and requests for them.
    Spread(SpreadMessage),
    /// Leaving servers and crashing requests.
    News(NewsMessage),
}
