//! Random mutations of a corpus, repeatable by a seed.

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::target::Target;

/// Largest input.
const MAX_INPUT_BYTES: usize = 64 << 10;
/// Most mutations of one input.
const MAX_STEPS: u32 = 8;
/// Bytes at the limits of the wire formats' variable-length integers.
const BOUNDARY_BYTES: [u8; 6] = [0, 1, 0x7f, 0x80, 0xfe, 0xff];

/// Runs a target on `count` mutated inputs of the corpus.
///
/// # Panics
///
/// Panics if the corpus is empty, or if the target panics.
pub fn run(target: Target, corpus: &[Vec<u8>], seed: u64, count: u64) {
    assert!(!corpus.is_empty(), "no corpus for {}", target.label());
    let mut rng = Pcg32::seed_from_u64(seed);
    for _ in 0..count {
        let data = mutate(corpus, &mut rng);
        target.run(&data);
    }
}

fn mutate(corpus: &[Vec<u8>], rng: &mut Pcg32) -> Vec<u8> {
    let mut data = pick(corpus, rng).clone();
    for _ in 0..rng.random_range(1..=MAX_STEPS) {
        mutate_once(&mut data, corpus, rng);
        data.truncate(MAX_INPUT_BYTES);
    }
    data
}

fn mutate_once(data: &mut Vec<u8>, corpus: &[Vec<u8>], rng: &mut Pcg32) {
    if data.is_empty() {
        data.push(rng.random());
        return;
    }
    let at = rng.random_range(0..data.len());
    let end = rng.random_range(at..=data.len());
    match rng.random_range(0..7) {
        0 => data[at] ^= 1 << rng.random_range(0..8),
        1 => data[at] = BOUNDARY_BYTES[rng.random_range(0..BOUNDARY_BYTES.len())],
        2 => data.insert(at, rng.random()),
        3 => drop(data.drain(at..end)),
        4 => data.truncate(at),
        5 => data.extend_from_within(at..end),
        _ => splice(data, at, pick(corpus, rng), rng),
    }
}

/// Replaces the bytes from `at` by the end of another input.
fn splice(data: &mut Vec<u8>, at: usize, other: &[u8], rng: &mut impl Rng) {
    let from = rng.random_range(0..=other.len());
    data.truncate(at);
    data.extend_from_slice(&other[from..]);
}

fn pick<'a>(corpus: &'a [Vec<u8>], rng: &mut Pcg32) -> &'a Vec<u8> {
    &corpus[rng.random_range(0..corpus.len())]
}
