//! libFuzzer target for [`Target::Gossip`].
#![no_main]

use cuminspread_fuzz::target::Target;

libfuzzer_sys::fuzz_target!(|data: &[u8]| Target::Gossip.run(data));
