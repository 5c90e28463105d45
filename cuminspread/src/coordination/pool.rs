//! Servers of one service, as one daemon sees them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand_pcg::Pcg32;

use crate::coordination::event::CallId;
use crate::coordination::limits::ConcurrencyLimit;
use crate::coordination::policy::ChoiceSettings;
use crate::coordination::probe::Place;
use crate::coordination::retry::{RetrySettings, TokenBucket};
use crate::coordination::server::{CostParams, Latency, Server};
use crate::state::council::ServiceConfig;
use crate::state::time::Mono;

/// Weight of one report in the usual occupancy.
const OCCUPANCY_WEIGHT: f32 = 0.02;
/// Weight of one answer to "has it started" in the part of calls found waiting.
const MOVE_WEIGHT: f32 = 0.05;
/// Latency assumed before any answer, in microseconds.
const ASSUMED_MEAN: f32 = 5_000.0;

/// Candidates, limits and normal latency of one service.
#[derive(Debug)]
pub struct Pool {
    /// Index of the council that owns the service.
    pub council: u32,
    /// Configuration in force.
    pub config: Arc<ServiceConfig>,
    /// All servers of the service, in the order of their names.
    pub members: Vec<u32>,
    /// Servers that take new work, those in this daemon's data centre first.
    pub candidates: Vec<u32>,
    /// Number of candidates in this daemon's data centre.
    pub near: usize,
    /// Free slots that this daemon owns, one entry each.
    pub owned_free: Vec<u32>,
    /// Calls of this daemon at the service.
    pub in_flight: u32,
    /// Bound on `in_flight`.
    pub limit: ConcurrencyLimit,
    /// Latency until the head of an answer, over all servers.
    pub latency: Latency,
    /// Calls that wait for room.
    pub queue: VecDeque<CallId>,
    /// Bounds the rate of extra attempts.
    pub retries: TokenBucket,
    /// Bounds the rate of moves.
    pub moves: TokenBucket,
    /// Candidates in the order in which this daemon takes its turns.
    pub rotation: Vec<u32>,
    /// Position in `rotation`.
    pub cursor: usize,
    occupancy: f32,
    moved: f32,
}

impl Pool {
    /// Pool without servers.
    pub fn new(
        council: u32,
        config: Arc<ServiceConfig>,
        retries: TokenBucket,
        moves: TokenBucket,
    ) -> Self {
        Self {
            council,
            config,
            members: Vec::new(),
            candidates: Vec::new(),
            near: 0,
            owned_free: Vec::new(),
            in_flight: 0,
            limit: ConcurrencyLimit::new(1, 1),
            latency: Latency::default(),
            queue: VecDeque::new(),
            retries,
            moves,
            rotation: Vec::new(),
            cursor: 0,
            occupancy: 0.5,
            moved: 0.0,
        }
    }

    /// Mean latency, or the assumed one before the first answers.
    pub fn mean_latency_us(&self) -> f32 {
        if self.latency.is_settled() {
            self.latency.mean()
        } else {
            ASSUMED_MEAN
        }
    }

    /// Normal latency as a time.
    pub fn mean_latency(&self) -> Duration {
        Duration::from_micros(self.mean_latency_us() as u64)
    }

    /// Parameters for estimates about its servers.
    pub fn cost_params(&self, choice: &ChoiceSettings, distrust_before: Mono) -> CostParams {
        CostParams {
            mean: self.mean_latency_us(),
            occupancy: self.occupancy,
            report_half_life: choice.report_half_life * self.mean_latency_us(),
            far_cost_us: choice.far_cost_us,
            load_weight: choice.load_weight,
            latency_weight: choice.latency_weight,
            distrust_before,
        }
    }

    /// Notes that a server was asked for a call back.
    pub fn record_move_asked(&mut self) {
        self.moved *= 1.0 - MOVE_WEIGHT;
    }

    /// Notes that the server had not started the call.
    pub fn record_moved(&mut self) {
        self.moved = (self.moved + MOVE_WEIGHT).min(1.0);
    }

    /// Part of the attempts whose server is asked for the call back.
    ///
    /// The more calls are found waiting, the larger; a service with free slots is asked just often
    /// enough to notice a change.
    pub fn move_fraction(&self, retry: &RetrySettings) -> f32 {
        (self.moved / retry.move_gain).clamp(retry.min_move_fraction, 1.0)
    }

    /// Takes the load of one server into the usual occupancy.
    pub fn record_occupancy(&mut self, in_flight: u32, slots: u32) {
        let load = in_flight as f32 / slots.max(1) as f32;
        self.occupancy += OCCUPANCY_WEIGHT * (load.min(4.0) - self.occupancy);
    }

    /// Sets the candidates out of the members; leaving ones get no new work if `spare_leaving`.
    pub fn rebuild(&mut self, servers: &mut [Server], place: Option<Place>, spare_leaving: bool) {
        let takes_work = |id: &&u32| {
            let server = &servers[**id as usize];
            server.present && !(spare_leaving && server.leaving_since().is_some())
        };
        self.candidates.clear();
        self.candidates
            .extend(self.members.iter().filter(takes_work));
        self.candidates
            .sort_by_key(|id| (!servers[*id as usize].near, *id));
        let is_near = |id: &&u32| servers[**id as usize].near;
        self.near = self.candidates.iter().filter(is_near).count();
        self.start_rotation(place);
        self.assign_slots(servers, place);
        let slots: u32 = self
            .candidates
            .iter()
            .map(|id| servers[*id as usize].max_in_flight)
            .sum();
        let share = slots / place.map_or(1, |p| p.daemons.max(1));
        self.limit.set_range(share.max(2), slots);
    }

    /// Starts the turns of each daemon at another server and in another order.
    fn start_rotation(&mut self, place: Option<Place>) {
        let place = place.unwrap_or(Place {
            index: 0,
            daemons: 1,
        });
        let mut rng = Pcg32::new(u64::from(place.index), deal_start(&self.config.name));
        self.rotation.clone_from(&self.candidates);
        self.rotation.shuffle(&mut rng);
        self.cursor = 0;
    }

    /// Deals the slots of all servers out to the daemons in turn.
    ///
    /// The deal goes over the configured servers, slot by slot, so that all daemons that know the
    /// same configuration and list agree on it.
    fn assign_slots(&mut self, servers: &mut [Server], place: Option<Place>) {
        self.owned_free.clear();
        for id in &self.members {
            servers[*id as usize].owned = 0;
        }
        let Some(place) = place else {
            return;
        };
        let daemons = u64::from(place.daemons.max(1));
        let start = deal_start(&self.config.name);
        let rounds = self
            .members
            .iter()
            .map(|id| servers[*id as usize].slots)
            .max();
        let mut dealt = start;
        for round in 0..rounds.unwrap_or(0) {
            for id in &self.members {
                let server = &mut servers[*id as usize];
                if !server.present || round >= server.slots {
                    continue;
                }
                if dealt % daemons == u64::from(place.index) {
                    server.owned += 1;
                }
                dealt += 1;
            }
        }
        for id in &self.candidates {
            let server = &servers[*id as usize];
            let free = server.owned.saturating_sub(server.owned_in_use);
            self.owned_free.extend((0..free).map(|_| *id));
        }
    }

    /// Takes an owned slot, by its position among the free ones.
    pub fn take_owned(&mut self, servers: &mut [Server], position: usize) {
        let id = self.owned_free.swap_remove(position);
        servers[id as usize].owned_in_use += 1;
    }

    /// Gives an owned slot back.
    pub fn release_owned(&mut self, servers: &mut [Server], id: u32) {
        let server = &mut servers[id as usize];
        server.owned_in_use = server.owned_in_use.saturating_sub(1);
        let usable = server.present && server.leaving_since().is_none();
        if usable && server.owned_in_use < server.owned {
            self.owned_free.push(id);
        }
    }
}

/// Daemon that the first slot of a service is dealt to; FNV-1a over its name.
fn deal_start(service: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    service.bytes().fold(0xcbf2_9ce4_8422_2325, mix) >> 32
}
