//! The servers of one service, as one daemon sees them.

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

/// Weight of a load report in the mean occupancy.
const OCCUPANCY_WEIGHT: f32 = 0.02;
/// Weight of an attempted move in the fraction of moves that succeed.
const MOVE_WEIGHT: f32 = 0.05;
/// Mean latency assumed before there are enough samples, in microseconds.
const DEFAULT_MEAN_US: f32 = 5_000.0;

/// Candidates, limits, latency and queue of one service.
#[derive(Debug)]
pub struct Pool {
    /// Index of the council that owns the service.
    pub council: u32,
    /// Active configuration.
    pub config: Arc<ServiceConfig>,
    /// All servers of the service, sorted by name.
    pub members: Vec<u32>,
    /// Servers that accept new calls, those in this daemon's data centre first.
    pub candidates: Vec<u32>,
    /// Number of candidates in this daemon's data centre.
    pub near: usize,
    /// Free slots that this daemon owns: the identifier of the server once per slot.
    pub owned_free: Vec<u32>,
    /// Attempts of this daemon that are in flight to the service.
    pub in_flight: u32,
    /// Limit of `in_flight`.
    pub limit: ConcurrencyLimit,
    /// Latency until the head of a response, over all servers.
    pub latency: Latency,
    /// Calls that wait for a free slot.
    pub queue: VecDeque<CallId>,
    /// Bounds the rate of retries and hedges.
    pub retries: TokenBucket,
    /// Bounds the rate of moves.
    pub moves: TokenBucket,
    /// Candidates in this daemon's own shuffled order.
    pub rotation: Vec<u32>,
    /// Current position in `rotation`, or in `candidates` for a round robin.
    pub cursor: usize,
    /// Mean of the reported calls per slot.
    occupancy: f32,
    /// Fraction of the attempted moves that succeeded.
    moved_fraction: f32,
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
            moved_fraction: 0.0,
        }
    }

    /// Mean latency in microseconds, or a default while there are too few samples.
    pub fn mean_latency_us(&self) -> f32 {
        if self.latency.is_settled() {
            self.latency.mean()
        } else {
            DEFAULT_MEAN_US
        }
    }

    /// Mean latency, or a default while there are too few samples.
    pub fn mean_latency(&self) -> Duration {
        Duration::from_micros(self.mean_latency_us() as u64)
    }

    /// Parameters of the cost estimate for servers of this service.
    pub fn cost_params(&self, choice: &ChoiceSettings, distrust_before: Mono) -> CostParams {
        CostParams {
            mean_us: self.mean_latency_us(),
            occupancy: self.occupancy,
            report_half_life_us: choice.report_half_life * self.mean_latency_us(),
            far_cost_us: choice.far_cost_us,
            load_weight: choice.load_weight,
            latency_weight: choice.latency_weight,
            distrust_before,
        }
    }

    /// Records that an attempt was cancelled to move the call.
    pub fn record_move_requested(&mut self) {
        self.moved_fraction *= 1.0 - MOVE_WEIGHT;
    }

    /// Records that a move succeeded: the server had not started the call.
    pub fn record_moved(&mut self) {
        self.moved_fraction = (self.moved_fraction + MOVE_WEIGHT).min(1.0);
    }

    /// Fraction of the attempts that are cancelled to be moved while they have no response.
    ///
    /// The result grows with the fraction of attempted moves that succeed. At a service with free
    /// slots it is just large enough to detect a change.
    pub fn move_fraction(&self, retry: &RetrySettings) -> f32 {
        (self.moved_fraction / retry.move_gain).clamp(retry.min_move_fraction, 1.0)
    }

    /// Adds the load report of one server to the mean occupancy.
    pub fn record_occupancy(&mut self, in_flight: u32, slots: u32) {
        let load = in_flight as f32 / slots.max(1) as f32;
        self.occupancy += OCCUPANCY_WEIGHT * (load.min(4.0) - self.occupancy);
    }

    /// Recomputes the candidates and what depends on them; `skip_leaving` leaves out leaving
    /// servers.
    pub fn rebuild(&mut self, servers: &mut [Server], place: Option<Place>, skip_leaving: bool) {
        let is_candidate = |id: &&u32| {
            let server = &servers[**id as usize];
            server.present && !(skip_leaving && server.leaving_since().is_some())
        };
        self.candidates.clear();
        self.candidates
            .extend(self.members.iter().filter(is_candidate));
        self.candidates
            .sort_by_key(|id| (!servers[*id as usize].near, *id));
        let is_near = |id: &&u32| servers[**id as usize].near;
        self.near = self.candidates.iter().filter(is_near).count();
        self.reset_rotation(place);
        self.assign_slots(servers, place);
        let slots: u32 = self
            .candidates
            .iter()
            .map(|id| servers[*id as usize].max_in_flight)
            .sum();
        let share = slots / place.map_or(1, |p| p.daemons.max(1));
        self.limit.set_range(share.max(2), slots);
    }

    /// Shuffles the rotation, differently for each daemon, so that daemons don't use the same
    /// servers at the same time.
    fn reset_rotation(&mut self, place: Option<Place>) {
        let place = place.unwrap_or(Place {
            index: 0,
            daemons: 1,
        });
        let mut rng = Pcg32::new(u64::from(place.index), first_owner(&self.config.name));
        self.rotation.clone_from(&self.candidates);
        self.rotation.shuffle(&mut rng);
        self.cursor = 0;
    }

    /// Assigns the slots of all servers to the daemons, round robin: first one slot of each server,
    /// then the second slot of each server, and so on.
    ///
    /// The assignment covers all configured servers, leaving ones included, so that daemons with
    /// the same configuration and VM list agree on it.
    fn assign_slots(&mut self, servers: &mut [Server], place: Option<Place>) {
        self.owned_free.clear();
        for id in &self.members {
            servers[*id as usize].owned = 0;
        }
        let Some(place) = place else {
            return;
        };
        let daemons = u64::from(place.daemons.max(1));
        let start = first_owner(&self.config.name);
        let rounds = self
            .members
            .iter()
            .map(|id| servers[*id as usize].slots)
            .max();
        let mut slot = start;
        for round in 0..rounds.unwrap_or(0) {
            for id in &self.members {
                let server = &mut servers[*id as usize];
                if !server.present || round >= server.slots {
                    continue;
                }
                if slot % daemons == u64::from(place.index) {
                    server.owned += 1;
                }
                slot += 1;
            }
        }
        for id in &self.candidates {
            let server = &servers[*id as usize];
            let free = server.owned.saturating_sub(server.owned_in_use);
            self.owned_free.extend((0..free).map(|_| *id));
        }
    }

    /// Marks the owned slot at an index of `owned_free` as in use.
    pub fn take_owned(&mut self, servers: &mut [Server], position: usize) {
        let id = self.owned_free.swap_remove(position);
        servers[id as usize].owned_in_use += 1;
    }

    /// Releases an owned slot of a server.
    pub fn release_owned(&mut self, servers: &mut [Server], id: u32) {
        let server = &mut servers[id as usize];
        server.owned_in_use = server.owned_in_use.saturating_sub(1);
        let usable = server.present && server.leaving_since().is_none();
        if usable && server.owned_in_use < server.owned {
            self.owned_free.push(id);
        }
    }
}

/// Index, modulo the number of daemons, of the daemon that owns the first slot of a service:
/// FNV-1a of the service's name.
fn first_owner(service: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    service.bytes().fold(0xcbf2_9ce4_8422_2325, mix) >> 32
}
