//! Order of requests that wait, under a burst that servers can't take.

use std::time::Duration;

use cuminspread::coordination::refusal::{RefusalReason, retry_after};
use cuminspread::coordination::wait_queue::{QueuedRequest, WaitQueue};
use cuminspread::state::time::Mono;
use rand_pcg::Pcg32;

fn at(ms: u64) -> Mono {
    Mono(ms * 1000)
}

fn claim(latest: u64, priority: u8) -> QueuedRequest {
    QueuedRequest {
        latest_start: at(latest),
        priority,
        latency_target: Duration::from_millis(400),
    }
}

struct Case {
    what: &'static str,
    claims: Vec<QueuedRequest>,
    now: u64,
    /// Positions in `claims` in the order in which they are sent.
    order: Vec<usize>,
}

#[test]
fn order() {
    let cases = [
        Case {
            what: "the one that must start first goes first",
            claims: vec![claim(300, 0), claim(200, 0)],
            now: 0,
            order: vec![1, 0],
        },
        Case {
            what: "a rank moves a request back by a quarter of its aim",
            claims: vec![claim(200, 1), claim(250, 0), claim(350, 0)],
            now: 0,
            order: vec![1, 0, 2],
        },
        Case {
            what: "a less urgent request that has waited isn't passed for ever",
            claims: vec![claim(200, 2), claim(450, 0)],
            now: 0,
            order: vec![0, 1],
        },
        Case {
            what: "what is late anyway goes last",
            claims: vec![claim(100, 0), claim(400, 2)],
            now: 150,
            order: vec![1, 0],
        },
        Case {
            what: "late ones keep their order",
            claims: vec![claim(100, 0), claim(50, 0)],
            now: 150,
            order: vec![1, 0],
        },
    ];
    for case in cases {
        let mut line = WaitQueue::default();
        let joined: Vec<_> = case
            .claims
            .iter()
            .map(|c| (line.push(at(0), *c), *c))
            .collect();
        let mut order = Vec::new();
        while let Some(head) = line.head(at(case.now)) {
            let i = joined.iter().position(|(t, _)| *t == head);
            let i = i.expect("a ticket that joined");
            line.remove(head, &joined[i].1);
            order.push(i);
        }
        assert_eq!(order, case.order, "{}", case.what);
        assert!(line.is_empty());
    }
}

#[test]
fn arrivals_do_not_pass_those_that_wait() {
    struct Case {
        arrives: QueuedRequest,
        behind: bool,
    }
    let mut line = WaitQueue::default();
    assert!(!line.must_wait(at(0), &claim(100, 0)));
    line.push(at(0), claim(300, 0));
    let cases = [
        Case {
            arrives: claim(400, 0),
            behind: true,
        },
        Case {
            arrives: claim(200, 0),
            behind: false,
        },
        Case {
            arrives: claim(200, 2),
            behind: true,
        },
    ];
    for case in cases {
        let behind = line.must_wait(at(0), &case.arrives);
        assert_eq!(behind, case.behind, "{:?}", case.arrives);
    }
}

/// A burst of 1.5 times what is served, over 2 s: those that are served are served in time.
#[test]
fn a_burst_is_served_in_time_or_late_but_not_all_late() {
    const SERVED_EVERY_MS: u64 = 30;
    const ARRIVES_EVERY_MS: u64 = 20;
    const SLACK_MS: u64 = 250;
    let mut line = WaitQueue::default();
    let mut waiting = Vec::new();
    let (mut sent, mut in_time) = (0, 0);
    for ms in 0..2000 {
        if ms % ARRIVES_EVERY_MS == 0 {
            let c = claim(ms + SLACK_MS, 0);
            waiting.push((line.push(at(ms), c), c));
        }
        if ms % SERVED_EVERY_MS == 0
            && let Some(head) = line.head(at(ms))
        {
            let i = waiting.iter().position(|(t, _)| *t == head);
            let (ticket, c) = waiting.swap_remove(i.expect("a ticket that joined"));
            line.remove(ticket, &c);
            line.record_sent(at(ms));
            sent += 1;
            in_time += usize::from(c.latest_start >= at(ms));
        }
    }
    // In order of arrival alone, all would be late from the first quarter on.
    assert!(in_time * 10 >= sent * 9, "{in_time} of {sent} in time");
    let last = claim(2000 + SLACK_MS, 0);
    let wait = line
        .expected_wait(at(2000), &last)
        .expect("sends were seen");
    // No more than arrive within the slack wait in time, and each takes its turn.
    let most = (SLACK_MS / ARRIVES_EVERY_MS + 1) * SERVED_EVERY_MS;
    assert!(wait <= Duration::from_millis(most), "{wait:?}");
    let late = claim(1000, 0);
    let wait = line
        .expected_wait(at(2000), &late)
        .expect("sends were seen");
    assert!(wait >= Duration::from_millis(SLACK_MS / 2), "{wait:?}");
}

#[test]
fn refused_callers_come_back_spread() {
    struct Case {
        cause: RefusalReason,
        work: u64,
        least: u64,
        most: u64,
    }
    let cases = [
        Case {
            cause: RefusalReason::NoRoom,
            work: 300,
            least: 75,
            most: 225,
        },
        Case {
            cause: RefusalReason::NoRoom,
            work: 30_000,
            least: 1000,
            most: 1000,
        },
        Case {
            cause: RefusalReason::NoConfiguration,
            work: 0,
            least: 100,
            most: 300,
        },
        Case {
            cause: RefusalReason::Stopping,
            work: 300,
            least: 50,
            most: 75,
        },
    ];
    let mut rng = Pcg32::new(1, 1);
    for case in cases {
        let work = Duration::from_millis(case.work);
        let all: Vec<Duration> = (0..200)
            .map(|_| retry_after(case.cause, work, &mut rng))
            .collect();
        let (least, most) = (all.iter().min(), all.iter().max());
        assert!(
            least >= Some(&Duration::from_millis(case.least)),
            "{least:?}"
        );
        assert!(most <= Some(&Duration::from_millis(case.most)), "{most:?}");
        if case.least < case.most {
            let span = |d: Option<&Duration>| d.copied().unwrap_or_default();
            let spread = span(most).saturating_sub(span(least));
            let wanted = Duration::from_millis((case.most - case.least) * 3 / 4);
            assert!(spread > wanted, "{:?}: {spread:?}", case.cause);
        }
    }
}
