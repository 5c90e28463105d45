//! Tests of the daemon in store mode: complete daemons, with callers and stand-ins for the servers
//! and the store on loopback sockets.

#[path = "edge/ahead.rs"]
mod ahead;
#[path = "daemon/caller.rs"]
#[allow(dead_code, reason = "shared with the tests of folder mode")]
mod caller;
#[path = "edge/cold_server.rs"]
mod cold_server;
#[path = "edge/crash.rs"]
mod crash;
#[path = "edge/cut_daemons.rs"]
mod cut_daemons;
#[path = "edge/delivery.rs"]
mod delivery;
#[path = "edge/endless.rs"]
mod endless;
#[path = "edge/evacuation.rs"]
mod evacuation;
#[path = "edge/fixture.rs"]
mod fixture;
#[path = "edge/forwarding.rs"]
mod forwarding;
#[path = "edge/hedging.rs"]
mod hedging;
#[path = "edge/leaving.rs"]
mod leaving;
#[path = "edge/load.rs"]
mod load;
#[path = "edge/newcomers.rs"]
mod newcomers;
#[path = "edge/odd_entries.rs"]
mod odd_entries;
#[path = "daemon/other_threads.rs"]
mod other_threads;
#[path = "edge/pause.rs"]
mod pause;
#[path = "edge/placement.rs"]
mod placement;
#[path = "edge/program.rs"]
mod program;
#[path = "edge/reader_loss.rs"]
mod reader_loss;
#[path = "edge/regions.rs"]
mod regions;
#[path = "edge/responses.rs"]
mod responses;
#[path = "edge/restore.rs"]
mod restore;
#[path = "edge/server_limit.rs"]
mod server_limit;
#[path = "edge/stop.rs"]
mod stop;
#[path = "edge/sync.rs"]
mod sync;
#[path = "daemon/temp_path.rs"]
mod temp_path;
