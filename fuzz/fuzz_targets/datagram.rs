//! libFuzzer target for [`Target::Envelope`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::Envelope.run(data));
