//! Messages between daemons.
//!
//! Variants are only ever added at the end; a daemon ignores a variant that it does not know.

use serde::{Deserialize, Serialize};

use crate::protocol::member::MemberMessage;
use crate::protocol::news::NewsMessage;
use crate::protocol::spread::SpreadMessage;

/// One message to a peer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Liveness and the published list.
    Member(MemberMessage),
    /// Configuration.
    Spread(SpreadMessage),
    /// Leaving servers and crashing requests.
    News(NewsMessage),
}
