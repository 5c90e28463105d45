//! Lower bound on the latency: one queue per service, with full knowledge of all slots.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use crate::policy::case::{Arrival, Case};
use crate::policy::run::{Faults, Outcome, Sample, one_way_us};
use crate::policy::shop::Shop;

/// Runs the arrivals through a single FIFO queue per service; each call takes the free slot with the
/// earliest response.
pub fn run(shop: &Shop, case: &Case, seed: u64, arrivals: &[Arrival]) -> Vec<Sample> {
    let mut faults = Faults::new(shop, case, seed);
    let mut servers = faults.servers(shop);
    let mut completions: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut queues: Vec<VecDeque<usize>> = vec![VecDeque::new(); shop.services.len()];
    let mut samples = Vec::new();
    let mut next = 0;
    while next < arrivals.len() || !completions.is_empty() {
        let next_arrival = arrivals.get(next).map_or(u64::MAX, |a| a.at);
        let next_end = completions.peek().map_or(u64::MAX, |Reverse((t, _))| *t);
        let now = next_arrival.min(next_end);
        faults.advance(now, &mut servers);
        let service = if next_arrival <= next_end {
            queues[arrivals[next].service].push_back(next);
            next += 1;
            arrivals[next - 1].service
        } else {
            let Some(Reverse((_, server))) = completions.pop() else {
                break;
            };
            servers[server].running -= 1;
            servers[server].service
        };
        while let Some(call) = queues[service].front().copied() {
            let call = &arrivals[call];
            let home = call.daemon % 3;
            let free = servers.iter().enumerate().filter(|(_, s)| {
                s.service == service
                    && s.running < s.slots
                    && s.draining_since.is_none()
                    && !s.offline
            });
            let best = free.min_by(|(_, a), (_, b)| {
                let cost = |s: &crate::policy::server::ModelServer| {
                    call.processing_us as f64 * s.slowdown
                        + 2.0 * one_way_us(home, s.data_centre) as f64
                };
                cost(a).total_cmp(&cost(b))
            });
            let Some((i, server)) = best else {
                break;
            };
            let one_way = one_way_us(home, server.data_centre);
            let end = now + (call.processing_us as f64 * server.slowdown) as u64;
            servers[i].running += 1;
            completions.push(Reverse((end, i)));
            samples.push(Sample {
                arrived_us: call.at,
                service,
                latency_us: end + 2 * one_way - call.at,
                processing_us: call.processing_us,
                outcome: Outcome::Ran,
            });
            queues[service].pop_front();
        }
    }
    samples
}
