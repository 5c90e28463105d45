//! Stand-ins for servers and the platform that tests and benchmarks control in process.

pub mod execution_log;
pub mod listener;
pub mod platform;
pub mod response;
pub mod slots;
pub mod upstream;
