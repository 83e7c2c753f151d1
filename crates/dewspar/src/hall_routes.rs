/*!
Paths from the holder to the workers of each data hall.

Two halls may be unable to reach each other while a third reaches both. The
holder, or one of its relays, then gets no answer from any worker of a hall,
although they run. Orders to that hall go through a relay in the third hall
until the path works again.

A *path* leads from the hall of a caller (the holder or a relay) to the hall of
the worker. [`HallRoutes`] learns about paths from answers to `hold` orders
alone, and adds no calls of its own:

- A worker that doesn't answer on one path is asked over another one with its
  next `hold` order. One such probe is sent per [`PROBE_GAP_MS`] and hall.
- If the worker answers that, and nobody of its hall has answered on the first
  path since the unanswered order was sent, the first path is *out* for the hall
  as a whole. An order that waits for news may have been sent long before the
  path broke; so it is also enough that two workers answer in that way with no
  answer on the first path since their orders failed. One worker that crashed
  answers on no path, and one with a broken link has neighbors that answer, so
  neither takes a path out.
- While a path is out, one `hold` order is sent over it now and then. Any answer
  puts it in use again.
- If a hall answers on no path for [`CUT_OFF_MS`], it is cut off as a whole. Its
  paths count as working again, so that it is called as without this module.

A `hold` order without an answer is repeated anyway, and a worker counts as
silent only after the second one in a row, so a probe that fails changes
nothing for its worker.

# Example

```
use dewspar::hall_routes::{Choice, HallRoutes, Transition};

let mut routes = HallRoutes::default();
let others = ["hall-c"];
// A worker in hall-b doesn't answer the holder in hall-a.
routes.unanswered("hall-a", "hall-b", "w-1", 0, 300);
let way = |routes: &mut HallRoutes, worker, now_ms| {
    routes.choose("hall-b", worker, true, "hall-a", &others, now_ms)
};
assert_eq!(way(&mut routes, "w-1", 300), Choice::Over(0));
let changed = routes.answered("hall-c", "hall-b", "w-1", 310);
assert!(matches!(changed, Some(Transition::Out { .. })));
assert_eq!(way(&mut routes, "w-2", 320), Choice::Over(0));
```
*/

use std::collections::HashMap;

/// The shortest time between two probes of another path to a hall, in
/// milliseconds. Where a whole hall is lost, its workers' `hold` orders would
/// all become probes otherwise.
pub const PROBE_GAP_MS: u64 = 50;

/// How long after a path went out it is tried again, in milliseconds; twice as
/// long after each failed try.
pub const FIRST_PAUSE_MS: u64 = 1_000;

/// The longest time between two tries of a path that is out, in milliseconds.
pub const MAX_PAUSE_MS: u64 = 4_000;

/// How long a hall must be silent on all paths to count as cut off, in
/// milliseconds: several rounds of `hold` orders.
pub const CUT_OFF_MS: u64 = 2_000;

/// The way of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The preferred path.
    Preferred,
    /// Another path, by its index among those that were offered.
    Over(usize),
}

/// A change of the paths to a hall.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Transition {
    /// A path is out.
    Out {
        /// The hall of the callers that get no answers.
        from: String,
        /// The hall of the workers.
        hall: String,
        /// The hall over which they answer.
        over: String,
    },
    /// A path works again.
    Restored {
        /// The hall of the callers.
        from: String,
        /// The hall of the workers.
        hall: String,
        /// How long it was out, in milliseconds.
        out_for_ms: u64,
    },
    /// A hall that answered over another one only answers on no path.
    CutOff {
        /// The hall.
        hall: String,
        /// How long its first path was out, in milliseconds.
        out_for_ms: u64,
    },
}

/// What is known of the paths to each hall.
#[derive(Clone, Debug, Default)]
pub struct HallRoutes {
    halls: HashMap<String, Hall>,
}

/// A hall with workers.
#[derive(Clone, Debug, Default)]
struct Hall {
    /// The paths to it, by the caller's hall.
    paths: HashMap<String, PathState>,
    /// The workers whose last `hold` order went unanswered.
    suspects: HashMap<String, Suspect>,
    next_probe_ms: u64,
    last_answer_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct PathState {
    last_answer_ms: Option<u64>,
    /// The worker that answered on another path after its order failed on this
    /// one, if nobody has answered on this one since.
    failed_for: Option<String>,
    out: Option<Out>,
}

impl PathState {
    /// Records that a worker answered on another path; returns whether this
    /// one is out.
    fn note_answer_elsewhere(
        &mut self,
        worker: &str,
        suspect: &Suspect,
    ) -> bool {
        let answers_since = |from_ms: u64| {
            self.last_answer_ms.is_some_and(|at_ms| at_ms >= from_ms)
        };
        if !answers_since(suspect.sent_ms) {
            return true;
        }
        if answers_since(suspect.failed_ms) {
            return false;
        }
        match &self.failed_for {
            Some(other) => other != worker,
            None => {
                self.failed_for = Some(worker.to_owned());
                false
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Out {
    since_ms: u64,
    next_try_ms: u64,
    pause_ms: u64,
}

#[derive(Clone, Debug)]
struct Suspect {
    from: String,
    sent_ms: u64,
    failed_ms: u64,
}

impl Hall {
    fn is_out(&self, from: &str) -> bool {
        self.paths.get(from).is_some_and(|path| path.out.is_some())
    }

    fn first_out_ms(&self) -> Option<u64> {
        let out = self.paths.values().filter_map(|path| path.out);
        out.map(|out| out.since_ms).min()
    }

    /// Returns the first of the other paths that isn't out; one on which the
    /// worker has just failed to answer comes last.
    fn other(&self, worker: &str, others: &[&str]) -> Option<usize> {
        let failed = self.suspects.get(worker).map(|s| s.from.as_str());
        let usable = |from: &str| !self.is_out(from);
        let is_fresh = |from: &str| usable(from) && failed != Some(from);
        let fresh = others.iter().position(|from| is_fresh(from));
        fresh.or_else(|| others.iter().position(|from| usable(from)))
    }
}

impl HallRoutes {
    /// Returns whether every order takes its preferred path: no path is out,
    /// and no worker has left an order unanswered.
    pub fn is_quiet(&self) -> bool {
        self.halls.values().all(|hall| {
            hall.suspects.is_empty() && hall.first_out_ms().is_none()
        })
    }

    /// Returns the halls to which the path from a hall is out.
    pub fn out_from<'a>(
        &'a self,
        from: &'a str,
    ) -> impl Iterator<Item = &'a str> {
        let out = self.halls.iter().filter(move |(_, h)| h.is_out(from));
        out.map(|(name, _)| name.as_str())
    }

    /// Chooses the path of an order for a worker. `preferred` and `others` are
    /// the halls of the callers that can carry it, best first; only a `hold`
    /// order may be a probe.
    pub fn choose(
        &mut self,
        hall: &str,
        worker: &str,
        is_hold: bool,
        preferred: &str,
        others: &[&str],
        now_ms: u64,
    ) -> Choice {
        let Some(known) = self.halls.get_mut(hall) else {
            return Choice::Preferred;
        };
        let other = known.other(worker, others);
        let Some(other) = other else { return Choice::Preferred };
        let path = known.paths.entry(preferred.to_owned()).or_default();
        if let Some(out) = &mut path.out {
            if is_hold && now_ms >= out.next_try_ms {
                out.next_try_ms = now_ms + out.pause_ms;
                return Choice::Preferred;
            }
            return Choice::Over(other);
        }
        let suspect = known.suspects.get(worker);
        let has_failed = suspect.is_some_and(|s| s.from == preferred);
        if is_hold && has_failed && now_ms >= known.next_probe_ms {
            known.next_probe_ms = now_ms + PROBE_GAP_MS;
            return Choice::Over(other);
        }
        Choice::Preferred
    }

    /// Records that a worker answered a `hold` order.
    pub fn answered(
        &mut self,
        from: &str,
        hall: &str,
        worker: &str,
        now_ms: u64,
    ) -> Option<Transition> {
        let known = self.hall(hall);
        known.last_answer_ms = now_ms;
        let path = match known.paths.get_mut(from) {
            Some(path) => path,
            None => known.paths.entry(from.to_owned()).or_default(),
        };
        path.last_answer_ms = Some(now_ms);
        path.failed_for = None;
        let restored = path.out.take();
        let suspect = known.suspects.remove(worker);
        if let Some(out) = restored {
            return Some(Transition::Restored {
                from: from.to_owned(),
                hall: hall.to_owned(),
                out_for_ms: now_ms.saturating_sub(out.since_ms),
            });
        }
        let suspect = suspect.filter(|suspect| suspect.from != from)?;
        let path = known.paths.entry(suspect.from.clone()).or_default();
        let is_out = path.note_answer_elsewhere(worker, &suspect);
        if !is_out || path.out.is_some() {
            return None;
        }
        path.out = Some(Out {
            since_ms: now_ms,
            next_try_ms: now_ms + FIRST_PAUSE_MS,
            pause_ms: FIRST_PAUSE_MS,
        });
        Some(Transition::Out {
            from: suspect.from,
            hall: hall.to_owned(),
            over: from.to_owned(),
        })
    }

    /// Records that a worker didn't answer a `hold` order that was sent at
    /// `sent_ms`.
    pub fn unanswered(
        &mut self,
        from: &str,
        hall: &str,
        worker: &str,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<Transition> {
        let known = self.hall(hall);
        if let Some(path) = known.paths.get_mut(from)
            && let Some(out) = &mut path.out
        {
            out.pause_ms = (2 * out.pause_ms).min(MAX_PAUSE_MS);
            out.next_try_ms = now_ms + out.pause_ms;
        } else {
            let before = known.suspects.get(worker);
            if before.is_some_and(|before| before.from != from) {
                // It answers on neither path.
                known.suspects.remove(worker);
            } else {
                let from = from.to_owned();
                let suspect = Suspect { from, sent_ms, failed_ms: now_ms };
                known.suspects.insert(worker.to_owned(), suspect);
            }
        }
        let since_ms = known.first_out_ms()?;
        let silent_since_ms = known.last_answer_ms.max(since_ms);
        if now_ms < silent_since_ms + CUT_OFF_MS {
            return None;
        }
        for path in known.paths.values_mut() {
            path.out = None;
            path.failed_for = None;
        }
        known.suspects.clear();
        Some(Transition::CutOff {
            hall: hall.to_owned(),
            out_for_ms: now_ms.saturating_sub(since_ms),
        })
    }

    /// Forgets the workers that are no longer listed, and the halls that have
    /// no listed worker left: nobody would try a path to them again.
    pub fn retain_workers(
        &mut self,
        is_listed: impl Fn(&str) -> bool,
        has_workers: impl Fn(&str) -> bool,
    ) {
        self.halls.retain(|hall, _| has_workers(hall));
        for hall in self.halls.values_mut() {
            hall.suspects.retain(|worker, _| is_listed(worker));
        }
    }

    fn hall(&mut self, hall: &str) -> &mut Hall {
        if !self.halls.contains_key(hall) {
            self.halls.insert(hall.to_owned(), Hall::default());
        }
        // OK because it was inserted if it wasn't there.
        self.halls.get_mut(hall).expect("a hall")
    }
}
