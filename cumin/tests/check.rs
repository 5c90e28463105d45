//! `cumin check` accepts valid folders and prints each fault of invalid ones.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use cuminspread_platform::standin::store::{RouteRow, config_text};

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

/// Document with two routes, one value a line.
fn document() -> String {
    let routes = [
        RouteRow::default(),
        RouteRow {
            name: "r-2",
            prefix: "/orders/",
            services: vec![("orders", 3), ("status", 1)],
            timeout_s: 4.5,
            latency_target_s: 1.5,
            max_attempts: 3,
            ..RouteRow::default()
        },
    ];
    let text = config_text(3, &routes, 15.0);
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    serde_json::to_string_pretty(&value).expect("JSON")
}

/// Runs the check of a document; `current` is the document that it is compared with.
fn check_document(name: &str, new: &str, current: Option<&str>) -> (Option<i32>, String) {
    let pid = std::process::id();
    let path = |part: &str| std::env::temp_dir().join(format!("cumin-doc-{pid}-{name}.{part}"));
    let (new_path, current_path) = (path("new"), path("current"));
    fs::write(&new_path, new).expect("file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_cumin"));
    command.arg("check").arg(&new_path);
    if let Some(current) = current {
        fs::write(&current_path, current).expect("file");
        command.arg("--against").arg(&current_path);
    }
    let output = command.output().expect("cumin runs");
    for path in [new_path, current_path].iter().filter(|p| p.exists()) {
        fs::remove_file(path).expect("removal");
    }
    (output.status.code(), text(&output))
}

/// Line of the row that holds `value`, from 1.
fn row_line(text: &str, value: &str) -> usize {
    let end = text.find(value).expect(value);
    let start = text[..end].rfind("      [\n").expect("a row");
    text[..start].lines().count() + 1
}

/// A change of the valid document, and what is printed for it.
struct DocumentCase {
    from: &'static str,
    to: &'static str,
    /// Value in the row that is named; empty for the first line.
    row: &'static str,
    fault: &'static str,
    is_error: bool,
}

type Change = (&'static str, &'static str);

fn error((from, to): Change, row: &'static str, fault: &'static str) -> DocumentCase {
    DocumentCase {
        from,
        to,
        row,
        fault,
        is_error: true,
    }
}

fn warning(change: Change, row: &'static str, fault: &'static str) -> DocumentCase {
    DocumentCase {
        is_error: false,
        ..error(change, row, fault)
    }
}

fn route_cases() -> Vec<DocumentCase> {
    vec![
        error(
            ("/orders/\"", "/orders\""),
            "r-2",
            "error: route r-2 prefix: \"/orders\" never matches",
        ),
        error(
            ("\"/orders/\"", "\"/\""),
            "r-1",
            "error: route r-1 prefix: never matches: route r-2",
        ),
        error(
            ("r-2", "r-1"),
            "/orders/",
            "error: route r-1 name: another route",
        ),
        error(
            (
                "\"orders\",\n            \"weight\"",
                "\"gone\",\n            \"weight\"",
            ),
            "r-2",
            "service gone isn't among",
        ),
        error(("\"weight\": 3", "\"weight\": -3"), "r-2", "error: route 2"),
        warning(
            ("\"weight\": 3", "\"weight\": 0"),
            "r-2",
            "service orders gets none",
        ),
        error(("4.5", "0"), "r-2", "timeout_s: no request is answered"),
        error(
            ("4.5", "\"4.5\""),
            "r-2",
            "error: route 2 timeout_s: invalid type",
        ),
        error(
            ("4.5", "null"),
            "r-2",
            "error: route 2: missing field `timeout_s`",
        ),
        error(("1.5", "0"), "r-2", "aim_s: no request is answered"),
        warning(
            ("1.5", "9.5"),
            "r-2",
            "aim_s: 9.5s is above the timeout, 4.5s",
        ),
        error(
            ("        3,", "        300,"),
            "r-2",
            "error: route 2 max_attempts: invalid value",
        ),
    ]
}

fn other_cases() -> Vec<DocumentCase> {
    vec![
        error(("r3", "3"), "", "error: document version: version is \"3\""),
        error(
            ("\"version\"", "\"versoin\""),
            "",
            "missing field `version`",
        ),
        error(
            ("\"/orders/\"", "\"/orders/"),
            "",
            "error: document: control character",
        ),
        error(
            ("260", "0"),
            "260",
            "max_connections: its servers accept no connection",
        ),
        error(
            ("\"/healthz\"", "\"healthz\""),
            "/healthz",
            "\"healthz\" isn't a path",
        ),
        error(
            ("\"header_timeout_s\": 1.0", "\"header_timeout_s\": 0"),
            "",
            "limits header_timeout_s",
        ),
        warning(
            ("\"idle_timeout_s\": 15.0", "\"idle_timeout_s\": 0"),
            "",
            "limits idle_timeout_s",
        ),
        error(
            ("\"max_header_bytes\": 16384", "\"max_header_bytes\": 0"),
            "",
            "limits max_header_bytes",
        ),
    ]
}

#[test]
fn faults_of_documents_are_printed_with_line_and_field() {
    let valid = document();
    assert_eq!(
        check_document("valid", &valid, None),
        (
            Some(0),
            "yes: version 3, 2 routes, 2 services, 0 warnings\n".to_owned(),
        )
    );
    for (i, case) in route_cases().iter().chain(&other_cases()).enumerate() {
        let changed = valid.replacen(case.from, case.to, 1);
        assert_ne!(changed, valid, "{}", case.from);
        let (code, printed) = check_document(&format!("{i}"), &changed, None);
        assert_eq!(
            code,
            Some(i32::from(case.is_error)),
            "{}: {printed}",
            case.to
        );
        let line = printed.lines().find(|l| l.contains(case.fault));
        let line = line.unwrap_or_else(|| panic!("{}: {printed}", case.fault));
        if !case.row.is_empty() {
            let at = format!(".new:{}: ", row_line(&valid, case.row));
            assert!(line.contains(&at), "{at} {printed}");
        }
    }
}

#[test]
fn differences_from_the_version_in_force_are_named_by_meaning() {
    struct Case {
        from: &'static str,
        to: &'static str,
        change: &'static str,
    }
    let case = |from, to, change| Case { from, to, change };
    let cases = [
        case("", "", ""),
        case(
            "/orders/",
            "/o/",
            "route r-2: moved to shop.example/o/ from shop.example/orders/; its requests go to route r-1",
        ),
        case(
            "r-2",
            "r-3",
            "route r-3: added for shop.example/orders/; takes requests from route r-2",
        ),
        case(
            "r-2",
            "r-3",
            "route r-2: removed; its requests go to route r-3",
        ),
        case(
            "\"weight\": 3",
            "\"weight\": 1",
            "route r-2: services orders 50 %, status 50 %, were orders 75 %, status 25 %",
        ),
        case("4.5", "5.5", "route r-2: timeout 5.5s, was 4.5s"),
        case("1.5", "1.6", "route r-2: latency target 1.6s, was 1.5s"),
        case("        3,", "        2,", "route r-2: attempts 2, were 3"),
        case("260", "270", "service orders: connections 270, was 260"),
        case(
            "16384",
            "16385",
            "limits: largest head 16385 bytes, was 16384 bytes",
        ),
    ];
    let current = document();
    for (i, case) in cases.iter().enumerate() {
        let newer = current
            .replacen("r3", "r4", 1)
            .replacen(case.from, case.to, 1);
        let (code, printed) = check_document(&format!("diff-{i}"), &newer, Some(&current));
        assert_eq!(code, Some(0), "{printed}");
        let changes: Vec<&str> = printed
            .lines()
            .filter(|l| l.starts_with("change: "))
            .collect();
        assert_eq!(changes.is_empty(), case.change.is_empty(), "{printed}");
        assert!(printed.contains(case.change), "{}: {printed}", case.change);
    }
    let (code, printed) = check_document("same", &current, Some(&current));
    assert_eq!(code, Some(1), "{printed}");
    assert!(
        printed.contains("3 isn't above 3, the version in force"),
        "{printed}"
    );
}

#[test]
fn changes_of_a_folder_are_named() {
    let folder = std::env::temp_dir().join(format!("cumin-check-{}-against", std::process::id()));
    fs::create_dir_all(&folder).expect("folder");
    for entry in fs::read_dir(example("cascade")).expect("folder") {
        let entry = entry.expect("entry");
        let text = fs::read_to_string(entry.path()).expect("text");
        fs::write(
            folder.join(entry.file_name()),
            text.replace("deadline-ms = 4000", "deadline-ms = 4500"),
        )
        .expect("file");
    }
    let output = Command::new(env!("CARGO_BIN_EXE_cumin"))
        .arg("check")
        .arg(&folder)
        .arg("--against")
        .arg(example("cascade"))
        .output()
        .expect("cumin runs");
    fs::remove_dir_all(&folder).expect("removal");
    assert!(
        text(&output).contains("change: service billing of cascade: deadline 4.5s, was 4s"),
        "{}",
        text(&output)
    );
}
