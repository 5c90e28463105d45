//! Runs every target on its committed corpus and on a fixed number of mutations.

use std::fs;
use std::path::Path;

use cuminspread_fuzz::mutate;
use cuminspread_fuzz::target::Target;

const SEED: u64 = 7;
const MUTATIONS: u64 = 5_000;

fn corpus(target: Target) -> Vec<Vec<u8>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("corpus")
        .join(target.label());
    let entries = fs::read_dir(folder).expect("the corpus is committed");
    let mut paths: Vec<_> = entries
        .map(|entry| entry.expect("readable").path())
        .collect();
    paths.sort();
    paths
        .iter()
        .map(|path| fs::read(path).expect("readable"))
        .collect()
}

#[test]
fn targets_accept_corpus() {
    for target in Target::ALL {
        for data in corpus(target) {
            target.run(&data);
        }
    }
}

#[test]
fn targets_accept_mutations() {
    for target in Target::ALL {
        mutate::run(target, &corpus(target), SEED, MUTATIONS);
    }
}
