/*!
A node's knowledge of the limits on teams, which counts only while it is recent.

The holder renews the limits every second while there are any, by another key, so
that their version changes only with their content. A node can't compare its wall clock with the holder's, so it concludes the age from
versions and its own steady clock: a version was written after the last read
that still showed another one was requested. The first version that a node
reads may be of any age, so it isn't applied.

Limits that aren't applied but would refuse a job still matter: another node may
refuse the job by them. [`FollowedDecision::TooOld`] tells these apart.

# Example

```
use dewspar::schedule::{
    FollowedDecision, FollowedLimits, LimitedTeam, TeamLimits,
};

let limits = TeamLimits {
    teams: vec![LimitedTeam {
        pool: "registry".to_owned(),
        team: "notaries".to_owned(),
        admitted_permille: 0,
        retry_after_ms: 1_000,
    }],
};
let id = "5c0e7a21d94b36f8".parse()?;
let mut followed = FollowedLimits::default();
let decide = |followed: &FollowedLimits, now_ms| {
    followed.decide("registry", "notaries", id, now_ms)
};
followed.record_read(7, 10_000, || limits.clone());
assert_eq!(decide(&followed, 10_000), FollowedDecision::TooOld);
followed.record_read(8, 10_500, || limits.clone());
let decision = decide(&followed, 10_600);
assert!(matches!(decision, FollowedDecision::Refuse { .. }));
// It was written after 10,000 ms and isn't renewed.
followed.record_read(8, 11_500, || limits.clone());
assert_eq!(decide(&followed, 12_001), FollowedDecision::TooOld);
# Ok::<(), dewspar::job::InvalidId>(())
```
*/

use crate::{
    job::JobId,
    schedule::{SubmissionDecision, TeamLimits},
};

/// The age up to which limits are applied, in milliseconds.
const MAX_AGE_MS: u64 = 2_000;

/// What a node does with a submission by the limits that it has read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowedDecision {
    /// The limits accept it, whatever their age is.
    Accept,
    /// The limits refuse it.
    Refuse {
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The limits would refuse it, but are too old or of unknown age.
    TooOld,
}

/// The limits as a node has read them.
#[derive(Clone, Debug, Default)]
pub struct FollowedLimits {
    limits: TeamLimits,
    /// The version that was read last, and when that read was requested.
    last_read: Option<(u64, u64)>,
    /// The time after which that version was written; `None` if unknown.
    written_after_ms: Option<u64>,
    /// When the first read that showed that version was requested.
    seen_since_ms: u64,
    /// The version of the renewal that was read last, and when that read was
    /// requested.
    last_renewal: Option<(u64, u64)>,
}

impl FollowedLimits {
    /// Records a read that was requested at this time of the steady clock, in
    /// milliseconds, and its version; 0 if there is no record. `limits` gives
    /// the content, if the version is a new one.
    pub fn record_read(
        &mut self,
        version: u64,
        requested_ms: u64,
        limits: impl FnOnce() -> TeamLimits,
    ) {
        let last = self.last_read;
        if let Some((known, last_ms)) = last {
            // Reads may end in another order than they began.
            if version < known && requested_ms < last_ms {
                return;
            }
            if version == known {
                self.last_read = Some((known, last_ms.max(requested_ms)));
                return;
            }
        }
        self.last_read = Some((version, requested_ms));
        // A lower version isn't a newer one: the store has lost the record.
        let is_newer = |known: &(u64, u64)| known.0 < version;
        let last = last.filter(is_newer);
        self.written_after_ms = last.map(|(_, read_ms)| read_ms);
        self.seen_since_ms = requested_ms;
        self.limits = limits();
    }

    /// Records a read of the renewal that was requested at this time, after a
    /// read of the limits; the version is 0 if there was none yet.
    pub fn record_renewal(&mut self, version: u64, requested_ms: u64) {
        if let Some((known, last_ms)) = self.last_renewal {
            // Reads may end in another order than they began.
            if requested_ms < last_ms {
                return;
            }
            if version > known {
                let after_ms = self.written_after_ms.unwrap_or(0);
                self.written_after_ms = Some(after_ms.max(last_ms));
            }
        }
        self.last_renewal = Some((version, requested_ms));
    }

    /// Returns whether there are limits, so that their age matters.
    pub fn has_limits(&self) -> bool {
        !self.limits.teams.is_empty()
    }

    /// Returns the version of the renewal that was read last, if any.
    pub fn renewal(&self) -> Option<u64> {
        self.last_renewal.map(|(version, _)| version)
    }

    /// Returns the version that was read last; 0 if there was none.
    pub fn version(&self) -> u64 {
        self.last_read.map_or(0, |(version, _)| version)
    }

    /// Returns whether the version that was read last has certainly not been
    /// renewed for longer than limits are applied.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let since_ms = self.written_after_ms.unwrap_or(self.seen_since_ms);
        self.last_read.is_some_and(|(version, read_ms)| {
            version > 0
                && now_ms > since_ms + MAX_AGE_MS
                && read_ms > self.seen_since_ms
        })
    }

    /// Decides about a submission at this time of the steady clock.
    pub fn decide(
        &self,
        pool: &str,
        team: &str,
        id: JobId,
        now_ms: u64,
    ) -> FollowedDecision {
        let is_recent = self
            .written_after_ms
            .is_some_and(|after_ms| now_ms <= after_ms + MAX_AGE_MS);
        match self.limits.decide(pool, team, id) {
            SubmissionDecision::Accept => FollowedDecision::Accept,
            SubmissionDecision::Refuse { retry_after_ms } if is_recent => {
                FollowedDecision::Refuse { retry_after_ms }
            }
            SubmissionDecision::Refuse { .. } => FollowedDecision::TooOld,
        }
    }
}
