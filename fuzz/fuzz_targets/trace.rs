//! libFuzzer target for [`Target::Recording`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::Recording.run(data));
