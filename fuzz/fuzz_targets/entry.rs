//! libFuzzer target for [`Target::ServerEntry`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::ServerEntry.run(data));
