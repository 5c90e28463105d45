//! libFuzzer target for [`Target::Folder`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::Folder.run(data));
