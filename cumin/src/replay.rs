//! `cumin replay`: runs a daemon's recording through the decision code of this version.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context as _;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use cuminspread::recording::{Compare, Difference, Replay, replay};

/// Command-line definition of `cumin replay`.
pub(crate) fn command() -> Command {
    Command::new("replay")
        .about("Runs a recording through the decision code and reports the first difference")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("outcomes")
                .long("outcomes")
                .action(ArgAction::SetTrue)
                .help("Compare only outcomes: for a recording of another version of the program"),
        )
}

#[derive(Serialize)]
struct ReplayReport {
    name: String,
    incarnation: u64,
    events: u64,
    promises_broken: u64,
    damage: Option<String>,
    difference: Option<DifferenceReport>,
}

#[derive(Serialize)]
struct DifferenceReport {
    event_index: u64,
    at_us: u64,
    event: String,
    action_index: usize,
    recorded: Option<String>,
    replayed: Option<String>,
}

impl DifferenceReport {
    fn new(difference: &Difference) -> Self {
        Self {
            event_index: difference.event_index,
            at_us: difference.now.mono.0,
            event: difference.event.clone(),
            action_index: difference.action_index,
            recorded: difference.recorded.clone(),
            replayed: difference.replayed.clone(),
        }
    }
}

/// Replays the recording; the exit status is 1 if there is a difference or a broken invariant.
pub(crate) fn run(args: &ArgMatches, json: bool) -> anyhow::Result<ExitCode> {
    let Some(path) = args.get_one::<PathBuf>("file") else {
        anyhow::bail!("no file");
    };
    let source = || path.display().to_string();
    let recording = std::fs::read(path).with_context(source)?;
    let compare = if args.get_flag("outcomes") {
        Compare::Outcomes
    } else {
        Compare::Actions
    };
    let replayed = replay(&recording, compare).with_context(source)?;
    if json {
        let text = serde_json::to_string_pretty(&report(&replayed))?;
        println!("{text}");
    } else {
        print(&replayed);
    }
    let same = replayed.difference.is_none() && replayed.broken_checks == 0;
    Ok(if same {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn report(replayed: &Replay) -> ReplayReport {
    ReplayReport {
        name: replayed.header.name.to_string(),
        incarnation: replayed.header.incarnation,
        events: replayed.events,
        promises_broken: replayed.broken_checks,
        damage: replayed.damage.as_ref().map(ToString::to_string),
        difference: replayed.difference.as_ref().map(DifferenceReport::new),
    }
}

fn print(replayed: &Replay) {
    let name = &replayed.header.name;
    println!(
        "daemon {name}: {} events, {} promises broken",
        replayed.events, replayed.broken_checks
    );
    if let Some(damage) = &replayed.damage {
        println!("the recording ends early: {damage}");
    }
    match &replayed.difference {
        Some(difference) => println!("{difference}"),
        None => println!("no difference"),
    }
}
