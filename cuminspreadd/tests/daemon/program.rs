//! The `cuminspreadd` program: `--check`, and graceful stops by signal and by an operator.

use std::fs;
use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use crate::caller::{request, send};
use crate::temp_path::temp_path;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cuminspreadd");

const SETTINGS: &str = "\
[daemon]
name = vm-1
data_centre = hall
stop_bound_ms = 5000

[platform]
url = http://127.0.0.1:9

[peers]
key = sixteen characters at least
";

fn file(name: &str, text: &str) -> PathBuf {
    let path = temp_path(name);
    fs::write(&path, text).unwrap();
    path
}

fn check(path: &PathBuf) -> Output {
    let mut command = Command::new(PROGRAM);
    command.arg("--settings").arg(path).arg("--check");
    command.output().unwrap()
}

#[test]
fn check_accepts_valid_settings_only() {
    let valid = check(&file("good.ini", SETTINGS));
    assert!(valid.status.success(), "{valid:?}");
    let invalid = check(&file("bad.ini", &SETTINGS.replace("5000", "never")));
    assert_eq!(invalid.status.code(), Some(1));
    let text = String::from_utf8_lossy(&invalid.stderr);
    assert!(
        text.contains("bad.ini:4: [daemon] stop_bound_ms:"),
        "{text}"
    );
    let missing = check(&PathBuf::from("/nonexistent/vm.ini"));
    assert_eq!(missing.status.code(), Some(1));
}

/// Starts the program and waits until it serves; returns its admin address.
fn start(settings: &str) -> (Child, SocketAddr) {
    let mut child = Command::new(PROGRAM)
        .arg("--settings")
        .arg(file(settings, SETTINGS))
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut lines = lines.map(Result::unwrap);
    let started = lines.find(|l| l.contains("event=started")).unwrap();
    let admin = started.split(' ').find_map(|w| w.strip_prefix("admin="));
    let admin = admin.unwrap().parse().unwrap();
    // Drains the pipe, so that the program can't block on it.
    std::thread::spawn(move || lines.for_each(drop));
    (child, admin)
}

#[test]
fn terminates_by_signal() {
    let (mut child, _) = start("signal.ini");
    let mut kill = Command::new("kill");
    let sent = kill.arg("-TERM").arg(child.id().to_string()).status();
    assert!(sent.unwrap().success());
    assert!(child.wait().unwrap().success());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminates_when_drained() {
    let (mut child, admin) = start("drain.ini");
    let res = send(admin, &request("POST", "/drain", "", "")).await;
    assert_eq!(res.status, 202);
    let status = tokio::task::spawn_blocking(move || child.wait()).await;
    assert!(status.unwrap().unwrap().success());
}
