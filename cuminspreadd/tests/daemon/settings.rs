//! Valid and invalid settings files.

use std::time::Duration;

use cuminspreadd::settings::file::parse;

const VALID: &str = "\
; one daemon
[daemon]
name = vm-1
data_centre = hall
stop_bound_ms = 1500

[platform]
url = http://127.0.0.1:8500/

[peers]
key = sixteen characters at least
";

struct Case {
    name: &'static str,
    /// Text in the valid file that `to` replaces.
    from: &'static str,
    to: &'static str,
    line: usize,
    section: &'static str,
    key: &'static str,
    problem: &'static str,
}

#[test]
fn valid_settings_are_parsed() {
    let settings = parse("vm.ini", VALID).unwrap();
    assert_eq!(settings.name, "vm-1");
    assert_eq!(settings.stop_bound, Duration::from_millis(1500));
    assert_eq!(settings.platform, "http://127.0.0.1:8500");
    assert_eq!(settings.peer_keys.len(), 1);
}

#[test]
fn regions_of_data_centres_are_parsed() {
    let text = VALID.replace("[platform]\nurl = http://127.0.0.1:8500/", "");
    let store = "[store]\naddress = 127.0.0.1:8384\n";
    let regions = "[regions]\nhall = north\nyard.2 = south\n";
    let parsed = parse("vm.ini", &format!("{text}{store}{regions}")).unwrap();
    let regions = parsed.edge.unwrap().regions;
    let regions = regions.iter().map(|(d, r)| (&**d, &**r));
    assert!(regions.eq([("hall", "north"), ("yard.2", "south")]));
    let parsed = parse("vm.ini", &format!("{text}{store}[regions]\nhall =\n"));
    let faults = parsed.unwrap_err().0;
    assert_eq!(faults[0].section, "regions");
    assert_eq!(faults[0].key, "hall");
}

type Change = (&'static str, &'static str);
type Location = (usize, &'static str, &'static str);

fn case(name: &'static str, change: Change, location: Location, problem: &'static str) -> Case {
    let (from, to) = change;
    let (line, section, key) = location;
    Case {
        name,
        from,
        to,
        line,
        section,
        key,
        problem,
    }
}

/// A line of the valid file that may be replaced.
const STOP_BOUND_LINE: &str = "stop_bound_ms = 1500";

fn structure() -> Vec<Case> {
    vec![
        case(
            "unknown section",
            ("[platform]", "[platforms]"),
            (7, "platforms", ""),
            "allowed: daemon, listen",
        ),
        case(
            "unknown key",
            (STOP_BOUND_LINE, "stop = 1"),
            (5, "daemon", "stop"),
            "allowed: name, data_centre",
        ),
        case(
            "missing key",
            ("name = vm-1", ""),
            (0, "daemon", "name"),
            "required",
        ),
        case(
            "given twice",
            (STOP_BOUND_LINE, "name = vm-2"),
            (5, "daemon", "name"),
            "first in line 3",
        ),
        case(
            "no value",
            (STOP_BOUND_LINE, "workers"),
            (5, "daemon", "workers"),
            "KEY = VALUE",
        ),
        case(
            "broken header",
            ("[platform]", "[platform"),
            (7, "daemon", ""),
            "[NAME]",
        ),
        case(
            "before any section",
            ("; one daemon", "workers = 2"),
            (1, "", "workers"),
            "before any section",
        ),
    ]
}

fn values() -> Vec<Case> {
    vec![
        case(
            "empty name",
            ("name = vm-1", "name ="),
            (3, "daemon", "name"),
            "letters",
        ),
        case(
            "bad name",
            ("vm-1", "vm 1"),
            (3, "daemon", "name"),
            "letters",
        ),
        case(
            "no number",
            ("1500", "soon"),
            (5, "daemon", "stop_bound_ms"),
            "from 1 to 3600000",
        ),
        case(
            "number out of range",
            ("1500", "0"),
            (5, "daemon", "stop_bound_ms"),
            "from 1 to 3600000",
        ),
        case(
            "negative number",
            (STOP_BOUND_LINE, "max_depth = -1"),
            (5, "daemon", "max_depth"),
            "from 0 to 64",
        ),
        case(
            "bad address",
            (STOP_BOUND_LINE, "[listen]\nfront = localhost"),
            (6, "listen", "front"),
            "IP:PORT",
        ),
        case(
            "bad url",
            ("http://127.0.0.1:8500/", "127.0.0.1:8500"),
            (8, "platform", "url"),
            "http://HOST:PORT",
        ),
        case(
            "short key",
            ("sixteen characters at least", "short"),
            (11, "peers", "key"),
            "at least 16",
        ),
        case(
            "bad level",
            (STOP_BOUND_LINE, "[log]\nlevel = loud"),
            (6, "log", "level"),
            "off, error",
        ),
        case(
            "bad size",
            (STOP_BOUND_LINE, "[callers]\nmax_head = 10"),
            (6, "callers", "max_head"),
            "from 8192",
        ),
        case(
            "bad time",
            (STOP_BOUND_LINE, "[servers]\nlive_window_ms = 1s"),
            (6, "servers", "live_window_ms"),
            "from 1 to",
        ),
    ]
}

#[test]
fn faults_name_line_section_and_key() {
    for case in structure().into_iter().chain(values()) {
        let text = VALID.replacen(case.from, case.to, 1);
        assert_ne!(text, VALID, "{}", case.name);
        let faults = parse("vm.ini", &text).unwrap_err();
        let found = faults.0.iter().any(|fault| {
            fault.file == "vm.ini"
                && fault.line == case.line
                && fault.section == case.section
                && fault.key == case.key
                && fault.problem.contains(case.problem)
        });
        assert!(found, "{}: {faults}", case.name);
    }
}

#[test]
fn keys_without_use_in_store_mode_are_refused_by_line() {
    const STORE: &str =
        "[daemon]\nname = vm-1\ndata_centre = hall\n[store]\naddress = 10.0.0.1:8384\n";
    let cases = [
        ("[traces]\notlp = http://127.0.0.1:4318\n", "traces", "otlp"),
        ("[traces]\nfile = /tmp/spans\n", "traces", "file"),
        ("[log]\nrecord = /tmp/recording\n", "log", "record"),
    ];
    assert!(parse("vm.ini", STORE).is_ok());
    for (added, section, key) in cases {
        let faults = parse("vm.ini", &format!("{STORE}{added}")).unwrap_err();
        let found = faults.0.iter().any(|fault| {
            (fault.line, &*fault.section, &*fault.key) == (7, section, key)
                && fault.problem.contains("[store]")
        });
        assert!(found, "{section} {key}: {faults}");
    }
}

#[test]
fn shares_of_a_core_are_rounded_to_percents() {
    let cases = (0..=100).map(|percent| (f64::from(percent) / 100.0, percent));
    for (share, percent) in cases.chain([(0.125, 13), (0.996, 100)]) {
        let text = format!(
            "[daemon]\nname = vm-1\ndata_centre = hall\n[store]\naddress = 10.0.0.1:8384\n[peers]\n\
             core_share = {share}\n"
        );
        let edge = parse("vm.ini", &text).unwrap().edge.unwrap();
        assert_eq!(edge.capacity, percent, "{share}");
    }
}
