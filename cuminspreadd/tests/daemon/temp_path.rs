//! Paths of files that tests write.

use std::fs;
use std::path::PathBuf;

/// Path of a file that only this run of the tests uses.
pub fn temp_path(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(std::process::id().to_string());
    fs::create_dir_all(&folder).unwrap();
    folder.join(name)
}
