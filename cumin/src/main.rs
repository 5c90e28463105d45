//! Command-line tool of cuminspread.
//!
//! Exit status: 0 on success, 1 if a check failed or a daemon can't be reached, 2 if the arguments
//! are wrong.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};

mod admin;
mod check;
mod counters;
mod fleet;
mod replay;
mod request;
mod show;
mod top;

use admin::AdminClient;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("cumin: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let admin = Arg::new("admin")
        .long("admin")
        .value_name("URL")
        .global(true)
        .action(ArgAction::Append)
        .help("Admin listener of a daemon, such as http://10.0.0.1:7002; may be repeated");
    let json = Arg::new("json")
        .long("json")
        .global(true)
        .action(ArgAction::SetTrue)
        .help("Print JSON");
    Command::new("cumin")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Inspects cuminspread daemons and checks their configuration")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(admin)
        .arg(json)
        .subcommand(Command::new("status").about("Shows the state of the daemons"))
        .subcommand(Command::new("services").about("Lists services and their routes"))
        .subcommand(Command::new("servers").about("Lists servers and connections"))
        .subcommand(Command::new("versions").about("Compares active configuration versions"))
        .subcommand(Command::new("drain").about("Begins a graceful stop of the daemons"))
        .subcommand(explain_command())
        .subcommand(request::command())
        .subcommand(check::command())
        .subcommand(fleet::command())
        .subcommand(replay::command())
        .subcommand(top::command())
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Shows which service and servers a request would reach")
        .arg(Arg::new("method").value_name("METHOD").required(true))
        .arg(Arg::new("path").value_name("PATH").required(true))
        .arg(
            Arg::new("host")
                .long("host")
                .value_name("HOST")
                .default_value("")
                .help("Host header of the request"),
        )
}

fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let Some((name, args)) = matches.subcommand() else {
        anyhow::bail!("no subcommand");
    };
    let json = args.get_flag("json");
    if name == "check" {
        return check::run(args, json);
    }
    if name == "explain-request" {
        return request::run(args, json);
    }
    if name == "replay" {
        return replay::run(args, json);
    }
    let urls: Vec<String> = args
        .get_many("admin")
        .into_iter()
        .flatten()
        .cloned()
        .collect();
    anyhow::ensure!(!urls.is_empty(), "{name}: --admin URL is required");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(query(name, args, &AdminClient::all(&urls)?, json))
}

async fn query(
    name: &str,
    args: &ArgMatches,
    daemons: &[AdminClient],
    json: bool,
) -> anyhow::Result<ExitCode> {
    match name {
        "status" => show::status(daemons, json).await,
        "services" => show::services(daemons, json).await,
        "servers" => show::servers(daemons, json).await,
        "versions" => show::versions(daemons, json).await,
        "explain" => show::explain(daemons, args, json).await,
        "drain" => show::drain(daemons, json).await,
        "fleet" => fleet::run(daemons, json).await,
        "top" => top::run(daemons, args, json).await,
        _ => anyhow::bail!("unknown subcommand {name}"),
    }
}
