/*!
The daemon's counters and gauges, by name.

Every refusal and every retry has a reason, and every reason is counted. The
table [`ALL`] is what `docs/METRICS.md` lists; a test compares the two.
*/

use metrics::{counter, gauge, histogram};

/// A metric as operators see it.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// The metric's name.
    pub name: &'static str,
    /// What kind of metric it is.
    pub kind: &'static str,
    /// The label that tells its series apart, if it has one.
    pub label: Option<&'static str>,
    /// What it counts.
    pub help: &'static str,
}

macro_rules! metrics {
    ($($id:ident, $kind:literal, $name:literal, $label:expr, $help:literal;)*) => {
        $(
            #[doc = $help]
            pub const $id: &str = $name;
        )*

        /// Every metric of the daemon.
        pub const ALL: &[Metric] = &[$(
            Metric {
                name: $name,
                kind: $kind,
                label: $label,
                help: $help,
            },
        )*];
    };
}

metrics! {
    REQUESTS, "counter", "dewspar_requests_total", Some("outcome"),
        "Requests answered, by what the caller was told.";
    REFUSALS, "counter", "dewspar_refusals_total", Some("reason"),
        "Requests refused, by reason.";
    RETRIES, "counter", "dewspar_retries_total", Some("reason"),
        "Requests sent to another runner, by reason.";
    EJECTIONS, "counter", "dewspar_ejections_total", None,
        "Runners taken out of routing for failing.";
    REQUEST_TIME, "histogram", "dewspar_request_seconds", None,
        "Time from a request's arrival to its answer, in seconds.";
    SLOT_WAIT, "histogram", "dewspar_slot_wait_seconds", None,
        "Time that a request waited for a slot, in seconds.";
    SLOT_SYNCS, "counter", "dewspar_slot_syncs_total", None,
        "Messages in which this node stated its slots to a granter.";
    SLOT_RECALLS, "counter", "dewspar_slot_recalls_total", None,
        "Messages that asked other nodes for their idle slots.";
    JOURNAL_WRITES, "counter", "dewspar_journal_writes_total", Some("result"),
        "Writes of the filings journal, by result.";
    JOURNAL_ENTRIES, "counter", "dewspar_journal_entries_total", None,
        "Entries written to the filings journal.";
    PLATFORM_FAILURES, "counter", "dewspar_platform_failures_total",
        Some("reason"),
        "Calls to the platform without result, by reason.";
    UNREADABLE, "counter", "dewspar_unreadable_total", Some("what"),
        "Versions of things passed over since they can't be read, by what.";
    PROBES, "counter", "dewspar_probes_total", Some("result"),
        "Probes of peers, by result.";
    PEER_BYTES, "counter", "dewspar_peer_bytes_total", Some("direction"),
        "Bytes of messages between nodes, by direction.";
    PEER_REFUSALS, "counter", "dewspar_peer_refusals_total", Some("reason"),
        "Connections and messages of peers refused, by reason.";
    PEER_CALLS_REFUSED, "counter", "dewspar_peer_calls_refused_total", Some("reason"),
        "Calls to the store that this node refused to forward, by reason.";
    INBOUND_LIMITS, "counter", "dewspar_inbound_limits_total", Some("reason"),
        "Connections closed and requests refused since clients took too much, by reason.";
    SECOND_OBSERVERS, "counter", "dewspar_second_observers_total", Some("answer"),
        "Questions to another node whether it reaches a reader that doesn't answer this one, by answer.";
    CONFIG_WRITES, "counter", "dewspar_config_writes_total", Some("result"),
        "Changes of the desired state, by result.";
    CONFIG_REVISION, "gauge", "dewspar_config_revision", None,
        "The revision of the desired state in force on this node.";
    LIVE_NODES, "gauge", "dewspar_live_nodes", None,
        "Nodes on the roster that aren't suspected.";
    FLEET_STEPS, "counter", "dewspar_fleet_steps_total", Some("step"),
        "Steps taken on VMs and tasks, by kind.";
    LATE_VMS, "counter", "dewspar_wave_late_vms_total", Some("reason"),
        "VMs left when their wave's time was over, by what kept them.";
    FLEET_CONFLICTS, "counter", "dewspar_fleet_conflicts_total", None,
        "Fleet and pool documents that another node had changed first.";
    JOB_CALLS, "counter", "dewspar_job_calls_total", Some("outcome"),
        "Calls on jobs, by what the caller was told.";
    JOB_CALL_TIME, "histogram", "dewspar_job_call_seconds", None,
        "Time from a call on a job to its answer, in seconds.";
    JOBS, "counter", "dewspar_jobs_total", Some("phase"),
        "Jobs that came to their end, by how.";
    JOB_TIME, "histogram", "dewspar_job_seconds", None,
        "Time from a job's acceptance to its end, in seconds.";
    TASK_STARTS, "counter", "dewspar_task_starts_total", None,
        "Runs of tasks that were ordered to start.";
    TASK_WAIT, "histogram", "dewspar_task_wait_seconds", None,
        "Time that a task waited for a worker, in seconds.";
    TASK_ENDS, "counter", "dewspar_task_ends_total", Some("cause"),
        "Runs of tasks that ended, by how.";
    TASK_STOPS, "counter", "dewspar_task_stops_total", Some("reason"),
        "Runs of tasks that were stopped, by why.";
    STOP_TIME, "histogram", "dewspar_task_stop_seconds", Some("reason"),
        "Time from the first order to stop a run to its end, in seconds.";
    OVERDUE_STOPS, "counter", "dewspar_task_stops_overdue_total", Some("reason"),
        "Runs that went on for longer than a stop may take, by why they were to stop.";
    LONG_WAITS, "counter", "dewspar_task_long_waits_total", Some("reason"),
        "Times that tasks that are to last were found waiting for long, by why.";
    QUOTA_DELAYS, "counter", "dewspar_quota_delays_total", None,
        "Times that a team's quota was found to delay starts, at most one in 2 s for each team.";
    TEAM_LIMITS, "counter", "dewspar_team_limits_total", None,
        "Times that the limit on a team's submissions to a pool began or ended.";
    TEAM_RUNNING, "gauge", "dewspar_team_running_cores", Some("team"),
        "Cores that count against a team's quota for runs, while this node schedules.";
    TEAM_STOPPING, "gauge", "dewspar_team_stopping_cores", Some("team"),
        "Cores that count against it for runs that were told to stop.";
    TEAM_IN_DOUBT, "gauge", "dewspar_team_in_doubt_cores", Some("team"),
        "Cores that count against it for what may run without being known.";
    TEAM_QUOTA, "gauge", "dewspar_team_quota_cores", Some("team"),
        "The cores of a team's quota; 0 for no limit.";
    TEAM_MEMORY, "gauge", "dewspar_team_memory_mb", Some("team"),
        "Memory that counts against a team's quota for any reason, in megabytes.";
    TEAM_MEMORY_QUOTA, "gauge", "dewspar_team_quota_memory_mb", Some("team"),
        "The memory of a team's quota, in megabytes; 0 for no limit.";
    EVACUATED_HALL_RUNS, "gauge", "dewspar_evacuated_hall_runs", Some("hall"),
        "Runs in a data hall that is being emptied, while this node schedules.";
    EVACUATED_HALL_STUCK, "gauge", "dewspar_evacuated_hall_stuck_tasks",
        Some("hall"),
        "Long-running tasks in a data hall that is being emptied without a place elsewhere, while this node schedules.";
    EVACUATED_HALL_TIME, "gauge", "dewspar_evacuated_hall_seconds", Some("hall"),
        "For how long a data hall has been emptied, in seconds; 0 once it is in use again.";
    HALL_LOSS_PLANS, "counter", "dewspar_hall_loss_plans_total", None,
        "Times that a data hall went down and the VMs that replace its own were ordered.";
    HALL_RESERVE_UNMET, "counter", "dewspar_hall_reserve_unmet_total", None,
        "Times that the reserve against the loss of data halls was found too small, at most one in 10 s.";
    HALL_RESERVE_MISSING, "gauge", "dewspar_hall_reserve_missing_vms", None,
        "VMs that this reserve lacked when that was last reported; 0 once it is met.";
    HALL_STATE, "gauge", "dewspar_hall_state", Some("hall"),
        "A data hall's state on the node that schedules: 0 reachable, 1 indirect, 2 cut off, 3 lost, 4 returning.";
    HALL_CHANGES, "counter", "dewspar_hall_changes_total", Some("hall"),
        "Changes of a data hall's state, as concluded by the node that schedules.";
    STARTS_IN_DOUBT, "counter", "dewspar_starts_in_doubt_total", None,
        "Starts without an answer whose tasks start on the same worker only for a while.";
    SUSPECTED_RUNS, "counter", "dewspar_suspected_runs_total", None,
        "Runs whose worker was lost soon after it had been told to start them.";
    TASKS_GIVEN_UP, "counter", "dewspar_tasks_given_up_total", None,
        "Tasks given up since workers crash that start them.";
    ORDERS, "counter", "dewspar_orders_total", Some("order, result"),
        "Orders to workers, by kind and result.";
    OTHER_PROCESSES, "counter", "dewspar_worker_processes_total", Some("outcome"),
        "Times that another process of a worker told of itself, newer or former.";
    LISTS_PASSED_OVER, "counter", "dewspar_worker_lists_passed_over_total", None,
        "Rows of answers whose lists were passed over, the worker's clock being behind.";
    PARTIAL_ANSWERS, "counter", "dewspar_partial_answers_total", None,
        "Series of answers of a worker with rows that can't be read, so that runs may be missing.";
    ENDS_AWAITED, "counter", "dewspar_ends_awaited_total", None,
        "Runs that had ended before their worker listed how, since it lists a limited number of ends at once.";
    REJECTED_RECORDS, "counter", "dewspar_rejected_records_total", Some("what"),
        "Writes of records that the store doesn't accept, by what they hold.";
    WORKER_SUSPENSIONS, "counter", "dewspar_worker_suspensions_total", None,
        "Times that a worker got nothing to start for a while.";
    WORKERS_GONE, "counter", "dewspar_workers_gone_total", Some("reason"),
        "Workers that were taken for ended, by how that was detected.";
    WORKERS_DOUBTED, "counter", "dewspar_workers_doubted_total", None,
        "Times that the directory listed another worker on a worker's VM and not the worker.";
    TAKEOVERS, "counter", "dewspar_takeovers_total", None,
        "Times that this node took the scheduler lease.";
    STANDSTILLS, "counter", "dewspar_standstills_total", None,
        "Times that the scheduling node planned nothing for half a second or more.";
    SUSPENSIONS, "counter", "dewspar_suspensions_total", None,
        "Times that the scheduling node found that its VM had been suspended.";
    STORE_OUTAGES, "counter", "dewspar_store_outages_total", None,
        "Times that this node took the store for out and refused new jobs.";
    ISOLATIONS, "counter", "dewspar_isolations_total", None,
        "Times that this node found itself cut off with its data hall and refused all calls.";
    ORDERS_WINDOW, "gauge", "dewspar_orders_window", None,
        "Orders to workers that this node may have under way, while it schedules.";
    RELAYS, "gauge", "dewspar_relays", None,
        "Nodes that carry orders to workers for this one, while it schedules.";
    RELAYS_LOST, "counter", "dewspar_relays_lost_total", None,
        "Relays of this node that were lost or stopped.";
    HALL_PATHS, "counter", "dewspar_hall_paths_total", Some("change"),
        "Changes of the paths to data halls that the scheduling node or its relays use, by kind.";
    INDIRECT_HALLS, "gauge", "dewspar_indirect_halls", None,
        "Data halls that this node reaches only over another hall, while it schedules.";
    RELAY_REFUSALS, "counter", "dewspar_relay_refusals_total", None,
        "Orders that this node didn't carry because too many were under way.";
    ORDERS_UNDER_WAY, "gauge", "dewspar_orders_under_way", None,
        "Orders to workers that are under way, while this node schedules.";
    OVERLOADS, "counter", "dewspar_overloads_total", None,
        "Times that this node gave the scheduler lease up because it couldn't keep up.";
    PLATFORM_CALLS, "counter", "dewspar_platform_calls_total", Some("purpose"),
        "Calls to the platform and the workers that were answered while this node schedules, by what they were for.";
    PLATFORM_BYTES, "counter", "dewspar_platform_bytes_total", Some("purpose, direction"),
        "Bytes of these calls, heads and bodies, by what they were for and by direction.";
    EVENT_WAIT, "gauge", "dewspar_event_wait_seconds", None,
        "The longest that an event waited to be taken in during the last second, while this node schedules.";
    SILENT_FEEDS, "counter", "dewspar_silent_feeds_total", None,
        "Times that accepted jobs were read outright because the feed was silent.";
    START_PAUSES, "counter", "dewspar_start_pauses_total", Some("state"),
        "Times that this node started nothing because some stored state was too stale, by state.";
    CANCELLATION_READS, "counter", "dewspar_cancellation_reads_total", None,
        "Times that the stored cancellations were read because the feed was behind.";
    READY, "gauge", "dewspar_ready", None,
        "Whether this node accepts callers: 1 or 0.";
}

/// Counts one event of a metric without a label.
pub(crate) fn count(name: &'static str) {
    counter!(name).increment(1);
}

/// Adds to a metric without a label.
pub(crate) fn add(name: &'static str, amount: u64) {
    counter!(name).increment(amount);
}

/// Counts one event of a metric with a label.
pub(crate) fn count_by(
    name: &'static str,
    label: &'static str,
    value: &'static str,
) {
    counter!(name, label => value).increment(1);
}

/// Adds to a metric with a label.
pub(crate) fn add_by(
    name: &'static str,
    label: &'static str,
    value: &'static str,
    amount: u64,
) {
    counter!(name, label => value).increment(amount);
}

/// Sets a gauge.
pub(crate) fn set(name: &'static str, value: f64) {
    gauge!(name).set(value);
}

/// Sets the gauge of a team.
pub(crate) fn set_of_team(name: &'static str, team: &str, value: f64) {
    gauge!(name, "team" => team.to_owned()).set(value);
}

/// Sets the gauges of a data hall that is being emptied, or that no longer is:
/// for how long it has been, its runs, and the tasks that have no place
/// elsewhere.
pub(crate) fn set_of_hall(hall: &str, age_ms: u64, runs: usize, stuck: usize) {
    let hall = || hall.to_owned();
    gauge!(EVACUATED_HALL_TIME, "hall" => hall()).set(age_ms as f64 / 1e3);
    gauge!(EVACUATED_HALL_RUNS, "hall" => hall()).set(runs as f64);
    gauge!(EVACUATED_HALL_STUCK, "hall" => hall()).set(stuck as f64);
}

/// Counts the change of a data hall's state to the one with this number.
pub(crate) fn hall_changed(hall: &str, state: u8) {
    counter!(HALL_CHANGES, "hall" => hall.to_owned()).increment(1);
    gauge!(HALL_STATE, "hall" => hall.to_owned()).set(f64::from(state));
}

/// Records a time that began at `since`.
pub(crate) fn record_since(name: &'static str, since: tokio::time::Instant) {
    histogram!(name).record(since.elapsed().as_secs_f64());
}

/// Counts a call to the platform that gave no result.
pub(crate) fn platform_failure(error: &dewspar_platform::Error) {
    count_by(PLATFORM_FAILURES, "reason", error.reason_name());
}
