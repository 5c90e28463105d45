//! Reads a folder of INI files from a file system, for operators' tools.

use std::ffi::OsStr;
use std::path::Path;
use std::sync::Arc;
use std::{fs, io};

use crate::state::Name;
use crate::state::folder::{FolderFile, MAX_FILE_BYTES, MAX_FILES};

/// Reads all `.ini` files of a folder, in the order of their names.
///
/// # Errors
///
/// Fails if the folder or a file can't be read, if a file isn't UTF-8 or is larger than
/// [`MAX_FILE_BYTES`], or if there are more than [`MAX_FILES`] files. The error contains the path,
/// except for too many files.
pub fn read_folder(path: &Path) -> io::Result<Vec<FolderFile>> {
    let entries = fs::read_dir(path).map_err(|e| with_path(path, &e))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry?.path();
        if path.extension() != Some(OsStr::new("ini")) {
            continue;
        }
        files.push(read_file(&path)?);
        if files.len() > MAX_FILES {
            return Err(io::Error::other(format!("more than {MAX_FILES} files")));
        }
    }
    files.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(files)
}

fn read_file(path: &Path) -> io::Result<FolderFile> {
    let size = fs::metadata(path).map_err(|e| with_path(path, &e))?.len();
    if size > MAX_FILE_BYTES as u64 {
        let error = io::Error::other(format!("larger than {MAX_FILE_BYTES} bytes"));
        return Err(with_path(path, &error));
    }
    let text = fs::read_to_string(path).map_err(|e| with_path(path, &e))?;
    let name = path.file_name().unwrap_or_default();
    Ok(FolderFile {
        name: Name::new(name.to_string_lossy()),
        text: Arc::from(text),
    })
}

fn with_path(path: &Path, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}
