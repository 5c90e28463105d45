//! The program in store mode: its settings, signals and log.

use std::fs;
use std::io::{BufRead as _, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::store::RouteRow;
use cuminspreadd::settings::file;
use tokio::sync::mpsc;

use crate::caller;
use crate::fixture::{Fixture, wait_for};
use crate::temp_path::temp_path;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cuminspreadd");

/// Settings of a program with this store.
pub fn settings(fixture: &Fixture, front: u16) -> String {
    format!(
        "[daemon]\nname = vm-1\ndata_centre = here\n\n[listen]\nfront = 127.0.0.1:{front}\n\n\
         [store]\naddress = {}\n\n[peers]\nseeds =\nfirst_start = false\n\n\
         [bounds]\ngrace_s = 6\nretry_ratio = 0.2\nretry_slack = 64.5\nhedge_ratio = 0.05\nlooks_per_s = 60\n",
        fixture.store.address()
    )
}

#[test]
fn faults_name_file_and_line() {
    struct Case {
        line: &'static str,
        fault: &'static str,
    }
    let cases = [
        Case {
            line: "[store]\naddress = nowhere",
            fault: "vm.ini:2: [store] address:",
        },
        Case {
            line: "[bounds]\ngrace_s = -1",
            fault: "vm.ini:2: [bounds] grace_s:",
        },
        Case {
            line: "[bounds]\nretry_ratio = 2",
            fault: "vm.ini:2: [bounds] retry_ratio:",
        },
        Case {
            line: "[bounds]\nretry_slack = many",
            fault: "vm.ini:2: [bounds] retry_slack:",
        },
        Case {
            line: "[bounds]\nhedge_ratio = 5%",
            fault: "vm.ini:2: [bounds] hedge_ratio:",
        },
        Case {
            line: "[bounds]\nretry_ratio = 0.04\nhedge_ratio = 0.05",
            fault: "vm.ini:3: [bounds] hedge_ratio: is above retry_ratio",
        },
        Case {
            line: "[peers]\nfirst_start = maybe",
            fault: "vm.ini:2: [peers] first_start:",
        },
        Case {
            line: "[peers]\nseeds = 10.0.0.1:1, nowhere",
            fault: "vm.ini:2: [peers] seeds:",
        },
        Case {
            line: "[listen]\nforward = 7215",
            fault: "vm.ini:2: [listen] forward:",
        },
        Case {
            line: "[servers]\nsource = 10.0.0.1:80",
            fault: "vm.ini:2: [servers] source:",
        },
        Case {
            line: "[store]\nurl = x",
            fault: "vm.ini:2: [store] url: unknown key; allowed: address",
        },
    ];
    for case in cases {
        let faults = file::parse("vm.ini", case.line).unwrap_err().to_string();
        assert!(faults.contains(case.fault), "{faults}");
    }
}

/// Starts the program with these settings; the channel receives the lines that it logs.
pub fn start(name: &str, text: &str) -> (Child, mpsc::UnboundedReceiver<String>, PathBuf) {
    let path = temp_path(name);
    fs::write(&path, text).unwrap();
    let mut child = Command::new(PROGRAM)
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let out = BufReader::new(child.stdout.take().unwrap());
    let (tx, rx) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in out.lines().map_while(Result::ok) {
            let _ = tx.send(line);
        }
    });
    (child, rx, path)
}

/// Waits for the next line that contains `what`.
pub async fn line_with(rx: &mut mpsc::UnboundedReceiver<String>, what: &str) -> String {
    let read = async {
        while let Some(line) = rx.recv().await {
            if line.contains(what) {
                return line;
            }
        }
        panic!("the program ended without {what}");
    };
    let read = tokio::time::timeout(caller::WAIT_TIMEOUT, read).await;
    read.unwrap_or_else(|_| panic!("no line with {what}"))
}

fn signal(child: &Child, name: &str) {
    let status = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(child.id().to_string())
        .status()
        .unwrap();
    assert!(status.success());
}

#[tokio::test]
async fn serves_logs_reloads_and_stops() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let (mut child, mut rx, path) = start("edge.ini", &settings(&fixture, 0));
    let started = line_with(&mut rx, "event=started").await;
    let front = started.split("front=").nth(1).unwrap();
    let front = front.split(' ').next().unwrap().parse().unwrap();
    line_with(&mut rx, "event=in_force version=3").await;
    let req = ClientRequest {
        id: "order-77",
        ..ClientRequest::default()
    };
    wait_for("a response", async || {
        caller::send(front, &req.text()).await.status == 200
    })
    .await;
    let placed = line_with(&mut rx, "event=placed id=order-77").await;
    assert!(placed.contains("slowness=1.00"), "{placed}");
    let line = line_with(&mut rx, "event=request id=order-77").await;
    for field in [
        "route=r-1",
        "version=3",
        "server=i-0",
        "outcome=served",
        "report_age_us=",
    ] {
        assert!(line.contains(field), "{line}");
    }
    let changed = settings(&fixture, 0).replace("seeds =", "seeds = 127.0.0.1:9");
    fs::write(&path, &changed).unwrap();
    signal(&child, "HUP");
    line_with(&mut rx, "event=reloaded seeds=1").await;
    // A changed file is also read without a signal.
    fs::write(
        &path,
        changed.replace("127.0.0.1:9", "127.0.0.1:9, 127.0.0.2:9"),
    )
    .unwrap();
    line_with(&mut rx, "event=reloaded seeds=2").await;
    fs::write(&path, changed.replace("grace_s = 6", "grace_s = six")).unwrap();
    signal(&child, "HUP");
    let refused = line_with(&mut rx, "event=reload_refused").await;
    assert!(refused.contains("edge.ini:16"), "{refused}");
    signal(&child, "TERM");
    line_with(&mut rx, "event=stopping").await;
    line_with(&mut rx, "event=stopped whole=true").await;
    assert!(child.wait().unwrap().success());
}
