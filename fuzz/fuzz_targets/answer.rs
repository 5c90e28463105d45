//! libFuzzer target for [`Target::Response`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::Response.run(data));
