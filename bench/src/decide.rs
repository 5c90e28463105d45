//! Measures time and allocations of dispatch decisions.
//!
//! Each measurement has one dispatcher with a service of 20, 580 or 5,000 servers. A choice is only
//! the choice of a server, with one and a half times the dispatcher's share of the slots in use. A
//! call is the handling of all its events (arrival, response head and end), with two thirds of the
//! share in use. Only allocations of the measuring thread are counted.

mod allocations;

use std::collections::VecDeque;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use cuminspread::coordination::choice::Chooser;
use cuminspread::coordination::dispatch::{DispatchSettings, Dispatcher};
use cuminspread::coordination::event::{Attempt, Call, CallAction, CallEvent, CallId, Ending};
use cuminspread::coordination::policy::ChoiceSettings;
use cuminspread::coordination::pool::Pool;
use cuminspread::coordination::probe::Place;
use cuminspread::coordination::retry::TokenBucket;
use cuminspread::coordination::server::Server;
use cuminspread::invariant::InvariantChecks;
use cuminspread::state::Name;
use cuminspread::state::council::{CouncilConfig, ServerConfig, ServiceConfig};
use cuminspread::state::time::{Mono, Now, Wall};
use rand_pcg::Pcg32;
use serde::Serialize;

/// Numbers of servers that are measured.
const SERVER_COUNTS: [u32; 3] = [20, 580, 5_000];
const SLOTS_PER_SERVER: u32 = 6;
/// Number of daemons, which share the slots.
const DAEMONS: u32 = 18;
/// Virtual time between two calls, in microseconds.
const CALL_INTERVAL_US: u64 = 50;

/// Result for one number of servers.
#[derive(Debug, Clone)]
#[derive(Serialize)]
struct Line {
    servers: u32,
    /// Mean time of a choice, in nanoseconds.
    choice_ns: f64,
    /// Mean number of allocations of a choice.
    choice_allocations: f64,
    /// Mean time to handle all events of a call, in nanoseconds.
    call_ns: f64,
    /// Mean number of allocations of all events of a call.
    call_allocations: f64,
}

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("decide")
        .about("Measures time and allocations of dispatch decisions")
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .default_value("500000")
                .value_parser(value_parser!(u32))
                .help("Decisions per measurement"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object per line"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the report can't be written.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let rounds = args.get_one::<u32>("rounds").copied().unwrap_or(1).max(1);
    for servers in SERVER_COUNTS {
        let (choice_ns, choice_allocations) = measure_choice(servers, rounds);
        let (call_ns, call_allocations) = measure_call(servers, rounds);
        let line = Line {
            servers,
            choice_ns,
            choice_allocations,
            call_ns,
            call_allocations,
        };
        if args.get_flag("json") {
            println!("{}", serde_json::to_string(&line)?);
        } else {
            println!("{line:?}");
        }
    }
    Ok(())
}

/// Service with this number of servers, spread over three data centres.
fn service(servers: u32) -> Arc<ServiceConfig> {
    let server = |i: u32| ServerConfig {
        name: Name::new(format!("s{i:04}")),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: Name::new(["east", "middle", "west"][i as usize % 3]),
        slots: SLOTS_PER_SERVER,
        connections: 250,
        leaving: false,
    };
    Arc::new(ServiceConfig {
        council: Name::new("vestfjord"),
        name: Name::new("status"),
        servers: (0..servers).map(server).collect(),
        cancel_path: Name::new("/cancel"),
        ..ServiceConfig::default()
    })
}

/// Mean time in nanoseconds and mean number of allocations per round, after a warm-up.
fn measure(rounds: u32, mut round: impl FnMut(u32)) -> (f64, f64) {
    for i in 0..rounds / 4 {
        round(i);
    }
    let allocations = allocations::count();
    let start = Instant::now();
    for i in 0..rounds {
        round(rounds / 4 + i);
    }
    let elapsed = start.elapsed().as_nanos() as f64;
    let allocations = (allocations::count() - allocations) as f64;
    (elapsed / f64::from(rounds), allocations / f64::from(rounds))
}

fn measure_choice(count: u32, rounds: u32) -> (f64, f64) {
    let config = service(count);
    let mut pool = Pool::new(
        0,
        config,
        TokenBucket::new(0.1, 1.0),
        TokenBucket::new(0.1, 1.0),
    );
    let mut servers: Vec<Server> = (0..count).map(|_| Server::new(0)).collect();
    for (i, server) in servers.iter_mut().enumerate() {
        server.slots = SLOTS_PER_SERVER;
        server.max_in_flight = SLOTS_PER_SERVER;
        server.near = i % 3 == 0;
        pool.members.push(i as u32);
    }
    let place = Place {
        index: 0,
        daemons: DAEMONS,
    };
    pool.rebuild(&mut servers, Some(place), true);
    let mut rng = Pcg32::new(1, 1);
    let settings = ChoiceSettings::default();
    let params = pool.cost_params(&settings, Mono::default());
    let mut in_flight: VecDeque<(u32, bool)> = VecDeque::new();
    let max_in_flight = (count * SLOTS_PER_SERVER / DAEMONS) as usize * 3 / 2;
    measure(rounds, |i| {
        let now = Mono(1_000_000 + u64::from(i) * CALL_INTERVAL_US);
        if in_flight.len() >= max_in_flight.max(2)
            && let Some((id, owned)) = in_flight.pop_front()
        {
            servers[id as usize].record_ended();
            if owned {
                pool.release_owned(&mut servers, id);
            }
        }
        let chooser = Chooser {
            now,
            settings: &settings,
            params,
            servers: &servers,
            avoid: &[],
        };
        let Some(choice) = black_box(chooser.choose(&mut pool, &mut rng)) else {
            return;
        };
        servers[choice.server as usize].record_sent(now);
        if let Some(position) = choice.owned_slot {
            pool.take_owned(&mut servers, position);
        }
        in_flight.push_back((choice.server, choice.owned_slot.is_some()));
    })
}

fn measure_call(count: u32, rounds: u32) -> (f64, f64) {
    let settings = DispatchSettings {
        data_centre: Name::new("east"),
        ..DispatchSettings::default()
    };
    let mut dispatcher = Dispatcher::new(settings, InvariantChecks::default());
    let config = service(count);
    let council = CouncilConfig {
        council: Name::new("vestfjord"),
        services: vec![Arc::clone(&config)],
        ..CouncilConfig::default()
    };
    let mut out: Vec<CallAction> = Vec::new();
    let mut handle_event = |at: u64, event: CallEvent, out: &mut Vec<CallAction>| {
        let now = Now {
            mono: Mono(at),
            wall: Wall(at / 1000),
        };
        out.clear();
        dispatcher.handle(now, event, out);
    };
    handle_event(0, CallEvent::InForce(Arc::new(council)), &mut out);
    let place = CallEvent::Place {
        index: 0,
        daemons: DAEMONS,
    };
    handle_event(0, place, &mut out);
    let mut in_flight: VecDeque<(CallId, Attempt)> = VecDeque::new();
    let max_in_flight = (count * SLOTS_PER_SERVER / DAEMONS) as usize * 2 / 3;
    measure(rounds, |i| {
        let now = 1_000_000 + u64::from(i) * CALL_INTERVAL_US;
        let call = Call {
            id: CallId(u64::from(i)),
            service: Arc::clone(&config),
            idempotent: true,
            deadline: Mono(now + 10_000_000),
            depth: 0,
            retry_budget: None,
            fingerprint: u64::from(i),
        };
        handle_event(now, CallEvent::Arrived(call), &mut out);
        for action in &out {
            if let CallAction::Send { call, attempt, .. } = action {
                in_flight.push_back((*call, *attempt));
            }
        }
        if in_flight.len() < max_in_flight.max(2) {
            return;
        }
        let Some((call, attempt)) = in_flight.pop_front() else {
            return;
        };
        let head = CallEvent::Head {
            call,
            attempt,
            status: 200,
            load: None,
        };
        handle_event(now, head, &mut out);
        let ended = CallEvent::Ended {
            call,
            attempt,
            ending: Ending::Whole,
        };
        handle_event(now, ended, &mut out);
    })
}
