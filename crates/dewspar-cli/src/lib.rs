/*!
The command line of dewspar, and the parts that its experiments are made of.

[`cluster`] puts nodes and stand-ins together in one process, [`deployment`]
has the two users' fleets at today's size, [`load`] sends requests and writes
down what came back, [`observer`] writes down what nodes show. [`story`] and [`delays`] read the
nodes' logs: what became of one job, and where the time of all late ones went.
*/

pub mod bare;
pub mod cluster;
pub mod delays;
pub mod deployment;
pub mod halls;
pub mod job_status;
pub mod load;
pub mod log_line;
pub mod observer;
pub mod story;
pub mod trace;

pub mod client;
pub mod commands;
pub mod exit;
pub mod output;
