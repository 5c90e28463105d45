//! `cumin explain-request`: what happened to one request, from the daemons' logs.
//!
//! The lines of all daemons for one id are sorted by time, and the request's outcome is summed up in
//! a sentence. If a log has a start of the daemon after the request's last line, the daemon ended
//! before the request did. Clocks of VMs may differ by some milliseconds, so lines of about the
//! same time may be out of order.

use std::collections::HashMap;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::process::ExitCode;

use anyhow::Context as _;
use clap::{Arg, ArgAction, ArgMatches, Command};

/// Text in the first line that a daemon logs.
const STARTED: &str = "event=started ";

/// Command-line definition of `cumin explain-request`.
pub fn command() -> Command {
    Command::new("explain-request")
        .about("Shows what happened to a request, from the daemons' logs")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("Id of the request, as in id= of the log lines"),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .action(ArgAction::Append)
                .help("Log files; standard input if none is given"),
        )
}

/// Runs the subcommand; the exit status is 1 if no log line has the id.
pub fn run(args: &ArgMatches, json: bool) -> anyhow::Result<ExitCode> {
    let id: &String = args.get_one("id").context("no id")?;
    let mut found = FoundLines::default();
    let logs: Vec<&String> = args.get_many("logs").into_iter().flatten().collect();
    if logs.is_empty() {
        collect(id, io::stdin().lock(), &mut found)?;
    }
    for log in logs {
        let file = fs::File::open(log).with_context(|| format!("step=read peer={log}"))?;
        collect(id, BufReader::new(file), &mut found)?;
    }
    let FoundLines {
        mut lines,
        restarted_ms,
    } = found;
    lines.sort_by_key(|line| line.time_ms);
    if lines.is_empty() {
        println!("no line names {id}; the log may be of another time, or lines were dropped");
        return Ok(ExitCode::FAILURE);
    }
    let cause = explain(&lines, restarted_ms);
    if json {
        let texts: Vec<&str> = lines.iter().map(|l| l.text.as_str()).collect();
        println!(
            "{}",
            serde_json::json!({"id": id, "lines": texts, "cause": cause})
        );
    } else {
        for line in &lines {
            println!("{}", line.text);
        }
        println!("{cause}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Log lines of one request.
#[derive(Default)]
struct FoundLines {
    lines: Vec<LogLine>,
    /// Time of a daemon's first start after its lines of the request; `None` if no log has one.
    restarted_ms: Option<u64>,
}

/// One line of a log; `time_ms` is 0 if the line has none.
struct LogLine {
    time_ms: u64,
    fields: HashMap<String, String>,
    text: String,
}

impl LogLine {
    fn parse(text: String) -> Self {
        let words = text.split_whitespace();
        let pairs = words.filter_map(|w| w.split_once('='));
        let fields: HashMap<String, String> = pairs
            .map(|(name, value)| (name.to_owned(), value.trim_matches('"').to_owned()))
            .collect();
        let time = fields.get("time_ms").and_then(|t| t.parse().ok());
        Self {
            time_ms: time.unwrap_or(0),
            fields,
            text,
        }
    }

    /// Value of a field; empty if the line doesn't have it.
    fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Adds the lines of one log to `found`.
fn collect(id: &str, input: impl BufRead, found: &mut FoundLines) -> anyhow::Result<()> {
    let mut seen = false;
    for text in input.lines() {
        let text = text.context("step=read")?;
        if text.contains(id) {
            let line = LogLine::parse(text);
            if line.field("id") == id {
                found.lines.push(line);
                seen = true;
            }
        } else if seen && text.contains(STARTED) {
            found.restarted_ms = Some(LogLine::parse(text).time_ms);
            seen = false;
        }
    }
    Ok(())
}

/// Cause of the outcome of a request whose final line no log has.
fn explain_unfinished(lines: &[LogLine], restarted_ms: Option<u64>) -> String {
    let (Some(last), Some(restarted_ms)) = (lines.last(), restarted_ms) else {
        return "The request has not ended, or its last line was dropped.".to_owned();
    };
    let later = restarted_ms.saturating_sub(last.time_ms);
    let restart = format!("and started again {later} ms after its last line.");
    match lines.iter().rev().find(|l| l.field("event") == "placed") {
        Some(placed) => format!(
            "Its outcome is unknown: its daemon ended while server {} had it, {restart}",
            placed.field("server")
        ),
        None => format!("It has not run: its daemon ended before a server had it, {restart}"),
    }
}

/// Cause of the request's outcome, in a sentence.
fn explain(lines: &[LogLine], restarted_ms: Option<u64>) -> String {
    let mut ends = lines.iter().rev().filter(|l| l.field("event") == "request");
    let Some(final_line) = ends.clone().find(|l| l.field("from") != "peer") else {
        return explain_unfinished(lines, restarted_ms);
    };
    // The line of the peer that took it names the server.
    let at_peer = ends.find(|l| l.field("from") == "peer" && l.field("outcome") != "refused");
    let (service, peer) = (final_line.field("service"), final_line.field("peer"));
    let server = at_peer.unwrap_or(final_line).field("server");
    let waited: u64 = final_line.field("waited_us").parse().unwrap_or(0) / 1000;
    let took: u64 = final_line.field("took_us").parse().unwrap_or(0) / 1000;
    let reason = match (final_line.field("outcome"), final_line.field("detail")) {
        ("served", _) => format!("It was served by {server}"),
        ("passed_on", _) => format!(
            "Server {server} answered with status {}, which was passed on",
            final_line.field("status")
        ),
        ("refused", "no_configuration") => {
            "It was refused, and has not run: the daemon had just started and knew no \
             configuration"
                .to_owned()
        }
        ("refused", "no_server") if !peer.is_empty() => format!(
            "It was refused, and has not run: this daemon reaches no server of {service}, and no \
             peer took it"
        ),
        ("refused", "no_server") => format!(
            "It was refused, and has not run: no server of {service} accepted requests, or all failed"
        ),
        ("refused", "emptied") => format!(
            "It was refused, and has not run: all servers of {service} that it may be sent to are in \
             emptied data centres"
        ),
        ("refused", "no_server_in_region") => format!(
            "It was refused, and has not run: no server of {service} is in a region that route {} \
             allows",
            final_line.field("route")
        ),
        ("refused", "no_room") if or_zero(final_line.field("sends")) != "0" => format!(
            "It was refused, and has not run: the servers of {service} that it was sent to \
             refused it, and it could not be sent again"
        ),
        ("refused", "no_room") => {
            format!("It was refused, and has not run: no server of {service} had room in time")
        }
        ("refused", "paused") => format!(
            "It was refused, and has not run: the servers of {service} had asked this daemon for a \
             pause"
        ),
        ("refused", "limited") => format!(
            "It was refused, and has not run: the servers of {service} name limits, and this \
             daemon's part was used"
        ),
        ("refused", "cold") => format!(
            "It was refused, and has not run: the servers of {service} were cold, and it wasn't this \
             daemon's turn to send to one in time"
        ),
        ("refused", "crashing") => {
            "It was refused, and has not run: requests like it crashed servers".to_owned()
        }
        ("refused", "stopping") => {
            "It was refused, and has not run: the daemon was about to stop".to_owned()
        }
        ("refused", detail) => format!("It was refused, and has not run: {detail}"),
        ("failed", detail @ ("peer_lost" | "peer_failed")) => {
            format!("Its outcome is unknown: peer {peer} had it ({detail})")
        }
        ("failed", "timeout") => format!(
            "Its outcome is unknown: server {server} had not answered when its time was over"
        ),
        ("failed", detail) => {
            format!("Its outcome is unknown: the response of server {server} was lost ({detail})")
        }
        ("no_route", _) => format!(
            "No route of version {} leads to a service",
            final_line.field("version")
        ),
        ("caller_left", _) => "Its caller left before there was a response".to_owned(),
        (outcome, _) => format!("It ended with the outcome {outcome}"),
    };
    let version = final_line.field("version");
    let reason = if at_peer.is_some() {
        format!("{reason} through peer {peer}")
    } else {
        reason
    };
    format!(
        "{reason}; {} sends, {} hedges, {waited} ms until the first send, {took} ms in all, \
         configuration {version}.",
        or_zero(final_line.field("sends")),
        or_zero(final_line.field("hedges")),
    )
}

fn or_zero(text: &str) -> &str {
    if text.is_empty() { "0" } else { text }
}
