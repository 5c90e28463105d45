//! Stand-ins of the platform, servers and clients, and the cases of the review.
//!
//! `standin CASE FOLDER` plays a case with the project's daemons; FOLDER gets `record.txt`. Exits with
//! 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod cold_servers;
mod crashing_order;
mod daemon;
mod http;
mod late_copy;
mod record;
mod server;
mod stalled_download;
mod store;

use std::path::{Path, PathBuf};

use crashing_order::Trouble;

/// Temporary folder of this process; removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create() -> Self {
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        Self(dir)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let folder = Path::new(folder);
    let end = match case.as_str() {
        "late-copy" => late_copy::play(folder, trouble),
        "crashing-order" if trouble => crashing_order::play(folder, Trouble::Restarts),
        "silent-crash" if trouble => crashing_order::play(folder, Trouble::SilentCrashes),
        "crashing-order" | "silent-crash" => crashing_order::play(folder, Trouble::None),
        "cold-servers" => cold_servers::play(folder, trouble),
        "stalled-download" => stalled_download::play(folder, trouble),
        _ => {
            eprintln!("unknown case {case}");
            2
        }
    };
    std::process::exit(end);
}
