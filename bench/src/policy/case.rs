//! Cases, each a load with a fault, and the arrivals of one run.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::policy::shop::{DAEMONS, Shop};

/// Start of the traffic, in microseconds; the daemons reach a steady state first.
pub const START_US: u64 = 35_000_000;
/// Time after the start whose arrivals don't count in the results, in microseconds.
pub const WARM_UP_US: u64 = 1_000_000;
/// Standard deviation of the logarithm of the processing times.
const PROCESSING_SIGMA: f64 = 0.5;

/// What happens to the servers or the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Every 5 ms each server runs at a third of its speed with a probability of 10%.
    Swings,
    /// Three servers are ten times slower from second 2 to second 4.
    Stragglers,
    /// A tenth of the servers always report no load.
    Lying,
    /// A fifth of the servers drain for good, one every 200 ms from second 2 on.
    Drain,
    /// A fifth of the servers join at second 2, four times slower at first and at full speed one
    /// second later.
    ColdStart,
    /// Arrivals of the second service grow tenfold at second 2.
    Flood,
    /// From second 2 on, half of the daemons use a list with three more daemons.
    Split,
}

/// Load and fault of a run.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Name in reports and for `--case`.
    pub name: &'static str,
    /// Offered load as a fraction of all slots.
    pub load: f64,
    /// Fault, the same on all seeds.
    pub fault: Fault,
}

/// All cases.
pub const CASES: [Case; 11] = [
    steady("steady-50", 0.50),
    steady("steady-70", 0.70),
    steady("steady-85", 0.85),
    steady("steady-95", 0.95),
    faulty("swings", 0.65, Fault::Swings),
    faulty("stragglers", 0.60, Fault::Stragglers),
    faulty("lying", 0.85, Fault::Lying),
    faulty("drain", 0.60, Fault::Drain),
    faulty("cold-start", 0.70, Fault::ColdStart),
    faulty("flood", 0.60, Fault::Flood),
    faulty("split", 0.70, Fault::Split),
];

const fn steady(name: &'static str, load: f64) -> Case {
    Case {
        name,
        load,
        fault: Fault::None,
    }
}

const fn faulty(name: &'static str, load: f64, fault: Fault) -> Case {
    Case { name, load, fault }
}

/// One call of a run.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Time of the arrival, in microseconds.
    pub at: u64,
    /// Index of the service in the shop.
    pub service: usize,
    /// Index of the daemon that receives the call.
    pub daemon: usize,
    /// Whether the call may run twice.
    pub idempotent: bool,
    /// Processing time in a slot of a healthy server, in microseconds.
    pub processing_us: u64,
}

/// Poisson arrivals of one run, ordered by time.
pub fn arrivals(shop: &Shop, case: &Case, seed: u64, duration_us: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (service, service_model) in shop.services.iter().enumerate() {
        let mut rng = Pcg64::seed_from_u64(seed * 31 + service as u64);
        let gap =
            service_model.mean_processing_us / (f64::from(shop.slots_of(service)) * case.load);
        let mut at = 0.0;
        while at < duration_us as f64 {
            let flooded = case.fault == Fault::Flood && service == 1 && at > 2_000_000.0;
            at += exponential(&mut rng) * if flooded { gap / 10.0 } else { gap };
            let processing_us = service_model.mean_processing_us * log_normal(&mut rng);
            all.push(Arrival {
                at: START_US + at as u64,
                service,
                daemon: rng.random_range(0..DAEMONS as usize),
                idempotent: rng.random::<f64>() < service_model.idempotent_fraction,
                processing_us: processing_us.max(1.0) as u64,
            });
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

fn exponential(rng: &mut Pcg64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// Log-normal variate with a mean of 1, by the Box-Muller transform.
fn log_normal(rng: &mut Pcg64) -> f64 {
    let radius = (2.0 * exponential(rng)).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    (PROCESSING_SIGMA * normal - PROCESSING_SIGMA * PROCESSING_SIGMA / 2.0).exp()
}
