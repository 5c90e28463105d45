//! Which requests are started before those in front are answered.

use cuminspread::coordination::read_ahead::{AheadLoad, Class, RequestTraits, classify};

const READ: RequestTraits = RequestTraits {
    reads: true,
    plain: true,
    valid: true,
    repeatable: true,
    streams: false,
    closes: false,
};

#[test]
fn only_plain_reads_that_may_be_repeated_are_started() {
    #[rustfmt::skip]
    let cases = [
        (READ, Class::Start),
        (RequestTraits { closes: true, ..READ }, Class::StartLast),
        (RequestTraits { reads: false, ..READ }, Class::Wait),
        (RequestTraits { plain: false, ..READ }, Class::Wait),
        (RequestTraits { valid: false, ..READ }, Class::Wait),
        (RequestTraits { repeatable: false, ..READ }, Class::Wait),
        (RequestTraits { streams: true, ..READ }, Class::Wait),
        (RequestTraits { streams: true, closes: true, ..READ }, Class::Wait),
    ];
    for (traits, class) in cases {
        assert_eq!(classify(&traits), class, "{traits:?}");
    }
}

#[test]
fn room_is_bounded_by_requests_and_bytes() {
    let free = AheadLoad {
        started: 0,
        max_started: 8,
        held: 0,
        max_held: 1000,
        answer: 100,
        serving: true,
    };
    #[rustfmt::skip]
    let cases = [
        (free, true),
        (AheadLoad { started: 7, ..free }, true),
        (AheadLoad { started: 8, ..free }, false),
        (AheadLoad { max_started: 0, ..free }, false),
        (AheadLoad { held: 400, ..free }, true),
        (AheadLoad { held: 401, ..free }, false),
        (AheadLoad { held: usize::MAX, ..free }, false),
        (AheadLoad { serving: false, ..free }, false),
    ];
    for (load, room) in cases {
        assert_eq!(load.has_room(), room, "{load:?}");
    }
}
