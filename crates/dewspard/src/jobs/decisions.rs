/*!
Logging and metrics of the scheduler's decisions: a log line for each decision,
and a counter for most kinds.
*/

use {
    crate::counters,
    dewspar::schedule::{
        Decision, RemainingVms, WaveDeadline, WaveProgress, WorkerEvidence,
        WorkerId,
    },
    slog::{KV, Logger, info, o, warn},
};

/// Logs and counts a decision.
pub(super) fn log_and_count(log: &Logger, decision: &Decision) {
    match decision {
        Decision::Started {
            task,
            run,
            worker,
            waited_ms,
            cpu_millis,
            cancellations,
            cancellations_age_ms,
            renewal_age_ms,
        } => {
            info!(log, "task: start ordered"; "job" => %task.job, "task" => %task,
                "run" => run, "worker" => %worker, "waited_ms" => waited_ms,
                "cpu_millis" => cpu_millis,
                "cancellations_revision" => cancellations.revision,
                "cancellations_age_ms" => cancellations_age_ms,
                "renewal_age_ms" => renewal_age_ms);
            counters::count(counters::TASK_STARTS);
            metrics::histogram!(counters::TASK_WAIT)
                .record(*waited_ms as f64 / 1_000.0);
        }
        Decision::JobBegan { job, after_ms } => {
            info!(log, "job: begun"; "job" => %job, "after_ms" => after_ms);
        }
        Decision::Ended { task, run, worker, cause, failures, worked_ms } => {
            info!(log, "task: ended"; "job" => %task.job, "task" => %task,
                "run" => run, "worker" => %worker, "cause" => cause.name(),
                "failures" => failures, "worked_ms" => worked_ms);
            counters::count_by(counters::TASK_ENDS, "cause", cause.name());
        }
        Decision::Adopted { task, run, worker } => {
            info!(log, "task: found running"; "job" => %task.job,
                "task" => %task, "run" => run, "worker" => %worker);
        }
        Decision::Stopped { task, run, worker, reason } => {
            info!(log, "task: to be stopped"; "job" => %task.job,
                "task" => %task, "run" => run, "worker" => %worker,
                "reason" => reason);
            counters::count_by(counters::TASK_STOPS, "reason", reason);
        }
        Decision::Displaced { task, worker, place } => {
            info!(log, "task: is to move"; "job" => %task.job,
                "task" => %task, "worker" => %worker,
                "place" => place.as_ref().map(|place| place.to_string()));
        }
        Decision::LongWait { task, tasks, waited_ms, reason, unfit } => {
            warn!(log, "task: waits"; "job" => %task.job, "task" => %task,
                "tasks" => tasks, "waited_ms" => waited_ms,
                "reason" => reason, "workers" => unfit.workers,
                "closed" => unfit.closed, "short_of_cpu" => unfit.cpu,
                "short_of_memory" => unfit.memory,
                "with_siblings" => unfit.siblings, "barred" => unfit.barred);
            counters::count_by(counters::LONG_WAITS, "reason", reason);
        }
        Decision::TeamLimited {
            pool,
            team,
            admitted_permille,
            submitted,
            share,
            wait_ms,
        } => {
            let is_limited = *admitted_permille < 1_000;
            info!(log, "team: submissions limited"; "pool" => pool,
                "team" => team, "limited" => is_limited,
                "admitted_permille" => admitted_permille,
                "submitted" => submitted, "share" => share,
                "wait_ms" => wait_ms);
            counters::count(counters::TEAM_LIMITS);
        }
        Decision::QuotaReached { team, task, quota, usage, is_counted } => {
            info!(log, "team: quota delays starts"; "team" => team,
                "task" => %task, "counted" => is_counted,
                "quota_cpu" => quota.cpu_millis,
                "quota_memory_mb" => quota.memory_mb,
                "running_cpu" => usage.running.cpu_millis,
                "running_memory_mb" => usage.running.memory_mb,
                "stopping_cpu" => usage.stopping.cpu_millis,
                "stopping_memory_mb" => usage.stopping.memory_mb,
                "in_doubt_cpu" => usage.in_doubt.cpu_millis,
                "in_doubt_memory_mb" => usage.in_doubt.memory_mb);
            counters::count(counters::QUOTA_DELAYS);
        }
        Decision::StopFinished { task, run, worker, cause, stop } => {
            info!(log, "task: stopped"; "job" => %task.job, "task" => %task,
                "run" => run, "worker" => %worker, "cause" => cause,
                "reason" => stop.reason, "after_ms" => stop.after_ms,
                "orders" => stop.orders, "answered" => stop.answered);
            metrics::histogram!(
                counters::STOP_TIME, "reason" => stop.reason
            )
            .record(stop.after_ms as f64 / 1_000.0);
        }
        Decision::StopOverdue { task, run, worker, stop } => {
            warn!(log, "task: stop takes long"; "job" => %task.job,
                "task" => %task, "run" => run, "worker" => %worker,
                "reason" => stop.reason, "after_ms" => stop.after_ms,
                "orders" => stop.orders, "answered" => stop.answered);
            counters::count_by(counters::OVERDUE_STOPS, "reason", stop.reason);
        }
        Decision::RunLost {
            task,
            run,
            worker,
            reason,
            age_ms,
            other_runs,
            renewal_age_ms,
        } => {
            warn!(log, "task: run lost"; "job" => %task.job,
                "task" => %task, "run" => run, "worker" => %worker,
                "reason" => reason, "age_ms" => age_ms, "beside" => other_runs,
                "renewal_age_ms" => renewal_age_ms);
            counters::count_by(counters::TASK_ENDS, "cause", "lost");
        }
        Decision::StartInDoubt { task, worker, for_ms } => {
            warn!(log, "task: start in doubt"; "job" => %task.job,
                "task" => %task, "worker" => %worker, "for_ms" => for_ms,
                "outcome" => "it starts on that worker only");
            counters::count(counters::STARTS_IN_DOUBT);
        }
        Decision::Suspected { task, worker, crashes, most_age_ms, alone } => {
            warn!(log, "task: suspected"; "job" => %task.job, "task" => %task,
                "worker" => %worker, "crashes" => crashes,
                "most_age_ms" => most_age_ms, "alone" => alone);
            counters::count(counters::SUSPECTED_RUNS);
        }
        Decision::Reserved { worker, task, runs } => {
            info!(log, "worker: reserved"; "worker" => %worker,
                "job" => %task.job, "task" => %task, "runs" => runs,
                "reason" => "the task may crash its workers");
        }
        Decision::CrashesRetracted { worker, crashes } => {
            info!(log, "worker: crash retracted"; "worker" => %worker,
                "tasks" => crashes);
        }
        Decision::HeldBack { task, crashes, for_ms } => {
            warn!(log, "task: held back"; "job" => %task.job,
                "task" => %task, "crashes" => crashes, "for_ms" => for_ms,
                "reason" => "workers crash that start it, its siblings work");
        }
        Decision::GivenUp { task, crashes } => {
            warn!(log, "task: given up"; "job" => %task.job, "task" => %task,
                "crashes" => crashes,
                "reason" => "workers crash that start it");
            counters::count(counters::TASKS_GIVEN_UP);
        }
        Decision::OrderFailed { worker, task, reason } => {
            warn!(log, "worker: order gave no result";
                "worker" => %worker, "job" => task.map(|t| t.job.to_string()),
                "task" => task.map(|t| t.to_string()), "reason" => reason);
        }
        Decision::Suspended { worker, reason } => {
            warn!(log, "worker: suspended"; "worker" => %worker,
                "reason" => reason);
            counters::count(counters::WORKER_SUSPENSIONS);
        }
        Decision::Synced { worker, process, runs } => {
            info!(log, "worker: answers"; "worker" => %worker,
                "process" => %process, "runs" => runs);
        }
        Decision::OtherProcess { worker, known, told, source } => {
            let outcome = if told > known { "newer" } else { "former" };
            warn!(log, "worker: another process tells"; "worker" => %worker,
                "known" => %known, "told" => %told, "source" => source,
                "outcome" => outcome);
            counters::count_by(counters::OTHER_PROCESSES, "outcome", outcome);
        }
        Decision::StaleReportIgnored { worker, clock_ms, latest_ms } => {
            warn!(log, "worker: lists passed over"; "worker" => %worker,
                "clock_ms" => clock_ms, "latest_ms" => latest_ms,
                "reason" => "the worker's clock is behind");
            counters::count(counters::LISTS_PASSED_OVER);
        }
        Decision::AnswerPartial { worker, runs, is_lease_withheld } => {
            warn!(log, "worker: answer can't be read in full";
                "worker" => %worker, "runs" => runs,
                "lease_withheld" => is_lease_withheld);
            counters::count(counters::PARTIAL_ANSWERS);
        }
        Decision::AnswerComplete { worker } => {
            info!(log, "worker: answer can be read in full again";
                "worker" => %worker);
        }
        Decision::EndsAwaited { worker, runs } => {
            info!(log, "worker: hasn't listed all ends yet";
                "worker" => %worker, "runs" => runs);
            counters::add(counters::ENDS_AWAITED, *runs as u64);
        }
        Decision::DrainStarted { worker, vm, reason } => {
            info!(log, "worker: emptied"; "worker" => %worker, "vm" => vm,
                "reason" => reason);
        }
        Decision::HallEvacuated { hall, workers, runs } => {
            info!(log, "hall: nothing more starts there"; "hall" => hall,
                "workers" => workers, "runs" => runs);
        }
        Decision::EvacuationStuck { hall, tasks: 0 } => {
            info!(log, "hall: all long-running tasks have a place elsewhere";
                "hall" => hall);
        }
        Decision::EvacuationStuck { hall, tasks } => {
            warn!(log, "hall: long-running tasks have no place elsewhere";
                "hall" => hall, "tasks" => tasks);
        }
        Decision::HallRestored { hall, after_ms } => {
            info!(log, "hall: in use again"; "hall" => hall,
                "after_ms" => after_ms);
            counters::set_of_hall(hall, 0, 0, 0);
        }
        Decision::HallLossPlanned { hall, state, vms, moves } => {
            warn!(log, "hall: down, its VMs are replaced"; "hall" => hall,
                "state" => state, "vms" => vms, "moves" => moves);
            counters::count(counters::HALL_LOSS_PLANS);
        }
        Decision::HallReserve { needed_vms, outside_vms, missing_vms } => {
            info!(log, "hall: reserve"; "needed_vms" => needed_vms,
                "outside_vms" => outside_vms, "missing_vms" => missing_vms);
            if *missing_vms > 0 {
                counters::count(counters::HALL_RESERVE_UNMET);
            }
            counters::set(counters::HALL_RESERVE_MISSING, *missing_vms as f64);
        }
        Decision::HallChanged { change, workers, runs, uncounted } => {
            warn!(log, "hall: {}", change.to.name(); "hall" => &change.hall,
                "before" => change.from.name(), "for_ms" => change.after_ms,
                "evidence" => change.evidence, "silent" => change.silent,
                "asked" => change.asked, "workers" => workers,
                "runs" => runs, "losses_uncounted" => uncounted);
            counters::hall_changed(&change.hall, change.to.number());
        }
        Decision::StartsPaused { state, age_ms } => {
            warn!(log, "holder: nothing starts"; "age_ms" => age_ms,
                "state" => state.name(),
                "reason" => "the state is too stale");
            counters::count_by(counters::START_PAUSES, "state", state.name());
        }
        Decision::StartsResumed { state, after_ms } => {
            info!(log, "holder: tasks start again"; "after_ms" => after_ms,
                "state" => state.name());
        }
        Decision::PoolSized {
            pool,
            target,
            vms,
            used_cpu,
            forecast_cpu,
            waiting_cpu,
        } => {
            info!(log, "pool: sized"; "pool" => pool, "target" => target,
                "vms" => vms, "used_cpu" => used_cpu,
                "forecast_cpu" => forecast_cpu, "waiting_cpu" => waiting_cpu);
        }
        Decision::WaveProgress { wave, progress } => {
            log_wave(log, *wave, progress);
        }
        Decision::WorkerDoubted { worker, evidence } => {
            info!(log, "worker: doubted"; "worker" => %worker,
                "reason" => "the directory lists another on its VM",
                evidence_keys(evidence));
            counters::count(counters::WORKERS_DOUBTED);
        }
        Decision::WorkerGone { worker, reason, evidence } => {
            warn!(log, "worker: gone"; "worker" => %worker,
                "reason" => reason, evidence_keys(evidence));
            counters::count_by(counters::WORKERS_GONE, "reason", reason);
        }
        Decision::JobFinished { job, phase, after_ms } => {
            info!(log, "job: came to its end"; "job" => %job,
                "phase" => phase.name(), "after_ms" => after_ms);
            counters::count_by(counters::JOBS, "phase", phase.name());
            metrics::histogram!(counters::JOB_TIME)
                .record(*after_ms as f64 / 1_000.0);
        }
        Decision::Superseded { worker } => {
            warn!(log, "holder: a worker has seen a newer holder";
                "worker" => %worker);
        }
        Decision::ClaimDisproved { worker } => {
            warn!(log, "holder: a worker has a later token than any holder";
                "worker" => %worker,
                "outcome" => "the lease stands, the worker isn't used");
        }
        // New kinds are logged as they come.
        other => info!(log, "holder: decided"; "decision" => ?other),
    }
}

/// Returns the keys of a log line that show what every source says of a
/// worker.
fn evidence_keys(evidence: &WorkerEvidence) -> impl KV + use<> {
    let to_text = |id: Option<&WorkerId>| id.map(WorkerId::to_string);
    o!("runs" => evidence.runs, "vm" => evidence.vm.clone(),
        "listed" => evidence.is_listed,
        "other" => to_text(evidence.other.as_ref()),
        "directory_age_ms" => evidence.directory_age_ms,
        "vm_list" => evidence.vm_list.name(),
        "vm_list_worker" => to_text(evidence.vm_list.other()),
        "vm_list_age_ms" => evidence.vm_list_age_ms,
        "answer_age_ms" => evidence.answer_age_ms,
        "renewal_age_ms" => evidence.renewal_age_ms)
}

/// Logs the progress of a wave, and counts its late VMs by reason when its
/// time is over.
fn log_wave(log: &Logger, wave: u64, progress: &WaveProgress) {
    let WaveProgress { vms, begun, down, room, pace, left, .. } = progress;
    let message = match progress.deadline {
        WaveDeadline::Ahead => "wave: goes on",
        WaveDeadline::Passed => "wave: its time is over",
        WaveDeadline::LongPassed => "wave: late",
    };
    info!(log, "{}", message; "wave" => wave, "vms" => vms, "begun" => begun,
        "left" => left.total(), "down" => down, "room" => room,
        "looks" => progress.passes, "hindrance" => progress.blocker,
        "left_ms" => pace.left_ms,
        "needed_ms" => pace.needed_ms, "parallel" => pace.parallel,
        "under_way" => pace.under_way, "due" => pace.due, "may_wait" => pace.may_wait,
        "kept_by" => format_reasons(left));
    if progress.deadline != WaveDeadline::Passed {
        return;
    }
    for (reason, vms) in left.by_reason() {
        counters::add_by(counters::LATE_VMS, "reason", reason, vms as u64);
    }
}

/// Formats the reasons for which VMs remain, each with its number of VMs.
fn format_reasons(left: &RemainingVms) -> String {
    let remaining = left.by_reason();
    let remaining = remaining.iter().filter(|(_, vms)| *vms > 0);
    let remaining: Vec<String> =
        remaining.map(|(reason, vms)| format!("{reason} {vms}")).collect();
    remaining.join(", ")
}
