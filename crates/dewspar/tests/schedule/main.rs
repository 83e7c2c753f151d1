//! What the scheduler must and must not order, case by case.

mod cancelling;
mod chain;
mod crashing;
mod duties;
mod facts;
mod facts_of_vms;
mod lasting;
mod loading;
mod placing;
mod pools;

mod readings;
mod records;
mod rooms;
mod runs;
mod small_link;
mod takeover;
mod waiting;
mod waves;
mod world;
