//! libFuzzer target for [`Target::Answer`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::Answer.run(data));
