//! libFuzzer target for [`Target::Routing`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::Routing.run(data));
