/*!
Histories: what happened in a run, and whether each promise held.

A run is recorded as one [`Event`] a line, in JSON, in the order in which one
observer saw them. [`check`] reads it once and says, for each [`Promise`], how
often the run put it to the test and how often it was broken, and names the
first event that broke it. The format is described in `docs/TRACES.md`.

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

/// How long a leaving target may still receive new work, in milliseconds.
pub const LEAVING_GRACE_MS: u64 = 3_000;

/// How long an accepted configuration may take everywhere, in milliseconds.
pub const ACTIVATION_LIMIT_MS: u64 = 6_000;

/// What must always hold.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// Every partner's availability budget holds.
    Budget,
    /// A VM belongs to exactly one pool.
    OnePool,
    /// A caller receives its own answer, whole.
    OwnAnswer,
    /// What a caller is told was not run was not run.
    NotRun,
    /// A filing runs at most once.
    AtMostOnce,
    /// A leaving target receives no new work after a few seconds.
    Leaving,
    /// A planned stop cuts no request in flight.
    PlannedStop,
    /// An accepted configuration is in force within seconds and never
    /// reverts.
    Configuration,
}

impl Promise {
    /// Every promise, in the order of `docs/PROMISES.md`.
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

    /// Returns the promise's name in reports.
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

/// Why a history couldn't be read.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// line {line} of the history can't be read: {reason}
    Syntax {
        /// The line's number, from 1.
        line: usize,
        /// What the decoder said.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// What a caller was told.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// The request ran, and this is its answer.
    Ran,
    /// The request was not run.
    NotRun,
    /// Nobody can say.
    Unknown,
}

/// Where a VM is marked as one that takes no new work.
///
/// Both can mark the same VM. It takes work again once neither does.
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
    /// The VM's row says that it is drained or rebooted.
    #[default]
    Row,
    /// The platform's list of VMs says that it is leaving.
    List,
}

/// Something that happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A caller sent a request; filings carry a key.
    Sent {
        /// The request's identifier, unique in the run.
        request: String,
        /// The filing's key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
    },
    /// A runner started to run a request.
    Run {
        /// The request's identifier.
        request: String,
        /// The filing's key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// The runner's name.
        runner: String,
        /// The VM that carries the runner.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        vm: Option<String>,
    },
    /// A caller got its answer.
    Answered {
        /// The request's identifier.
        request: String,
        /// What the answer states.
        told: Told,
        /// The request that the answer's body names.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        body_of: Option<String>,
        /// Whether the body arrived whole.
        #[serde(default = "yes")]
        whole: bool,
    },
    /// A runner or a node was stopped as planned while it held a request.
    Cut {
        /// The request's identifier.
        request: String,
        /// What was stopped.
        by: String,
    },
    /// A VM was seen in a pool; no pool means none.
    InPool {
        /// The VM's name.
        vm: String,
        /// The pool that counts it as its own.
        #[serde(default)]
        pool: Option<String>,
        /// The epoch of the VM's row.
        epoch: u64,
    },
    /// A VM was marked as leaving or draining.
    Leaving {
        /// The VM's name.
        vm: String,
        /// Where it was marked.
        #[serde(default)]
        by: MarkedBy,
    },
    /// A VM isn't marked there any more.
    Back {
        /// The VM's name.
        vm: String,
        /// Where it was marked.
        #[serde(default)]
        by: MarkedBy,
    },
    /// What a budget needs and what there was.
    Available {
        /// The budget's name.
        budget: String,
        /// How many it needs.
        needed: u32,
        /// How many were available.
        available: u32,
        /// How many were missing through failures, not through dewspar.
        #[serde(default)]
        failed: u32,
    },
    /// An operator was told that a configuration is accepted.
    Accepted {
        /// Its revision.
        revision: u64,
    },
    /// A node reported the revision it has in force.
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

/// An event and when it was seen.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// When it was seen, in milliseconds from any fixed point.
    pub at_ms: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// Reads a history, one event a line.
///
/// # Errors
///
/// Returns [`Error::Syntax`] with the first line that isn't an event.
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

/// How one promise fared.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Finding {
    checks: u64,
    violations: u64,
    first_violation: Option<String>,
}

impl Finding {
    /// Returns how often the run put the promise to the test.
    pub fn checks(&self) -> u64 {
        self.checks
    }

    /// Returns how often it was broken.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Returns the first event that broke it.
    pub fn first_violation(&self) -> Option<&str> {
        self.first_violation.as_deref()
    }
}

/// How every promise fared.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    findings: BTreeMap<Promise, Finding>,
}

impl Report {
    /// Returns how one promise fared.
    pub fn get(&self, promise: Promise) -> Finding {
        self.findings.get(&promise).cloned().unwrap_or_default()
    }

    /// Returns whether no promise was broken.
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

/// Checks every promise on a history.
pub fn check(history: &[Line]) -> Report {
    let mut checker = Checker::default();
    for (index, line) in history.iter().enumerate() {
        checker.line = index + 1;
        checker.event(line);
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
    in_force: BTreeMap<&'a str, u64>,
    accepted: BTreeMap<u64, u64>,
}

impl<'a> Checker<'a> {
    fn event(&mut self, line: &'a Line) {
        match &line.event {
            Event::Sent { request, key } => {
                if let Some(key) = key {
                    self.key_of.insert(request, key);
                }
            }
            Event::Run { request, key, runner: _, vm } => {
                self.run(request, key.as_deref());
                if let Some(vm) = vm {
                    self.run_on(vm, line.at_ms);
                }
            }
            Event::Answered { request, told, body_of, whole } => {
                self.answered(request, *told, body_of.as_deref(), *whole);
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
                self.in_pool(vm, pool.as_deref(), *epoch);
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
                self.accepted.entry(*revision).or_insert(line.at_ms);
            }
            Event::InForce { node, revision } => {
                self.in_force(node, *revision, line.at_ms);
            }
        }
    }

    fn run(&mut self, request: &'a str, key: Option<&'a str>) {
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

    fn run_on(&mut self, vm: &str, at_ms: u64) {
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

    fn answered(
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

    fn in_pool(&mut self, vm: &'a str, pool: Option<&'a str>, epoch: u64) {
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

    fn in_force(&mut self, node: &'a str, revision: u64, at_ms: u64) {
        self.report.add_check(Promise::Configuration);
        let last = self.in_force.insert(node, revision).unwrap_or(0);
        if revision < last {
            let what = format!("node {node} went from {last} to {revision}");
            self.report.add_violation(Promise::Configuration, self.line, what);
        }
        let overdue = self.overdue(revision, at_ms);
        if let Some(missing) = overdue {
            let what = format!(
                "node {node} has {revision}, but {missing} was accepted \
                 over {ACTIVATION_LIMIT_MS} ms ago",
            );
            self.report.add_violation(Promise::Configuration, self.line, what);
        }
    }

    fn overdue(&self, revision: u64, at_ms: u64) -> Option<u64> {
        self.accepted
            .range(revision + 1..)
            .find(|(_, accepted_ms)| {
                **accepted_ms + ACTIVATION_LIMIT_MS < at_ms
            })
            .map(|(revision, _)| *revision)
    }
}
