//! Parsing of the operators' folder: the examples, every kind of fault, limits, and mutated text.

use std::path::Path;
use std::sync::Arc;

use cuminspread::state::Name;
use cuminspread::state::folder::{
    FolderFile, MAX_FAULTS, MAX_FILE_BYTES, MAX_SERVERS, council_of, parse_council, parse_folder,
};
use cuminspread::transport::directory::read_folder;
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn file(name: &str, text: &str) -> FolderFile {
    FolderFile {
        name: Name::new(name),
        text: Arc::from(text),
    }
}

fn example(name: &str) -> Vec<FolderFile> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    read_folder(&root.join(name)).unwrap()
}

struct Example {
    folder: &'static str,
    servers: [usize; 3],
    slots: u32,
}

#[test]
fn examples_have_the_stated_sizes() {
    let cases = [
        Example {
            folder: "vestfjord",
            servers: [20, 10, 7],
            slots: 6,
        },
        Example {
            folder: "cascade",
            servers: [20, 10, 6],
            slots: 2,
        },
    ];
    for case in cases {
        let parsed = parse_folder(&example(case.folder));
        assert_eq!(parsed.all_faults().count(), 0, "{}", case.folder);
        let config = parsed.councils[case.folder].as_ref().unwrap();
        let sizes: Vec<_> = config.services.iter().map(|s| s.servers.len()).collect();
        assert_eq!(sizes, case.servers);
        let servers = config.services.iter().flat_map(|s| &s.servers);
        assert!(
            servers
                .clone()
                .all(|s| s.slots == case.slots && s.connections == 250)
        );
        let mut centres: Vec<_> = servers.map(|s| &s.data_centre).collect();
        centres.sort();
        centres.dedup();
        assert_eq!(centres.len(), 3);
    }
}

const SERVICE: &str = "[service a]\n[route a r]\npath = /\nidempotent = yes\n";

struct FaultCase {
    text: &'static str,
    line: u32,
    message: &'static str,
}

const FAULTS: &[FaultCase] = &[
    FaultCase {
        text: "[servise a]",
        line: 1,
        message: "[servise a] unknown section; did you mean service?",
    },
    FaultCase {
        text: "[service other/a]",
        line: 1,
        message: "wrong section title; allowed: [service NAME]",
    },
    FaultCase {
        text: "[council other]\nprobe-budget = 9",
        line: 1,
        message: "the file's name says whose it is",
    },
    FaultCase {
        text: "[shared]\nprobe-budget = 9",
        line: 1,
        message: "[shared] unknown section",
    },
    FaultCase {
        text: "probe-budget = 3",
        line: 1,
        message: "line not understood",
    },
    FaultCase {
        text: "[council]\nnonsense",
        line: 2,
        message: "[council] line not understood: \"nonsense\"",
    },
    FaultCase {
        text: "[council]\nprobe-budgit = 3",
        line: 2,
        message: "[council] probe-budgit: unknown key; did you mean probe-budget?",
    },
    FaultCase {
        text: "[council]\nprobe-budget = -1",
        line: 2,
        message: "[council] probe-budget: value \"-1\" not allowed; allowed: a number a second",
    },
    FaultCase {
        text: "[council]\nprobe-budget = NaN",
        line: 2,
        message: "value \"NaN\" not allowed",
    },
    FaultCase {
        text: "[council]\nprobe-budget = 1\n\nprobe-budget = 2",
        line: 4,
        message: "key is repeated, first at line 2",
    },
    FaultCase {
        text: "[council]\n[council]",
        line: 2,
        message: "section is repeated in this file, first at line 1",
    },
    FaultCase {
        text: "[service a]\ndeadline-ms = 9",
        line: 2,
        message: "allowed: a whole number from 10 to 600000",
    },
    FaultCase {
        text: "[service a]\nrefused-statuses = 200",
        line: 2,
        message: "HTTP statuses from 400 to 599",
    },
    FaultCase {
        text: "[service a]\nhost = a/b",
        line: 2,
        message: "a host name or IP number without port",
    },
    FaultCase {
        text: "[route a r]\npath = /\nidempotent = yes",
        line: 1,
        message: "no [service a] in this council's files",
    },
    FaultCase {
        text: "[service a]\n[route a r]\npath = x\nidempotent = yes",
        line: 3,
        message: "path: value \"x\" not allowed; allowed: a path that starts with '/'",
    },
    FaultCase {
        text: "[service a]\n[route a r]\npath = /a*\nidempotent = yes",
        line: 3,
        message: "value \"/a*\" not allowed",
    },
    FaultCase {
        text: "[service a]\n[route a r]\npath = /",
        line: 2,
        message: "idempotent: required key is missing; allowed: yes or no",
    },
    FaultCase {
        text: "[service a]\n[route a r]\npath = /\nidempotent = maybe",
        line: 4,
        message: "value \"maybe\" not allowed; allowed: yes or no",
    },
    FaultCase {
        text: "[service a]\n[server a s]\naddress = host:80\ndata-centre = d",
        line: 3,
        message: "allowed: IP number and port",
    },
    FaultCase {
        text: "[service a]\n[server a s]\naddress = 10.0.0.1:0\ndata-centre = d",
        line: 3,
        message: "value \"10.0.0.1:0\" not allowed",
    },
    FaultCase {
        text: "[service a]\n[server a s]\naddress = 10.0.0.1:80\ndata-centre = d\n\
                   [server a t]\naddress = 10.0.0.1:80\ndata-centre = d",
        line: 6,
        message: "value is already used by [server a s]",
    },
    FaultCase {
        text: "[service a]\n[server a s]\naddress = 10.0.0.1:80\ndata-centre = d\nslots = 0",
        line: 5,
        message: "slots: value \"0\" not allowed; allowed: a whole number from 1 to 4096",
    },
];

#[test]
fn faults_have_file_line_section_key_and_allowed_values() {
    for case in FAULTS {
        let files = [file("10.north.a.ini", case.text)];
        let faults = parse_council(&Name::new("north"), &files).unwrap_err();
        let found = faults.iter().any(|f| {
            f.line == case.line
                && f.file == "10.north.a.ini"
                && f.to_string().contains(case.message)
        });
        assert!(found, "{:?} gave {faults:#?}", case.text);
    }
}

struct NameCase {
    name: &'static str,
    council: Option<&'static str>,
}

#[test]
fn file_names_determine_the_council() {
    let cases = [
        NameCase {
            name: "10.north.orders.ini",
            council: Some("north"),
        },
        NameCase {
            name: "x.north.orders.ini",
            council: None,
        },
        NameCase {
            name: "10.north.ini",
            council: None,
        },
        NameCase {
            name: "10.north.or.ders.ini",
            council: None,
        },
        NameCase {
            name: "10.North.orders.ini",
            council: None,
        },
        NameCase {
            name: "10./../north.orders.ini",
            council: None,
        },
        NameCase {
            name: "",
            council: None,
        },
    ];
    for case in cases {
        assert_eq!(council_of(case.name), case.council, "{}", case.name);
    }
    let parsed = parse_folder(&[file("orders.ini", "")]);
    let fault = parsed.all_faults().next().unwrap().to_string();
    assert!(fault.contains("ORDER.COUNCIL.TOPIC.ini"), "{fault}");
}

#[test]
fn later_files_override_keys_of_earlier_ones() {
    let first = format!("[council]\nprobe-budget = 1\nmax-in-flight = 7\n{SERVICE}");
    let files = [
        file("20.north.b.ini", "[council]\nprobe-budget = 2\n"),
        file("10.north.a.ini", &first),
    ];
    let parsed = parse_folder(&files);
    let config = parsed.councils["north"].as_ref().unwrap();
    assert_eq!((config.probe_budget, config.max_in_flight), (2.0, 7));
    assert_eq!(config.services.len(), 1);
}

#[test]
fn a_faulty_council_does_not_affect_other_councils() {
    let files = [
        file("10.north.a.ini", SERVICE),
        file("10.south.a.ini", "[service"),
    ];
    let parsed = parse_folder(&files);
    assert!(parsed.councils["north"].is_ok());
    assert!(parsed.councils["south"].is_err());
}

#[test]
fn budgets_above_the_shared_budget_are_scaled_down_and_reported() {
    let files = [
        file("00.shared.a.ini", "[shared]\nprobe-budget = 10"),
        file("10.north.a.ini", "[council]\nprobe-budget = 15"),
        file("10.south.a.ini", "[council]\nprobe-budget = 5"),
    ];
    let parsed = parse_folder(&files);
    let fault = parsed.all_faults().next().unwrap().to_string();
    assert!(
        fault.contains("sum up to 20/s, above the shared 10/s"),
        "{fault}"
    );
    let shared = parsed.shared.as_ref().unwrap();
    let north = parsed.councils["north"].as_ref().unwrap();
    let factor = shared.budget_factor([15.0, 5.0].into_iter());
    assert!((shared.apply(north, factor).probe_budget - 7.5).abs() < 1e-9);
}

#[test]
fn a_reserved_host_is_refused_to_other_councils() {
    let service = "[service a]\nhost = Print.example\n[route a r]\npath = /\nidempotent = yes";
    let files = [
        file("00.shared.a.ini", "[reserve north]\nhosts = print.EXAMPLE"),
        file("10.north.a.ini", service),
        file("10.south.a.ini", service),
    ];
    let parsed = parse_folder(&files);
    let faults: Vec<_> = parsed.all_faults().map(ToString::to_string).collect();
    assert_eq!(faults.len(), 1);
    assert!(faults[0].contains("host is reserved for council north"));
    let shared = parsed.shared.as_ref().unwrap();
    let services = |council: &str| {
        let config = parsed.councils[council].as_ref().unwrap();
        shared.apply(config, 1.0).services.len()
    };
    assert_eq!((services("north"), services("south")), (1, 0));
}

#[test]
fn limits_of_files_servers_and_faults_apply() {
    let large = "; ".repeat(MAX_FILE_BYTES);
    let mut many_servers = String::from(SERVICE);
    for i in 0..=MAX_SERVERS {
        let port = i + 1;
        let server = format!("[server a s{i}]\naddress = 10.0.0.1:{port}\ndata-centre = d\n");
        many_servers.push_str(&server);
    }
    let nonsense = "nonsense\n".repeat(1000);
    for (text, message) in [
        (large.as_str(), "too many bytes in a"),
        (
            many_servers.as_str(),
            "too many servers of a service; allowed: up to 256",
        ),
        (nonsense.as_str(), "line not understood"),
    ] {
        let files = [file("10.north.a.ini", text)];
        let faults = parse_council(&Name::new("north"), &files).unwrap_err();
        assert!(faults.len() <= MAX_FAULTS);
        assert!(
            faults.iter().any(|f| f.to_string().contains(message)),
            "{message}"
        );
    }
}

/// An example folder with up to nine random edits of texts and file names.
#[derive(Debug, Clone)]
struct Mutated(Vec<FolderFile>);

/// Texts that an edit inserts.
const SPLICES: [&str; 8] = [
    "[",
    "]",
    "=",
    "\r\n",
    "\0",
    "é",
    "[server status x]\n",
    "99999999999",
];

impl Arbitrary for Mutated {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut files = example("vestfjord");
        for _ in 0..=usize::arbitrary(g) % 9 {
            let at = usize::arbitrary(g) % files.len();
            let f = &mut files[at];
            let mut text: Vec<char> = f.text.chars().collect();
            let from = usize::arbitrary(g) % (text.len() + 1);
            let to = (from + usize::arbitrary(g) % 40).min(text.len());
            let splice = g.choose(&SPLICES).copied().unwrap_or_default();
            text.splice(from..to, splice.chars());
            f.text = Arc::from(String::from_iter(text));
            if u8::arbitrary(g).is_multiple_of(8) {
                f.name = Name::new(String::arbitrary(g));
            }
        }
        Self(files)
    }
}

/// Whether parsing reports a bounded number of faults and gives the same result twice.
fn parses_within_bounds(mutated: &Mutated) -> bool {
    let parsed = parse_folder(&mutated.0);
    let max_faults = MAX_FAULTS * (parsed.councils.len() + 2) + mutated.0.len();
    let again = parse_folder(&mutated.0);
    parsed.all_faults().count() <= max_faults && parsed.councils == again.councils
}

#[test]
fn mutated_folders_are_accepted_or_refused_within_bounds() {
    let check: fn(Mutated) -> bool = |mutated| parses_within_bounds(&mutated);
    QuickCheck::new().tests(300).quickcheck(check);
}
