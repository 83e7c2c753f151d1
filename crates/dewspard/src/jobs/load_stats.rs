/*!
Load statistics of the node that schedules.

One log line a second has the number of plans and their time, the number of
events and their queueing delay, the orders in flight, and the network traffic
by purpose. Some of these figures are also exported as metrics.
*/

use {
    super::holder::to_json,
    crate::counters,
    dewspar::{
        link::LinkBudget,
        quota::Usage,
        schedule::{Action, EvacuatedHall, Resources},
        team::Team,
        window::CallWindow,
    },
    dewspar_platform::{Purpose, Tallies, Traffic},
    metrics::{counter, gauge},
    slog::{Logger, info},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// The interval of log lines, in milliseconds: short enough to show the course
/// of a takeover, long enough to stay rare beside the lines of single tasks.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The maximum number of teams with gauges, which bounds the number of series.
const MAX_TEAMS: usize = 100;

/// Counts since the last log line.
#[derive(Debug)]
pub(super) struct LoadStats {
    last_log_ms: u64,
    events: u64,
    /// The queueing delay of events, in total and at most.
    total_wait_ms: u64,
    longest_wait_ms: u64,
    plans: u64,
    planning_time: Duration,
    starts: u64,
    holds: u64,
    traffic: Traffic,
    tallies: Tallies,
}

impl LoadStats {
    /// Creates empty statistics over the traffic of this node's calls.
    pub(super) fn new(traffic: Traffic) -> LoadStats {
        let tallies = traffic.tallies();
        LoadStats {
            last_log_ms: 0,
            events: 0,
            total_wait_ms: 0,
            longest_wait_ms: 0,
            plans: 0,
            planning_time: Duration::ZERO,
            starts: 0,
            holds: 0,
            traffic,
            tallies,
        }
    }

    /// Counts an event that was queued for this long.
    pub(super) fn event_received(&mut self, waited_ms: u64) {
        self.events += 1;
        self.total_wait_ms += waited_ms;
        self.longest_wait_ms = self.longest_wait_ms.max(waited_ms);
    }

    /// Counts a plan that began at this time, and the orders that it made.
    pub(super) fn plan_finished(
        &mut self,
        began: Instant,
        actions: &[Action],
    ) {
        self.plans += 1;
        self.planning_time += began.elapsed();
        for action in actions {
            match action {
                Action::Start { .. } => self.starts += 1,
                Action::Hold { .. } => self.holds += 1,
                _ => {}
            }
        }
    }

    /// Returns whether the next log line is due.
    pub(super) fn is_log_due(&self, now_ms: u64) -> bool {
        now_ms >= self.last_log_ms + LOG_INTERVAL_MS
    }

    /// Sets the gauges of teams if the next log line is due.
    pub(super) fn tell_teams<'a>(
        &self,
        now_ms: u64,
        teams: impl Iterator<Item = (&'a Team, &'a Usage)>,
    ) {
        if !self.is_log_due(now_ms) {
            return;
        }
        for (team, usage) in teams.take(MAX_TEAMS) {
            let cores =
                |resources: &Resources| resources.cpu_millis as f64 / 1_000.0;
            let memory_mb = usage.total().memory_mb as f64;
            let quota_mb = team.quota.memory_mb as f64;
            for (gauge, value) in [
                (counters::TEAM_RUNNING, cores(&usage.running)),
                (counters::TEAM_STOPPING, cores(&usage.stopping)),
                (counters::TEAM_IN_DOUBT, cores(&usage.in_doubt)),
                (counters::TEAM_QUOTA, cores(&team.quota)),
                (counters::TEAM_MEMORY, memory_mb),
                (counters::TEAM_MEMORY_QUOTA, quota_mb),
            ] {
                counters::set_of_team(gauge, &team.name, value);
            }
        }
    }

    /// Logs and resets the statistics, once per interval.
    pub(super) fn log(
        &mut self,
        log: &Logger,
        now_ms: u64,
        window: &CallWindow,
        link: &LinkBudget,
        feed_behind_ms: u64,
        relays: usize,
    ) {
        if !self.is_log_due(now_ms) {
            return;
        }
        gauge!(counters::ORDERS_WINDOW).set(window.size() as f64);
        gauge!(counters::ORDERS_UNDER_WAY).set(window.in_flight() as f64);
        gauge!(counters::EVENT_WAIT).set(self.longest_wait_ms as f64 / 1e3);
        let tallies = self.traffic.tallies();
        let traffic = tallies.since(&self.tallies);
        count_traffic(&traffic);
        info!(log, "holder: load"; "events" => self.events,
            "event_wait_ms" => self.total_wait_ms / self.events.max(1),
            "longest_event_wait_ms" => self.longest_wait_ms,
            "plans" => self.plans,
            "planning_ms" => self.planning_time.as_millis() as u64,
            "starts" => self.starts, "holds" => self.holds,
            "window" => window.size(), "under_way" => window.in_flight(),
            "relays" => relays, "link_bytes_per_s" => link.rate(),
            "feed_behind_ms" => feed_behind_ms,
            "sent_bytes" => traffic.total().sent_bytes,
            "received_bytes" => traffic.total().received_bytes,
            "traffic" => to_json(&rows(&traffic)));
        let mut next = LoadStats::new(self.traffic.clone());
        next.tallies = tallies;
        next.last_log_ms = now_ms;
        *self = next;
    }
}

/// Logs each data hall that is being emptied, and sets its gauges.
pub(super) fn log_evacuated_halls(log: &Logger, halls: &[EvacuatedHall]) {
    for evacuated in halls {
        let EvacuatedHall { hall, age_ms, workers, runs, .. } = evacuated;
        let EvacuatedHall { long_running, stuck, .. } = evacuated;
        info!(log, "hall: being emptied"; "hall" => hall, "age_ms" => age_ms,
            "workers" => workers, "runs" => runs,
            "long_running" => long_running, "stuck" => stuck);
        counters::set_of_hall(hall, *age_ms, *runs, *stuck);
    }
}

/// Returns the calls, bytes sent and bytes received of each purpose that has
/// any.
fn rows(traffic: &Tallies) -> BTreeMap<&'static str, [u64; 3]> {
    let rows = Purpose::ALL.iter().map(|purpose| {
        let tally = traffic.of(*purpose);
        let row = [tally.calls, tally.sent_bytes, tally.received_bytes];
        (purpose.name(), row)
    });
    rows.filter(|(_, row)| row[0] > 0).collect()
}

fn count_traffic(traffic: &Tallies) {
    for purpose in Purpose::ALL {
        let tally = traffic.of(purpose);
        let name = purpose.name();
        counter!(counters::PLATFORM_CALLS, "purpose" => name)
            .increment(tally.calls);
        counter!(
            counters::PLATFORM_BYTES,
            "purpose" => name, "direction" => "sent"
        )
        .increment(tally.sent_bytes);
        counter!(
            counters::PLATFORM_BYTES,
            "purpose" => name, "direction" => "received"
        )
        .increment(tally.received_bytes);
    }
}
