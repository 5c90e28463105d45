//! Measures lookups in the routing table and the parsing of a folder.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use cuminspread::state::folder::parse_folder;
use cuminspread::state::table::CouncilTable;
use serde::Serialize;

use crate::config::platform::{FolderSize, PlatformFolder};

const LOOKUP_COUNT: usize = 400_000;
const PARSE_COUNT: u32 = 10;
const FOLDER_SIZES: [FolderSize; 4] = [
    size(1, 3, 12),
    size(4, 5, 15),
    size(8, 5, 15),
    size(16, 10, 15),
];

const fn size(councils: usize, services: usize, servers: usize) -> FolderSize {
    FolderSize {
        councils,
        services,
        servers,
    }
}

/// Result for one size of the folder.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct LookupRow {
    /// Number of services of all councils.
    pub services: usize,
    /// Number of servers of all services.
    pub servers: usize,
    /// Mean time of a lookup, in nanoseconds.
    pub lookup_ns: f64,
    /// Mean time to parse the whole folder, in microseconds.
    pub parse_us: f64,
}

/// Measures folders of 3 to 160 services.
pub fn measure() -> Vec<LookupRow> {
    FOLDER_SIZES.into_iter().map(measure_size).collect()
}

fn measure_size(size: FolderSize) -> LookupRow {
    let folder = PlatformFolder::new(size);
    let files = &folder.newest().files;
    let start = Instant::now();
    for _ in 0..PARSE_COUNT {
        black_box(parse_folder(black_box(files)));
    }
    let parse_us = start.elapsed().as_secs_f64() * 1e6 / f64::from(PARSE_COUNT);
    let mut table = CouncilTable::default();
    for config in parse_folder(files).councils.into_values().flatten() {
        table.insert(Arc::new(config));
    }
    let services = size.councils * size.services;
    LookupRow {
        services,
        servers: services * size.servers,
        lookup_ns: lookup_ns(&table, size),
        parse_us,
    }
}

fn lookup_ns(table: &CouncilTable, size: FolderSize) -> f64 {
    let councils = 0..size.councils;
    let requests: Vec<_> = councils
        .flat_map(|c| (0..size.services).map(move |s| (c, s)))
        .map(|(c, s)| (format!("c{c}.example"), format!("/s{s}/orders/17")))
        .collect();
    let start = Instant::now();
    for (host, path) in requests.iter().cycle().take(LOOKUP_COUNT) {
        black_box(table.lookup(black_box(host), "POST", path));
    }
    start.elapsed().as_secs_f64() * 1e9 / LOOKUP_COUNT as f64
}
