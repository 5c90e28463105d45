//! Replays a load in virtual time against servers whose speeds change.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use cuminspread::coordination::hedging::{AttemptProgress, HedgeStep, Hedging, check_interval};
use cuminspread::coordination::placement::PlacementContext;
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use rand::RngExt as _;
use rand_pcg::Pcg32;

pub const SERVICE: &str = "status";
/// Time for which a server keeps its speed, in microseconds.
const SPELL_US: u64 = 150_000;
const SLOWNESS: f32 = 5.0;
/// Time from a decision until the second server has the request, in microseconds.
const PLACE_US: u64 = 3000;
/// Time within which the limit holds.
const WINDOW: Duration = Duration::from_secs(10);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn context(now: Mono, usual: Duration) -> PlacementContext {
    PlacementContext {
        now,
        processing_time: usual,
        target_left: usual * 3,
        time_left: usual * 20,
        load_unknown: false,
        load_slowdown: 1.7,
        contended: false,
        near_wait: Duration::ZERO,
    }
}

/// The load that is replayed; fractions are of servers, or of their runs.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub usual: Duration,
    pub slow_servers: f32,
    /// Servers that never answer.
    pub silent_servers: f32,
    /// Runs that take seven times as long.
    pub long_runs: f32,
    /// Whether all other servers are full when a hedge looks for one.
    pub full: bool,
    /// Time from which on no server answers, in seconds.
    pub silent_from_s: u64,
    pub daemons: usize,
    /// Requests a second of each daemon.
    pub rate: f32,
    pub seconds: u64,
}

pub const NOISE: Load = Load {
    usual: Duration::from_millis(140),
    slow_servers: 0.3,
    silent_servers: 0.01,
    long_runs: 0.03,
    full: false,
    silent_from_s: u64::MAX,
    daemons: 16,
    rate: 7.0,
    seconds: 120,
};

/// A server that draws a new speed for each spell.
struct Server {
    seed: u64,
    offset: u64,
    slow: f32,
    silent: bool,
}

impl Server {
    fn slowness(&self, at: u64) -> f32 {
        let spell = (at + self.offset) / SPELL_US;
        let draw: f32 = Pcg32::new(self.seed, spell).random();
        if draw < self.slow { SLOWNESS } else { 1.0 }
    }

    /// End of a run of `work` microseconds at the usual speed.
    fn end(&self, mut at: u64, work: f32) -> u64 {
        if self.silent {
            return u64::MAX;
        }
        let mut left = work;
        loop {
            let slowness = self.slowness(at);
            let spell_end = ((at + self.offset) / SPELL_US + 1) * SPELL_US - self.offset;
            let possible = (spell_end - at) as f32 / slowness;
            if possible >= left {
                return at + (left * slowness) as u64;
            }
            left -= possible;
            at = spell_end;
        }
    }
}

struct Run {
    daemon: usize,
    rng: Pcg32,
    arrived: u64,
    server: Server,
    progress: AttemptProgress,
    end: u64,
    hedged: bool,
}

/// What a replay showed.
pub struct Outcome {
    /// Response times, sorted.
    pub times: Vec<u64>,
    /// Times of arrivals and of hedges.
    pub arrivals: Vec<u64>,
    pub hedges: Vec<u64>,
}

impl Outcome {
    pub fn quantile(&self, fraction: f64) -> u64 {
        self.times[(self.times.len() as f64 * fraction) as usize]
    }

    /// Most hedges beyond `ratio` of the requests in any window that begins with a hedge.
    pub fn excess(&self, ratio: f32) -> f32 {
        let window = WINDOW.as_micros() as u64;
        let within = |times: &[u64], from: u64| {
            let end = times.partition_point(|t| *t < from + window);
            (end - times.partition_point(|t| *t < from)) as f32
        };
        let last = self.arrivals.last().copied().unwrap_or_default();
        let windows = self.hedges.iter().filter(|from| **from + window <= last);
        let excess =
            windows.map(|from| within(&self.hedges, *from) - ratio * within(&self.arrivals, *from));
        excess.fold(0.0, f32::max)
    }
}

/// Replays a load; without a ratio nothing is hedged.
pub fn replay(load: Load, ratio: Option<f32>, seed: u64) -> Outcome {
    let mut rng = Pcg32::new(seed, 1);
    let service = Name::new(SERVICE);
    let mut daemons = vec![Hedging::new(ratio.unwrap_or_default()); load.daemons];
    let mut runs: Vec<Run> = Vec::new();
    let mut times = Vec::new();
    let (mut arrivals, mut hedges) = (Vec::new(), Vec::new());
    // Arrivals have no run yet.
    let mut events: BinaryHeap<Reverse<(u64, usize, Option<usize>)>> = BinaryHeap::new();
    let gap = |rng: &mut Pcg32| {
        let draw: f32 = rng.random_range(1e-6..1.0);
        (-draw.ln() / load.rate * 1e6) as u64
    };
    for daemon in 0..load.daemons {
        events.push(Reverse((gap(&mut rng), daemon, None)));
    }
    while let Some(Reverse((at, daemon, run))) = events.pop() {
        let now = Mono(at);
        let Some(i) = run else {
            if at > load.seconds * 1_000_000 {
                continue;
            }
            events.push(Reverse((at + gap(&mut rng), daemon, None)));
            arrivals.push(at);
            daemons[daemon].record_request(now, &service, rng.random());
            // Each request has its own generator, so that hedges don't change the other requests.
            let mut rng = Pcg32::new(seed, runs.len() as u64 + 2);
            let server = fast_server(&mut rng, load, at);
            let end = server.end(at, work(&mut rng, load));
            let progress = AttemptProgress::new(&context(now, load.usual), server.slowness(at));
            runs.push(Run {
                daemon,
                rng,
                arrived: at,
                server,
                progress,
                end,
                hedged: false,
            });
            events.push(Reverse((at, daemon, Some(runs.len() - 1))));
            continue;
        };
        let run = &mut runs[i];
        let hedging = &mut daemons[run.daemon];
        let deadline = run.arrived + 20 * load.usual.as_micros() as u64;
        if at >= run.end.min(deadline) {
            let time = at - run.arrived;
            times.push(time);
            hedging.record_time(Duration::from_micros(time), load.usual, true);
            continue;
        }
        let mut next = run.end.min(deadline);
        if ratio.is_some() && !run.hedged {
            let mut step = run.progress.next_step(now, hedging.tail_ratio(), true);
            let again = at + check_interval(load.usual).as_micros() as u64;
            if step == HedgeStep::CheckAt(now) {
                if hedging.permit(now, SERVICE, 0).is_ok() {
                    let slowness = (!run.server.silent).then(|| run.server.slowness(at));
                    run.progress.record_check(now, slowness);
                } else {
                    run.progress.record_check(now, None);
                }
                step = run.progress.next_step(now, hedging.tail_ratio(), true);
            }
            match step {
                HedgeStep::Hedge(_) if hedging.permit(now, SERVICE, 0).is_err() => {
                    next = next.min(again);
                }
                HedgeStep::Hedge(_) if load.full => {
                    next = next.min(again);
                }
                HedgeStep::Hedge(_) => {
                    hedging.withdraw(SERVICE).unwrap();
                    hedges.push(at);
                    run.hedged = true;
                    let second = fast_server(&mut run.rng, load, at + PLACE_US);
                    run.end = run
                        .end
                        .min(second.end(at + PLACE_US, work(&mut run.rng, load)));
                    next = run.end.min(deadline);
                }
                HedgeStep::CheckAt(until) | HedgeStep::WaitUntil(until) => {
                    next = next.min(until.0);
                }
                HedgeStep::Never => {}
            }
        }
        events.push(Reverse((next, daemon, Some(i))));
    }
    times.sort_unstable();
    Outcome {
        times,
        arrivals,
        hedges,
    }
}

/// A server that was fast when it was probed, if one of six was.
fn fast_server(rng: &mut Pcg32, load: Load, at: u64) -> Server {
    let mut draw = || Server {
        seed: rng.random(),
        offset: rng.random_range(0..SPELL_US),
        slow: load.slow_servers,
        silent: rng.random::<f32>() < load.silent_servers || at / 1_000_000 >= load.silent_from_s,
    };
    let mut server = draw();
    for _ in 0..5 {
        if server.slowness(at) <= 1.0 {
            break;
        }
        server = draw();
    }
    server
}

/// Work of one run, in microseconds at the usual speed.
fn work(rng: &mut Pcg32, load: Load) -> f32 {
    let spread: f32 = (0..4).map(|_| rng.random_range(-0.26_f32..0.26)).sum();
    let long = rng.random::<f32>() < load.long_runs;
    let factor = if long { 7.0 } else { 1.0 };
    load.usual.as_micros() as f32 * spread.exp() * factor
}
