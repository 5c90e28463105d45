//! libFuzzer target for [`Target::PullResponse`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::PullResponse.run(data));
