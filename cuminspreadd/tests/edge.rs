//! Tests of the daemon on a platform with a store: whole daemons, callers, servers and a store on
//! loopback sockets.

#[path = "daemon/caller.rs"]
#[allow(dead_code, reason = "shared with the tests of the other daemon")]
mod caller;
#[path = "edge/crash.rs"]
mod crash;
#[path = "edge/placement.rs"]
mod placement;
#[path = "edge/program.rs"]
mod program;
#[path = "edge/responses.rs"]
mod responses;
#[path = "edge/site.rs"]
mod site;
#[path = "edge/stop.rs"]
mod stop;
#[path = "edge/sync.rs"]
mod sync;
