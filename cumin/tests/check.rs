//! `cumin check` accepts valid folders and prints each fault of invalid ones.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn check(folder: &Path, json: bool) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cumin"));
    command.arg("check").arg(folder);
    if json {
        command.arg("--json");
    }
    command.output().expect("cumin runs")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../examples/{name}"))
}

#[test]
fn examples_are_accepted() {
    for name in ["vestfjord", "cascade"] {
        let output = check(&example(name), false);
        assert!(output.status.success(), "{}", text(&output));
        assert!(text(&output).starts_with("yes: 1 councils, 3 services"));
    }
}

struct Case {
    name: &'static str,
    file: &'static str,
    text: &'static str,
    fault: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "key",
        file: "10.print.a.ini",
        text: "[council]\nprobe-budgte = 3\n",
        fault: "10.print.a.ini:2: [council] probe-budgte: unknown key",
    },
    Case {
        name: "value",
        file: "10.print.a.ini",
        text: "[council]\nprobe-budget = many\n",
        fault: "10.print.a.ini:2: [council] probe-budget: value \"many\" not allowed",
    },
    Case {
        name: "file",
        file: "print.ini",
        text: "",
        fault: "print.ini: file name not understood",
    },
];

#[test]
fn faults_are_printed_with_file_and_line() {
    for case in CASES {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("cumin-check-{pid}-{}", case.name));
        fs::create_dir_all(&folder).expect("folder");
        fs::write(folder.join(case.file), case.text).expect("file");
        let plain = check(&folder, false);
        let json = check(&folder, true);
        fs::remove_dir_all(&folder).expect("removal");
        assert_eq!(plain.status.code(), Some(1), "{}", case.name);
        assert!(text(&plain).contains(case.fault), "{}", text(&plain));
        assert_eq!(json.status.code(), Some(1), "{}", case.name);
        assert!(text(&json).contains("\"ok\": false"), "{}", text(&json));
    }
}

#[test]
fn a_missing_folder_exits_with_1_and_wrong_arguments_with_2() {
    let output = check(Path::new("/nonexistent/folder"), false);
    assert_eq!(output.status.code(), Some(1));
    let output = Command::new(env!("CARGO_BIN_EXE_cumin"))
        .arg("chekc")
        .output();
    assert_eq!(output.expect("cumin runs").status.code(), Some(2));
}
