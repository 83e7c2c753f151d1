/*!
How long new jobs would wait because the node that schedules can't send more.

Jobs come as they like, and a node starts only so many tasks a second: its link
or its processor carries no more. While more comes than that, each job starts
later than the one before it, and after some seconds all of them start too late
to be of use to anyone. Nothing shows that to the nodes that accept them. So
the holder says how long a job of each priority would wait for it: what waits
already, of that priority and of more urgent ones, over how fast tasks were
started of late. It says nothing while its own means aren't what tasks wait for:
a full pool gets VMs, and its peak passes.
*/

use {
    crate::schedule::{Now, Scheduler},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// How long starts must have been bounded by the node for its backlog to
/// count, in milliseconds: longer than a burst of arrivals takes.
const BOUNDED_FOR_MS: u64 = 1_000;

/// How long starts may go unbounded in between, in milliseconds: budgets are
/// refilled with each plan, and some plans find nothing that waits for them.
const UNBOUNDED_FOR_MS: u64 = 300;

/// Over how long starts are counted, in pieces, in milliseconds.
const PIECE_MS: u64 = 500;
const PIECES: usize = 4;

/// How long new jobs would wait, by their queue's priority.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExpectedWaits {
    /// The wait of each priority that has waiting tasks, in milliseconds.
    wait_ms: BTreeMap<u32, u64>,
}

impl ExpectedWaits {
    /// Makes the waits of these priorities, in milliseconds.
    pub fn new(wait_ms: BTreeMap<u32, u64>) -> ExpectedWaits {
        ExpectedWaits { wait_ms }
    }

    /// Returns how long a new job of this priority would wait, in
    /// milliseconds: as long as the least urgent that goes before it.
    pub fn of(&self, priority: u32) -> u64 {
        let before = self.wait_ms.range(..=priority);
        before.map(|(_, wait_ms)| *wait_ms).max().unwrap_or(0)
    }

    /// Returns the longest wait, in milliseconds.
    pub fn longest(&self) -> u64 {
        self.wait_ms.values().copied().max().unwrap_or(0)
    }
}

/// Whether the node bounds what is started, and how much that is.
#[derive(Clone, Debug, Default)]
pub(super) struct StartRate {
    /// Starts in each of the last pieces of time, the newest last.
    pieces: [u64; PIECES],
    piece: u64,
    /// Since when starts have been bounded; 0 while they aren't.
    bounded_since_ms: u64,
    /// When that was last so.
    bounded_ms: u64,
}

impl StartRate {
    /// Notes a plan: how many tasks it started, and whether others waited for
    /// the node.
    pub(super) fn note(&mut self, now_ms: u64, starts: u64, bounded: bool) {
        self.turn_to(now_ms / PIECE_MS);
        self.pieces[PIECES - 1] += starts;
        if now_ms > self.bounded_ms + UNBOUNDED_FOR_MS {
            self.bounded_since_ms = 0;
        }
        if bounded {
            self.bounded_ms = now_ms;
            if self.bounded_since_ms == 0 {
                self.bounded_since_ms = now_ms;
            }
        }
    }

    fn turn_to(&mut self, piece: u64) {
        let turns = piece.saturating_sub(self.piece).min(PIECES as u64);
        for _ in 0..turns {
            self.pieces.rotate_left(1);
            self.pieces[PIECES - 1] = 0;
        }
        self.piece = piece;
    }

    /// Returns how many tasks are started in a second, if the node bounds
    /// that.
    fn bounded_per_s(&self, now_ms: u64) -> Option<u64> {
        let lasting = self.bounded_since_ms > 0
            && now_ms <= self.bounded_ms + UNBOUNDED_FOR_MS
            && now_ms >= self.bounded_since_ms + BOUNDED_FOR_MS;
        // The newest piece isn't over.
        let whole: u64 = self.pieces[..PIECES - 1].iter().sum();
        let ms = PIECE_MS * (PIECES as u64 - 1);
        lasting.then(|| (whole * 1_000 / ms).max(1))
    }
}

impl Scheduler {
    /// Returns how long new jobs would wait because this node can't start
    /// more; `None` while that isn't what tasks wait for.
    pub fn expected_waits(&self, now: Now) -> Option<ExpectedWaits> {
        let per_s = self.start_rate.bounded_per_s(now.steady_ms)?;
        let mut tasks: BTreeMap<u32, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            let open =
                !job.phase.is_final() && now.unix_ms >= job.spec.due_ms(0);
            if open {
                let steps = job.rounds.iter().flatten();
                let waiting: usize = steps.map(|s| s.waiting.len()).sum();
                *tasks.entry(job.terms.priority).or_default() +=
                    waiting as u64;
            }
        }
        let mut before = 0;
        let wait_ms = tasks.into_iter().map(|(priority, tasks)| {
            before += tasks;
            (priority, before * 1_000 / per_s)
        });
        Some(ExpectedWaits::new(wait_ms.collect()))
    }
}
