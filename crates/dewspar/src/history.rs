/*!
Histories of test runs, and the check of the system's promises against them.

A *promise* is an invariant that the system guarantees. A run is recorded as
one JSON [`Event`] per line, in the order in which a single observer saw them.
[`check`] makes one pass over a history. For each [`Promise`] it reports how
often the run tested it, how often the run violated it, and the first event in
violation. The format is described in `docs/TRACES.md`.

# Example

```
use dewspar::history::{Promise, check, parse};

let text = r#"
{"at_ms":1,"event":"sent","request":"r1","key":"k1"}
{"at_ms":2,"event":"run","request":"r1","key":"k1","runner":"extracts-0"}
{"at_ms":3,"event":"run","request":"r1","key":"k1","runner":"extracts-1"}
"#;
let report = check(&parse(text)?);
let once = report.get(Promise::AtMostOnce);
assert_eq!((once.checks(), once.violations()), (1, 1));
assert_eq!(once.first_violation(), Some("line 3: key k1 ran a second time"));
# Ok::<(), dewspar::history::Error>(())
```
*/

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// How long a VM that is marked as leaving may still receive new work, in
/// milliseconds.
pub const LEAVING_GRACE_MS: u64 = 3_000;

/// How long an accepted configuration may take to be in force on every node,
/// in milliseconds.
pub const ACTIVATION_LIMIT_MS: u64 = 6_000;

/// An invariant that the system guarantees.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// Every partner's availability budget holds.
    Budget,
    /// A VM belongs to exactly one pool.
    OnePool,
    /// A caller receives the complete answer to its own request.
    OwnAnswer,
    /// A request that was reported as not run never runs.
    NotRun,
    /// A filing runs at most once.
    AtMostOnce,
    /// A leaving VM receives no new work after [`LEAVING_GRACE_MS`].
    Leaving,
    /// A planned stop interrupts no request in flight.
    PlannedStop,
    /// An accepted configuration is in force on every node within
    /// [`ACTIVATION_LIMIT_MS`], and no node reverts to an older one.
    Configuration,
}

impl Promise {
    /// All promises, in the order of `docs/PROMISES.md`.
    pub const ALL: [Promise; 8] = [
        Promise::Budget,
        Promise::OnePool,
        Promise::OwnAnswer,
        Promise::NotRun,
        Promise::AtMostOnce,
        Promise::Leaving,
        Promise::PlannedStop,
        Promise::Configuration,
    ];

    /// Returns the name of the promise in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Promise::Budget => "budget",
            Promise::OnePool => "one pool",
            Promise::OwnAnswer => "own answer",
            Promise::NotRun => "not run",
            Promise::AtMostOnce => "at most once",
            Promise::Leaving => "leaving",
            Promise::PlannedStop => "planned stop",
            Promise::Configuration => "configuration",
        }
    }
}

/// The reason that a history can't be read.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// line {line} of the history can't be read: {reason}
    Syntax {
        /// The line number, from 1.
        line: usize,
        /// The decoder's message.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// The outcome that an answer reports to its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// The request ran, and the answer is its result.
    Ran,
    /// The request was not run.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
}

/// The source that marks a VM as taking no new work.
///
/// Both sources can mark the same VM. It takes work again once neither does.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MarkedBy {
    /// The VM's row states that it is being drained or rebooted.
    #[default]
    Row,
    /// The platform's list of VMs states that it is leaving.
    List,
}

/// An observed event of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A caller sent a request; a filing carries an idempotency key.
    Sent {
        /// The request's identifier, unique within the run.
        request: String,
        /// The filing's key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
    },
    /// A runner began to run a request.
    Run {
        /// The request's identifier.
        request: String,
        /// The filing's key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// The runner's name.
        runner: String,
        /// The VM that hosts the runner.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        vm: Option<String>,
    },
    /// A caller received an answer.
    Answered {
        /// The request's identifier.
        request: String,
        /// The outcome that the answer reports.
        told: Told,
        /// The request that the body of the answer belongs to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        body_of: Option<String>,
        /// Whether the body arrived complete.
        #[serde(default = "yes")]
        whole: bool,
    },
    /// A planned stop of a runner or a node interrupted a request.
    Cut {
        /// The request's identifier.
        request: String,
        /// What was stopped.
        by: String,
    },
    /// A VM was seen in a pool, or in none.
    InPool {
        /// The VM's name.
        vm: String,
        /// The pool that the VM belongs to; `None` for no pool.
        #[serde(default)]
        pool: Option<String>,
        /// The epoch of the VM's row.
        epoch: u64,
    },
    /// A VM was marked as taking no new work.
    Leaving {
        /// The VM's name.
        vm: String,
        /// The source of the mark.
        #[serde(default)]
        by: MarkedBy,
    },
    /// A source removed its mark from a VM.
    Back {
        /// The VM's name.
        vm: String,
        /// The source of the mark.
        #[serde(default)]
        by: MarkedBy,
    },
    /// An availability budget was compared with the actual availability.
    Available {
        /// The budget's name.
        budget: String,
        /// The number of VMs or runners that the budget requires.
        needed: u32,
        /// The number available.
        available: u32,
        /// The number unavailable through failures that dewspar didn't cause.
        #[serde(default)]
        failed: u32,
    },
    /// An operator was told that a configuration was accepted.
    Accepted {
        /// Its revision.
        revision: u64,
    },
    /// A node reported the revision that is in force on it.
    InForce {
        /// The node's name and incarnation.
        node: String,
        /// The revision.
        revision: u64,
    },
}

fn yes() -> bool {
    true
}

/// A line of a history: an event and the time at which it was observed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// The time of observation, in milliseconds from an arbitrary origin.
    pub at_ms: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// Parses a history, one event per line.
///
/// # Errors
///
/// Returns [`Error::Syntax`] with the first line that isn't a valid event.
pub fn parse(text: &str) -> Result<Vec<Line>, Error> {
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .enumerate()
        .map(|(index, line)| {
            serde_json::from_str(line).map_err(|e| Error::Syntax {
                line: index + 1,
                reason: e.to_string(),
            })
        })
        .collect()
}

/// The result of checking one promise.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Finding {
    checks: u64,
    violations: u64,
    first_violation: Option<String>,
}

impl Finding {
    /// Returns how often the run tested the promise.
    pub fn checks(&self) -> u64 {
        self.checks
    }

    /// Returns how often the run violated the promise.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Returns a description of the first violation.
    pub fn first_violation(&self) -> Option<&str> {
        self.first_violation.as_deref()
    }
}

/// The results of checking all promises.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    findings: BTreeMap<Promise, Finding>,
}

impl Report {
    /// Returns the result for one promise.
    pub fn get(&self, promise: Promise) -> Finding {
        self.findings.get(&promise).cloned().unwrap_or_default()
    }

    /// Returns whether no promise was violated.
    pub fn holds(&self) -> bool {
        self.findings.values().all(|finding| finding.violations == 0)
    }

    fn add_check(&mut self, promise: Promise) {
        self.findings.entry(promise).or_default().checks += 1;
    }

    fn add_violation(&mut self, promise: Promise, line: usize, what: String) {
        let finding = self.findings.entry(promise).or_default();
        finding.violations += 1;
        let text = || format!("line {line}: {what}");
        finding.first_violation.get_or_insert_with(text);
    }
}

/// Checks all promises against a history.
pub fn check(history: &[Line]) -> Report {
    let mut checker = Checker::default();
    for (index, line) in history.iter().enumerate() {
        checker.line = index + 1;
        checker.check_event(line);
    }

    checker.report
}

#[derive(Default)]
struct Checker<'a> {
    line: usize,
    report: Report,
    ran_keys: BTreeMap<&'a str, &'a str>,
    ran_requests: BTreeMap<&'a str, usize>,
    told_not_run: BTreeMap<&'a str, usize>,
    key_of: BTreeMap<&'a str, &'a str>,
    pools: BTreeMap<&'a str, (u64, Option<&'a str>)>,
    leaving_since_ms: BTreeMap<(&'a str, MarkedBy), u64>,
    revisions_in_force: BTreeMap<&'a str, u64>,
    accepted_ms: BTreeMap<u64, u64>,
}

impl<'a> Checker<'a> {
    fn check_event(&mut self, line: &'a Line) {
        match &line.event {
            Event::Sent { request, key } => {
                if let Some(key) = key {
                    self.key_of.insert(request, key);
                }
            }
            Event::Run { request, key, runner: _, vm } => {
                self.check_run(request, key.as_deref());
                if let Some(vm) = vm {
                    self.check_leaving(vm, line.at_ms);
                }
            }
            Event::Answered { request, told, body_of, whole } => {
                self.check_answer(request, *told, body_of.as_deref(), *whole);
            }
            Event::Cut { request, by } => {
                self.report.add_check(Promise::PlannedStop);
                let what = format!("request {request} was cut by {by}");
                self.report.add_violation(
                    Promise::PlannedStop,
                    self.line,
                    what,
                );
            }
            Event::InPool { vm, pool, epoch } => {
                self.check_pool(vm, pool.as_deref(), *epoch);
            }
            Event::Leaving { vm, by } => {
                self.report.add_check(Promise::PlannedStop);
                self.report.add_check(Promise::Leaving);
                let mark = (vm.as_str(), *by);
                self.leaving_since_ms.entry(mark).or_insert(line.at_ms);
            }
            Event::Back { vm, by } => {
                self.leaving_since_ms.remove(&(vm.as_str(), *by));
            }
            Event::Available { budget, needed, available, failed } => {
                self.report.add_check(Promise::Budget);
                if available + failed < *needed {
                    let what = format!(
                        "budget {budget} needs {needed} and had {available}",
                    );
                    self.report.add_violation(
                        Promise::Budget,
                        self.line,
                        what,
                    );
                }
            }
            Event::Accepted { revision } => {
                self.accepted_ms.entry(*revision).or_insert(line.at_ms);
            }
            Event::InForce { node, revision } => {
                self.check_revision(node, *revision, line.at_ms);
            }
        }
    }

    fn check_run(&mut self, request: &'a str, key: Option<&'a str>) {
        self.ran_requests.entry(request).or_insert(self.line);
        if let Some(told) = self.told_not_run.get(request) {
            let what = format!(
                "request {request} ran, but line {told} said it was not run",
            );
            self.report.add_violation(Promise::NotRun, self.line, what);
        }
        let Some(key) = key else { return };
        if self.ran_keys.insert(key, request).is_some() {
            let what = format!("key {key} ran a second time");
            self.report.add_violation(Promise::AtMostOnce, self.line, what);
        } else {
            self.report.add_check(Promise::AtMostOnce);
        }
    }

    fn check_leaving(&mut self, vm: &str, at_ms: u64) {
        let marks = [MarkedBy::Row, MarkedBy::List];
        let since_ms = marks
            .iter()
            .filter_map(|by| self.leaving_since_ms.get(&(vm, *by)))
            .min();
        let Some(since_ms) = since_ms else { return };

        if at_ms > since_ms + LEAVING_GRACE_MS {
            let late_ms = at_ms - since_ms;
            let what = format!("VM {vm} got work {late_ms} ms after leaving");
            self.report.add_violation(Promise::Leaving, self.line, what);
        }
    }

    fn check_answer(
        &mut self,
        request: &'a str,
        told: Told,
        body_of: Option<&str>,
        whole: bool,
    ) {
        match told {
            Told::Ran => {
                self.report.add_check(Promise::OwnAnswer);
                let own = body_of.is_none_or(|of| of == request);
                if !own || !whole {
                    let what = match body_of {
                        Some(of) if of != request => {
                            format!("request {request} got {of}'s answer")
                        }
                        _ => format!("request {request} got half an answer"),
                    };
                    self.report.add_violation(
                        Promise::OwnAnswer,
                        self.line,
                        what,
                    );
                }
            }
            Told::NotRun => {
                self.report.add_check(Promise::NotRun);
                self.told_not_run.insert(request, self.line);
                if let Some(ran) = self.ran_requests.get(request) {
                    let what = format!(
                        "request {request} ran at line {ran}, \
                         but was told not run",
                    );
                    self.report.add_violation(
                        Promise::NotRun,
                        self.line,
                        what,
                    );
                }
            }
            Told::Unknown => {}
        }
    }

    fn check_pool(&mut self, vm: &'a str, pool: Option<&'a str>, epoch: u64) {
        self.report.add_check(Promise::OnePool);
        if let Some((known, other)) = self.pools.get(vm)
            && *known == epoch
            && *other != pool
        {
            let what = format!(
                "VM {vm} is in {} and in {} at epoch {epoch}",
                other.unwrap_or("no pool"),
                pool.unwrap_or("no pool"),
            );
            self.report.add_violation(Promise::OnePool, self.line, what);
        }
        self.pools.insert(vm, (epoch, pool));
    }

    fn check_revision(&mut self, node: &'a str, revision: u64, at_ms: u64) {
        self.report.add_check(Promise::Configuration);
        let last = self.revisions_in_force.insert(node, revision).unwrap_or(0);
        if revision < last {
            let what = format!("node {node} went from {last} to {revision}");
            self.report.add_violation(Promise::Configuration, self.line, what);
        }
        let overdue = self.overdue_revision(revision, at_ms);
        if let Some(missing) = overdue {
            let what = format!(
                "node {node} has {revision}, but {missing} was accepted \
                 over {ACTIVATION_LIMIT_MS} ms ago",
            );
            self.report.add_violation(Promise::Configuration, self.line, what);
        }
    }

    fn overdue_revision(&self, revision: u64, at_ms: u64) -> Option<u64> {
        self.accepted_ms
            .range(revision + 1..)
            .find(|(_, accepted_ms)| {
                **accepted_ms + ACTIVATION_LIMIT_MS < at_ms
            })
            .map(|(revision, _)| *revision)
    }
}
