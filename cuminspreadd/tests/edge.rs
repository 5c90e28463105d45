//! Tests of the daemon on a platform with a store: whole daemons, callers, servers and a store on
//! loopback sockets.

#[path = "edge/answers.rs"]
mod answers;
#[path = "daemon/caller.rs"]
#[allow(dead_code, reason = "shared with the tests of the other daemon")]
mod caller;
#[path = "edge/crash.rs"]
mod crash;
#[path = "edge/news.rs"]
mod news;
#[path = "edge/placing.rs"]
mod placing;
#[path = "edge/program.rs"]
mod program;
#[path = "edge/site.rs"]
mod site;
#[path = "edge/stop.rs"]
mod stop;
