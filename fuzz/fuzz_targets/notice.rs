//! libFuzzer target for [`Target::Notice`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::Notice.run(data));
