/*!
Whether a job that would have to wait is still worth accepting.

Accepting a job promises its caller that it will be run. Where it is known that
it can't be done in any time that is of use, the honest answer is a refusal at
once: the caller can go elsewhere or come back, and the work that can still be
in time isn't delayed by work that can't. A job that will only be late is
accepted: late is worth less to its caller, but more than nothing.

A refused caller is told to come back when a job would be in time again, and
callers are spread over as long again, so that they don't all return at one
moment to be refused anew.

# Example

```
use dewspar::patience::{Verdict, judge};

// Two seconds of work that may take 5 s, and a wait of 4 s: late at worst.
assert_eq!(judge(4_000, 2_000, 5_000, 0), Verdict::Accept);
// A wait of 20 s: by then nobody has any use for it.
let verdict = judge(20_000, 2_000, 5_000, 0);
assert_eq!(verdict, Verdict::Refuse { retry_after_ms: 17_000 });
```
*/

/// What is to be done with a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It can be done in time, or late.
    Accept,
    /// It can't be done in any time that is of use.
    Refuse {
        /// When its caller may come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Up to how many times its objective a job is late; beyond that it is of no
/// use, by the users' account of what a job is worth.
const LATE_FACTOR: u64 = 3;

/// The longest that a caller is told to stay away, in milliseconds: peaks of
/// demand are over by then.
const LONGEST_AWAY_MS: u64 = 30_000;

/// Judges a job that would wait so long, whose chain of work takes so long and
/// that should be done within its objective, all in milliseconds. `draw` is a
/// number drawn for this caller, by which callers are spread.
pub fn judge(
    wait_ms: u64,
    chain_ms: u64,
    objective_ms: u64,
    draw: u64,
) -> Verdict {
    let of_use_ms = objective_ms.saturating_mul(LATE_FACTOR);
    if wait_ms.saturating_add(chain_ms) <= of_use_ms {
        return Verdict::Accept;
    }
    let may_wait_ms = objective_ms.saturating_sub(chain_ms);
    let away_ms = wait_ms.saturating_sub(may_wait_ms).min(LONGEST_AWAY_MS);
    let spread_ms = draw % (away_ms + 1);
    Verdict::Refuse { retry_after_ms: away_ms + spread_ms }
}
