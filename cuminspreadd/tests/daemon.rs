//! Tests of the daemon in folder mode, with callers and stub servers on loopback sockets.

#[path = "daemon/caller.rs"]
mod caller;
#[path = "daemon/failures.rs"]
mod failures;
#[path = "daemon/fixture.rs"]
mod fixture;
#[path = "daemon/other_threads.rs"]
mod other_threads;
#[path = "daemon/path.rs"]
mod path;
#[path = "daemon/program.rs"]
mod program;
#[path = "daemon/record.rs"]
mod record;
#[path = "daemon/settings.rs"]
mod settings;
#[path = "daemon/spans.rs"]
mod spans;
#[path = "daemon/stop.rs"]
mod stop;
#[path = "daemon/stub_server.rs"]
mod stub_server;
#[path = "daemon/temp_path.rs"]
mod temp_path;
