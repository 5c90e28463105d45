//! The `cuminspreadd` program: runs one daemon until it is stopped by a signal or an operator.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context as _;
use clap::{Arg, ArgAction, Command, value_parser};
use cuminspreadd::daemon::Daemon;
use cuminspreadd::edge::settings::EdgeSettings;
use cuminspreadd::settings::{Settings, file};
use cuminspreadd::{edge, logging};
use tokio::signal::unix::{SignalKind, signal};

/// Time between two checks of the settings file, which is reloaded on a change also without a
/// signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path: &String = matches.get_one("settings").expect("a required argument");
    let record = matches.get_one::<PathBuf>("record").cloned();
    match run(path, matches.get_flag("check"), record) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE.ini")
        .required(true)
        .value_parser(value_parser!(String))
        .help("Settings of this daemon");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Validate the settings and exit");
    let record = Arg::new("record")
        .long("record")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Record the events of the state machines for `cumin replay`");
    Command::new("cuminspreadd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Load balancer daemon")
        .arg(settings)
        .arg(check)
        .arg(record)
}

fn run(path: &str, check: bool, record: Option<PathBuf>) -> anyhow::Result<ExitCode> {
    let text = fs::read_to_string(path).with_context(|| format!("step=settings peer={path}"))?;
    let mut settings = file::parse(path, &text)?;
    if check {
        println!("{path}: ok");
        return Ok(ExitCode::SUCCESS);
    }
    anyhow::ensure!(
        record.is_none() || settings.edge.is_none(),
        "--record isn't supported with [store]"
    );
    settings.log.record = record.or(settings.log.record);
    logging::init(&settings.log)?;
    if let Some(edge) = settings.edge.take() {
        // On a VM with a fifth of a core, a request costs less if no other thread has to be woken.
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("step=runtime")?;
        return runtime.block_on(serve_edge(path, settings, edge));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()
        .context("step=runtime")?;
    runtime.block_on(serve(settings))
}

async fn serve_edge(
    path: &str,
    settings: Settings,
    edge: EdgeSettings,
) -> anyhow::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate()).context("step=signal")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("step=signal")?;
    let mut hangup = signal(SignalKind::hangup()).context("step=signal")?;
    let daemon = edge::run::EdgeDaemon::start(settings, edge).await?;
    let mut text = fs::read_to_string(path).unwrap_or_default();
    loop {
        let requested = tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        reload(path, &mut text, requested, &daemon);
    }
    let clean = daemon.stop().await;
    logging::finish();
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Reloads the settings if requested or if the file has changed; a file with faults changes
/// nothing.
fn reload(path: &str, text: &mut String, requested: bool, daemon: &edge::run::EdgeDaemon) {
    let read = match fs::read_to_string(path) {
        Ok(read) => read,
        Err(e) => {
            if requested {
                log::error!("event=reload_refused cause={:?}", e.to_string());
            }
            return;
        }
    };
    if !requested && read == *text {
        return;
    }
    *text = read;
    match file::parse(path, text) {
        Ok(Settings {
            edge: Some(edge), ..
        }) => daemon.reload(&edge),
        Ok(_) => log::error!("event=reload_refused cause=\"no [store] section\""),
        Err(e) => log::error!("event=reload_refused cause={:?}", e.to_string()),
    }
}

async fn serve(settings: Settings) -> anyhow::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate()).context("step=signal")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("step=signal")?;
    let daemon = Daemon::start(settings).await?;
    let drained = daemon.drain_requested();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = drained => {}
    }
    let clean = daemon.stop().await;
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
