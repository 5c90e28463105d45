//! libFuzzer target for [`Target::Supply`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::Supply.run(data));
