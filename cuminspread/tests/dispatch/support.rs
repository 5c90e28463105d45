//! Driver of one dispatcher in virtual time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::dispatch::{DispatchSettings, Dispatcher};
use cuminspread::coordination::event::{
    Attempt, Call, CallAction, CallEvent, CallId, Ending, Verdict,
};
use cuminspread::invariant::InvariantChecks;
use cuminspread::state::Name;
use cuminspread::state::council::{CouncilConfig, ServerConfig, ServiceConfig};
use cuminspread::state::load::LoadReport;
use cuminspread::state::time::{Mono, Now, Wall};

/// Configuration of a council with one service, `jobs`.
pub fn council(name: &str, servers: u32, slots: u32) -> CouncilConfig {
    let server = |i: u32| ServerConfig {
        name: Name::new(format!("s{i:04}")),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: Name::default(),
        slots,
        connections: 250,
        leaving: false,
    };
    let service = ServiceConfig {
        council: Name::new(name),
        name: Name::new("jobs"),
        servers: (0..servers).map(server).collect(),
        probe_path: Name::new("/load"),
        cancel_path: Name::new("/cancel"),
        ..ServiceConfig::default()
    };
    CouncilConfig {
        council: Name::new(name),
        probe_budget: 100.0,
        services: vec![Arc::new(service)],
        ..CouncilConfig::default()
    }
}

/// A dispatcher and its clock.
pub struct Driver {
    /// The dispatcher.
    pub dispatcher: Dispatcher,
    /// Current time, in microseconds.
    pub now: u64,
    service: Arc<ServiceConfig>,
    last_call: u64,
}

impl Driver {
    /// Dispatcher with an active configuration.
    pub fn new(settings: DispatchSettings, config: &CouncilConfig) -> Self {
        let mut driver = Self {
            dispatcher: Dispatcher::new(settings, InvariantChecks::default()),
            now: 1_000_000,
            service: Arc::clone(&config.services[0]),
            last_call: 0,
        };
        driver.handle(CallEvent::InForce(Arc::new(config.clone())));
        driver
    }

    /// Passes an event to the dispatcher; returns the actions without wake-ups.
    pub fn handle(&mut self, event: CallEvent) -> Vec<CallAction> {
        let mut out = Vec::new();
        let now = Now {
            mono: Mono(self.now),
            wall: Wall(self.now / 1000),
        };
        self.dispatcher.handle(now, event, &mut out);
        out.retain(|a| !matches!(a, CallAction::WakeAt(_)));
        out
    }

    /// Advances the clock in steps of 10 ms, with a tick after each.
    pub fn advance(&mut self, span: Duration) -> Vec<CallAction> {
        let mut out = Vec::new();
        let until = self.now + span.as_micros() as u64;
        while self.now < until {
            self.now = until.min(self.now + 10_000);
            out.extend(self.handle(CallEvent::Tick));
        }
        out
    }

    /// A new call with its own fingerprint.
    pub fn new_call(&mut self, idempotent: bool) -> Call {
        self.last_call += 1;
        Call {
            id: CallId(self.last_call),
            service: Arc::clone(&self.service),
            idempotent,
            deadline: Mono(self.now + 10_000_000),
            depth: 0,
            retry_budget: None,
            fingerprint: self.last_call,
        }
    }

    /// A new call to the service of another council.
    pub fn new_call_to(&mut self, config: &CouncilConfig) -> Call {
        Call {
            service: Arc::clone(&config.services[0]),
            ..self.new_call(true)
        }
    }

    /// Reports that a call was received.
    pub fn receive(&mut self, call: &Call) -> Vec<CallAction> {
        self.handle(CallEvent::Arrived(call.clone()))
    }

    /// Reports the head of a response.
    pub fn head(&mut self, call: &Call, attempt: u8, status: u16) -> Vec<CallAction> {
        self.head_with(call, attempt, status, None)
    }

    /// Reports the head of a response with a load report.
    pub fn head_with(
        &mut self,
        call: &Call,
        attempt: u8,
        status: u16,
        load: Option<LoadReport>,
    ) -> Vec<CallAction> {
        self.handle(CallEvent::Head {
            call: call.id,
            attempt: Attempt(attempt),
            status,
            load,
        })
    }

    /// Reports the end of an attempt.
    pub fn end(&mut self, call: &Call, attempt: u8, ending: Ending) -> Vec<CallAction> {
        self.handle(CallEvent::Ended {
            call: call.id,
            attempt: Attempt(attempt),
            ending,
        })
    }

    /// Runs calls one after the other, each with a response after `latency`.
    pub fn run_calls(&mut self, calls: u32, latency: Duration) {
        for _ in 0..calls {
            let call = self.new_call(true);
            self.receive(&call);
            self.now += latency.as_micros() as u64;
            self.head(&call, 0, 200);
            self.end(&call, 0, Ending::Whole);
        }
    }

    /// Number of failed invariant checks.
    pub fn broken(&self) -> u64 {
        self.dispatcher.invariants().total_broken()
    }
}

/// Number of attempts that are sent.
pub fn sends(actions: &[CallAction]) -> usize {
    let is_send = |a: &&CallAction| matches!(a, CallAction::Send { .. });
    actions.iter().filter(is_send).count()
}

/// Number of attempts that are cancelled.
pub fn cancels(actions: &[CallAction]) -> usize {
    let is_cancel = |a: &&CallAction| matches!(a, CallAction::Cancel { .. });
    actions.iter().filter(is_cancel).count()
}

/// Verdict on the first call that finishes.
pub fn verdict(actions: &[CallAction]) -> Option<Verdict> {
    actions.iter().find_map(|a| match a {
        CallAction::Finish { verdict, .. } => Some(*verdict),
        _ => None,
    })
}

/// Server of the first attempt that is sent.
pub fn server(actions: &[CallAction]) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        CallAction::Send { server, .. } => Some(server.0),
        _ => None,
    })
}
