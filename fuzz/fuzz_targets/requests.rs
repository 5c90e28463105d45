//! libFuzzer target for [`Target::Requests`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::Requests.run(data));
