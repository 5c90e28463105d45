//! How much longer requests take at servers that are nearly full, and how many such a server should
//! run.
//!
//! Load pattern: a burst exceeds the capacity of a service whose servers get slower when nearly all
//! their slots are in use. The last slots then take more throughput than they give: six requests at
//! work that take 1.7 times as long are answered at the rate of three and a half. The overload is
//! over within seconds, so the slowdown is estimated from few answers: from those to requests whose
//! server reported its load right before, by the mean of the logarithms, on which the few answers
//! that take several times as long have little effect. Each daemon alone gets few of them, so
//! daemons tell each other what they have measured since the last report. Without new answers the
//! estimate is forgotten, since nothing would show that it no longer holds.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::settings::PlacementSettings;
use crate::state::time::Mono;

/// Answers needed at nearly full servers and at others.
const MIN_ANSWERS: f32 = 12.0;
/// Answers after which older ones lose weight.
const MAX_ANSWERS: f32 = 200.0;
/// Time after which an answer has half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(300);
/// Least part by which the last slots of a server must raise its throughput to be used.
const MIN_GAIN: f32 = 0.1;
/// Change of the factor that is logged.
const NOTABLE_CHANGE: f32 = 0.1;
/// Range of a ratio that is recorded; others count as its ends.
const RATIOS: RangeInclusive<f32> = 0.5..=3.0;
/// Time between two reports of a daemon for each daemon of the fleet, so that each receives the same
/// number of reports a second whatever the size of the fleet.
const REPORT_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(100);
/// Shortest time between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Measured response times as multiples of the expected ones.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TimeRatios {
    /// Number of responses.
    pub responses: u16,
    /// Mean of the ratios' natural logarithms.
    pub mean_ln: f32,
}

impl TimeRatios {
    fn add(&mut self, ratio: f32) {
        self.responses = self.responses.saturating_add(1);
        self.mean_ln += (ratio.ln() - self.mean_ln) / f32::from(self.responses);
    }
}

/// What a daemon has measured of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SlowdownSamples {
    /// At servers with spare slots.
    pub spare: TimeRatios,
    /// At nearly full servers.
    pub nearly_full: TimeRatios,
}

/// Time between two reports of a daemon in a fleet of this size.
pub fn slowdown_report_interval(daemons: usize) -> Duration {
    let interval = REPORT_INTERVAL_PER_DAEMON * u32::try_from(daemons).unwrap_or(u32::MAX);
    interval.max(MIN_REPORT_INTERVAL)
}

/// Decaying mean of logarithms.
#[derive(Debug, Clone, Copy, Default)]
struct LogMean {
    mean: f32,
    answers: f32,
    updated: Mono,
}

impl LogMean {
    fn answers(&self, now: Mono) -> f32 {
        let halvings = now.since(self.updated).as_secs_f32() / HALF_LIFE.as_secs_f32();
        self.answers * (-halvings).exp2()
    }

    fn add(&mut self, now: Mono, ratios: TimeRatios) {
        let added = f32::from(ratios.responses).min(MAX_ANSWERS);
        let range = RATIOS.start().ln()..=RATIOS.end().ln();
        if added == 0.0 || !range.contains(&ratios.mean_ln) {
            return;
        }
        self.answers = self.answers(now).min(MAX_ANSWERS) + added;
        self.mean += (ratios.mean_ln - self.mean) * added / self.answers;
        self.updated = now;
    }

    fn as_ratios(&self, now: Mono) -> TimeRatios {
        TimeRatios {
            responses: self.answers(now) as u16,
            mean_ln: self.mean,
        }
    }
}

/// Estimate of how much longer requests of a service take at nearly full servers.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadSlowdown {
    /// Ratios of measured to expected times at servers with spare slots.
    spare: LogMean,
    /// The same at nearly full servers.
    nearly_full: LogMean,
    /// Own samples that peers don't have yet.
    unsent: SlowdownSamples,
    /// Factor at the last call of [`LoadSlowdown::take_change`]; 0 before the first.
    told: f32,
}

impl LoadSlowdown {
    /// Records the ratio of the measured to the expected time of a response.
    pub fn record(&mut self, now: Mono, ratio: f32, nearly_full: bool) {
        let ratio = ratio.clamp(*RATIOS.start(), *RATIOS.end());
        let mut sample = TimeRatios::default();
        sample.add(ratio);
        if nearly_full {
            self.nearly_full.add(now, sample);
            self.unsent.nearly_full.add(ratio);
        } else {
            self.spare.add(now, sample);
            self.unsent.spare.add(ratio);
        }
    }

    /// Records what a peer has measured; means that no samples can have are ignored.
    pub fn merge(&mut self, now: Mono, samples: &SlowdownSamples) {
        self.spare.add(now, samples.spare);
        self.nearly_full.add(now, samples.nearly_full);
    }

    /// Factor, if it has changed notably since the last call that returned one.
    pub fn take_change(&mut self, now: Mono) -> Option<f32> {
        let factor = self.factor(now);
        let is_notable = (factor - self.told.max(1.0)).abs() >= NOTABLE_CHANGE;
        is_notable.then(|| {
            self.told = factor;
            factor
        })
    }

    /// Samples that peers don't have yet; `None` without any at nearly full servers, the rarer ones.
    pub fn take_unsent(&mut self) -> Option<SlowdownSamples> {
        (self.unsent.nearly_full.responses > 0).then(|| std::mem::take(&mut self.unsent))
    }

    /// All that is known, for a daemon that has just started; `None` without samples at nearly full
    /// servers.
    pub fn summary(&self, now: Mono) -> Option<SlowdownSamples> {
        let samples = SlowdownSamples {
            spare: self.spare.as_ratios(now),
            nearly_full: self.nearly_full.as_ratios(now),
        };
        (samples.nearly_full.responses > 0).then_some(samples)
    }

    /// Time at a nearly full server, relative to one with spare slots; from 1 to 4, and 1 while too
    /// little is known.
    pub fn factor(&self, now: Mono) -> f32 {
        let known = [self.spare, self.nearly_full];
        if known.iter().any(|m| m.answers(now) < MIN_ANSWERS) {
            return 1.0;
        }
        (self.nearly_full.mean - self.spare.mean)
            .exp()
            .clamp(1.0, 4.0)
    }
}

/// Requests that a server should run at once: all its slots, or as many as leave it not nearly full
/// if the last slots hardly raise its throughput.
pub fn useful_slots(slots: u32, slowdown: f32, settings: &PlacementSettings) -> u32 {
    let spare = (slots as f32 * settings.nearly_full_fraction) as u32;
    let gain = slots as f32 / (slowdown * spare as f32) - 1.0;
    if spare > 0 && gain < MIN_GAIN && slowdown > 1.0 {
        spare
    } else {
        slots
    }
}
