//! Cases of the second review: stand-ins of the platform's store, targets and clients, and daemons as
//! separate processes.
//!
//! `standin-2 CASE FOLDER SCRATCH` writes `record.txt` in the folder and ends with 1 if the rule was
//! broken, 0 if it held and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out. Settings
//! and logs of the daemons and the ids of their processes are kept in the scratch folder.

mod ahead;
mod client;
mod crashing;
mod daemon;
mod gone;
mod http;
mod leaving;
mod record;
mod store;
mod target;

use std::path::PathBuf;
use std::process::exit;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, scratch] = args.as_slice() else {
        eprintln!("usage: standin-2 CASE FOLDER SCRATCH");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let scratch = PathBuf::from(scratch);
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    let verdict = match case.as_str() {
        "ahead" => ahead::run(&record, &scratch, trouble),
        "crashing" => crashing::run(&record, &scratch, trouble),
        "gone" => gone::run(&record, &scratch, trouble),
        "leaving" => leaving::run(&record, &scratch, trouble),
        _ => Verdict::NotRun,
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::NotRun => (2, "the case couldn't run"),
    };
    record.note(text);
    println!("{text}");
    exit(code);
}
