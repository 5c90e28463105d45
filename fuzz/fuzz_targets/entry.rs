//! libFuzzer target for [`Target::Entry`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::Entry.run(data));
