//! Tests of the scheduler: what it must and must not order, case by case.

mod cancelling;
mod chain;
mod crashing;
mod gang_reservations;
mod in_doubt;
mod loading;
mod long_running_capacity;
mod move_safety;
mod placement;
mod pool_sizing;
mod reservation_priority;
mod reservations;
mod task_moves;
mod task_moves_random;
mod vm_order_takeover;
mod vm_service_results;
mod worker_answers;

mod directory_reads;
mod pending_jobs;
mod quotas;
mod records;
mod reservation_cases;
mod restarted_workers;
mod runs;
mod small_link;
mod start_log;
mod storing;
mod takeover;
mod unseen_starts;
mod wave_deadlines;
mod wave_progress;
mod waves;
mod worker_capacity;
mod world;
mod write_ahead;
