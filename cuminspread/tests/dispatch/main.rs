//! Tests of the dispatcher, one module per topic.

mod choice;
mod crash;
mod limits;
mod outcome;
mod probe;
mod retry;
mod support;
