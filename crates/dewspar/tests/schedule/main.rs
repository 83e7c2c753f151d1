//! What the scheduler must and must not order, case by case.

mod cancelling;
mod chain;
mod crashing;
mod duties;
mod elsewhere;
mod facts;
mod facts_of_vms;
mod gangs_that_last;
mod in_doubt;
mod kept_and_priority;
mod kept_places;
mod lasting;
mod loading;
mod moving;
mod moving_random;
mod placing;
mod pools;

mod directory_reads;
mod records;
mod restarted_workers;
mod review;
mod rooms;
mod runs;
mod small_link;
mod start_log;
mod storing;
mod takeover;
mod unseen_starts;
mod waiting;
mod wave_accounts;
mod waves;
mod waves_in_time;
mod world;
mod write_ahead;
