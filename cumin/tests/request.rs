//! `cumin explain-request` finds the log lines of one request and prints the cause of its outcome.

use std::io::Write as _;
use std::process::{Command, Stdio};

const LOG: &str = "\
time_ms=20 level=info event=placed id=a-1 server=i-2 slowness=1.00 report_age_us=300
time_ms=10 level=info event=placed id=a-1 server=i-1 slowness=1.00 report_age_us=90
time_ms=15 level=info event=send_ended id=a-1 server=i-1 cause=refused again=true
time_ms=40 level=info event=request id=a-1 route=r version=7 service=status server=i-2 near=true outcome=served status=200 detail=answer sends=2 runs=1 hedges=0 looks=4 waited_us=2000 took_us=30000
time_ms=50 level=warn event=request id=a-10 route=r version=7 service=orders server= near=false outcome=refused status=503 detail=no_room sends=0 runs=0 hedges=0 looks=9 waited_us=0 took_us=450000
time_ms=55 level=warn event=request id=a-13 route=r version=7 service=orders server=i-3 near=true outcome=refused status=503 detail=no_room sends=2 runs=0 hedges=0 looks=9 waited_us=0 took_us=45000
time_ms=60 level=warn event=request id=a-11 route=r version=7 service=orders server=i-3 near=true outcome=failed status=504 detail=timeout sends=1 runs=1 hedges=0 looks=2 waited_us=900 took_us=2500000
time_ms=70 level=info event=request id=a-12 outcome=no_route version=8
time_ms=75 level=warn event=request id=a-14 outcome=refused detail=crashing sends=0
time_ms=76 level=warn event=request id=a-18 service=orders outcome=refused detail=paused sends=0
time_ms=77 level=warn event=request id=a-19 service=orders outcome=refused detail=limited sends=0
time_ms=78 level=warn event=request id=a-23 route=r service=orders outcome=refused detail=emptied sends=0
time_ms=79 level=warn event=request id=a-24 route=r-home service=orders outcome=refused detail=no_server_in_region sends=0
time_ms=80 level=info event=placed id=a-15 server=i-3 slowness=1.00 report_age_us=90
time_ms=90 level=info event=waits id=a-16 service=orders waiting=3
time_ms=900 level=info event=started name=vm-1 data_centre=hall
time_ms=950 level=info event=placed id=a-17 server=i-3 slowness=1.00 report_age_us=90
time_ms=960 level=info event=request id=a-20 version=8 from=peer service=orders server=i-4 peer= outcome=served status=200 detail=answer last=answer sends=1 runs=1 hedges=0 waited_us=900 took_us=20000
time_ms=960 level=info event=forwarded id=a-20 service=orders peer=10.0.0.2:7215 attempt=1 outcome=ran detail=answer took_us=21000
time_ms=961 level=info event=request id=a-20 version=8 from=caller service=orders server= peer=10.0.0.2:7215 outcome=served status=200 detail=answer last=answer sends=0 runs=0 hedges=0 waited_us=0 took_us=21500
time_ms=970 level=info event=request id=a-21 version=8 from=caller service=orders server= peer=10.0.0.2:7215 outcome=refused status=503 detail=no_server last=not_taken sends=0 runs=0 hedges=0 waited_us=0 took_us=900
time_ms=980 level=info event=request id=a-22 version=8 from=caller service=orders server= peer=10.0.0.2:7215 outcome=failed status=502 detail=peer_lost last=peer_lost sends=0 runs=0 hedges=0 waited_us=0 took_us=900
";

struct Case {
    id: &'static str,
    /// Log lines that are printed.
    lines: usize,
    /// Text that the last line of the output contains.
    cause: &'static str,
    found: bool,
}

const CASES: &[Case] = &[
    Case {
        id: "a-1",
        lines: 4,
        cause: "It was served by i-2; 2 sends, 0 hedges, 2 ms until the first send, 30 ms",
        found: true,
    },
    Case {
        id: "a-10",
        lines: 1,
        cause: "has not run: no server of orders had room in time; 0 sends",
        found: true,
    },
    Case {
        id: "a-23",
        lines: 1,
        cause: "all servers of orders that it may be sent to are in emptied data centres",
        found: true,
    },
    Case {
        id: "a-24",
        lines: 1,
        cause: "no server of orders is in a region that route r-home allows",
        found: true,
    },
    Case {
        id: "a-13",
        lines: 1,
        cause: "that it was sent to refused it, and it could not be sent again; 2 sends",
        found: true,
    },
    Case {
        id: "a-11",
        lines: 1,
        cause: "outcome is unknown: server i-3 had not answered when its time was over",
        found: true,
    },
    Case {
        id: "a-12",
        lines: 1,
        cause: "No route of version 8",
        found: true,
    },
    Case {
        id: "a-14",
        lines: 1,
        cause: "has not run: requests like it crashed servers",
        found: true,
    },
    Case {
        id: "a-18",
        lines: 1,
        cause: "has not run: the servers of orders had asked this daemon for a pause",
        found: true,
    },
    Case {
        id: "a-19",
        lines: 1,
        cause: "has not run: the servers of orders name limits, and this daemon's part was used",
        found: true,
    },
    Case {
        id: "a-15",
        lines: 1,
        cause: "Its outcome is unknown: its daemon ended while server i-3 had it, and started \
                again 820 ms after its last line",
        found: true,
    },
    Case {
        id: "a-16",
        lines: 1,
        cause: "It has not run: its daemon ended before a server had it, and started again \
                810 ms after its last line",
        found: true,
    },
    Case {
        id: "a-17",
        lines: 1,
        cause: "has not ended, or its last line was dropped",
        found: true,
    },
    Case {
        id: "a-20",
        lines: 3,
        cause: "It was served by i-4 through peer 10.0.0.2:7215; 0 sends",
        found: true,
    },
    Case {
        id: "a-21",
        lines: 1,
        cause: "has not run: this daemon reaches no server of orders, and no peer took it",
        found: true,
    },
    Case {
        id: "a-22",
        lines: 1,
        cause: "Its outcome is unknown: peer 10.0.0.2:7215 had it (peer_lost)",
        found: true,
    },
    Case {
        id: "a-2",
        lines: 0,
        cause: "no line names a-2",
        found: false,
    },
];

#[test]
fn causes_of_outcomes() {
    for case in CASES {
        let mut child = Command::new(env!("CARGO_BIN_EXE_cumin"))
            .args(["explain-request", case.id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("cumin runs");
        let mut stdin = child.stdin.take().expect("a pipe");
        stdin.write_all(LOG.as_bytes()).expect("it reads");
        drop(stdin);
        let output = child.wait_with_output().expect("it ends");
        let text = String::from_utf8_lossy(&output.stdout);
        assert_eq!(output.status.success(), case.found, "{text}");
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(lines.len(), case.lines + 1, "{text}");
        assert!(lines[case.lines].contains(case.cause), "{text}");
        let times = lines[..case.lines].iter().map(|l| l.split(' ').next());
        assert!(times.is_sorted(), "{text}");
    }
}
