/*!
What calls cost a node's link, told apart by what they are for.

A node that falls behind has to say which work took its link: readings of the
directory look like orders to workers from outside. So each [`Client`] has a
[`Purpose`], and all clients of a node count into one [`Traffic`]: calls, and
the bytes of heads and bodies both ways. Packets and acknowledgements of the
network come on top of that.

[`Client`]: crate::Client

# Example

```
use dewspar_platform::{Purpose, Traffic};

let traffic = Traffic::default();
traffic.note(Purpose::Orders, 700, 120);
let before = traffic.tallies();
traffic.note(Purpose::Orders, 700, 120);
let since = traffic.tallies().since(&before);
assert_eq!(since.of(Purpose::Orders).calls, 1);
assert_eq!(since.of(Purpose::Orders).sent_bytes, 700);
assert_eq!(since.total().received_bytes, 120);
```
*/

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// What calls are for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Purpose {
    /// What none of the others names.
    #[default]
    Other,
    /// The scheduler lease: who holds it, and its renewal.
    Lease,
    /// News of accepted and cancelled jobs.
    Feed,
    /// What a new holder loads.
    Takeover,
    /// The directory of workers.
    Directory,
    /// The list of VMs, and orders to the VM service.
    Vms,
    /// Questions to workers, which renew their leases.
    Questions,
    /// Orders to start, stop and pace runs.
    Orders,
    /// Writes of the progress of jobs.
    Progress,
    /// Counts of waiting jobs.
    Counts,
    /// What callers hand in and ask.
    Callers,
    /// What the operator wants.
    Operator,
    /// Orders that relays carry.
    Relays,
    /// Calls to the store that this node forwards for others.
    Peers,
}

impl Purpose {
    /// Every purpose, in the order of the variants.
    pub const ALL: [Purpose; 14] = [
        Purpose::Other,
        Purpose::Lease,
        Purpose::Feed,
        Purpose::Takeover,
        Purpose::Directory,
        Purpose::Vms,
        Purpose::Questions,
        Purpose::Orders,
        Purpose::Progress,
        Purpose::Counts,
        Purpose::Callers,
        Purpose::Operator,
        Purpose::Relays,
        Purpose::Peers,
    ];

    /// Returns the purpose's name, for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Other => "other",
            Purpose::Lease => "lease",
            Purpose::Feed => "feed",
            Purpose::Takeover => "takeover",
            Purpose::Directory => "directory",
            Purpose::Vms => "vms",
            Purpose::Questions => "questions",
            Purpose::Orders => "orders",
            Purpose::Progress => "progress",
            Purpose::Counts => "counts",
            Purpose::Callers => "callers",
            Purpose::Operator => "operator",
            Purpose::Relays => "relays",
            Purpose::Peers => "peers",
        }
    }
}

/// Calls and bytes of one purpose.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// How many calls were answered.
    pub calls: u64,
    /// The bytes of requests, heads and bodies.
    pub sent_bytes: u64,
    /// The bytes of answers, heads and bodies.
    pub received_bytes: u64,
}

impl Tally {
    fn less(self, before: Tally) -> Tally {
        Tally {
            calls: self.calls.saturating_sub(before.calls),
            sent_bytes: self.sent_bytes.saturating_sub(before.sent_bytes),
            received_bytes: self
                .received_bytes
                .saturating_sub(before.received_bytes),
        }
    }
}

/// A tally of each purpose at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tallies([Tally; Purpose::ALL.len()]);

impl Tallies {
    /// Returns the tally of one purpose.
    pub fn of(&self, purpose: Purpose) -> Tally {
        self.0[purpose as usize]
    }

    /// Returns what came since an earlier moment.
    pub fn since(&self, before: &Tallies) -> Tallies {
        let mut since = *self;
        for (tally, before) in since.0.iter_mut().zip(&before.0) {
            *tally = tally.less(*before);
        }
        since
    }

    /// Returns the sum over all purposes.
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        for tally in &self.0 {
            total.calls += tally.calls;
            total.sent_bytes += tally.sent_bytes;
            total.received_bytes += tally.received_bytes;
        }
        total
    }
}

/// Counters of a node's traffic; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Traffic(Arc<[Counters; Purpose::ALL.len()]>);

#[derive(Debug, Default)]
struct Counters {
    calls: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl Traffic {
    /// Notes a call that was answered.
    pub fn note(&self, purpose: Purpose, sent: u64, received: u64) {
        let counters = &self.0[purpose as usize];
        counters.calls.fetch_add(1, Ordering::Relaxed);
        counters.sent_bytes.fetch_add(sent, Ordering::Relaxed);
        counters.received_bytes.fetch_add(received, Ordering::Relaxed);
    }

    /// Returns what was counted so far.
    pub fn tallies(&self) -> Tallies {
        let mut tallies = Tallies::default();
        for (tally, counters) in tallies.0.iter_mut().zip(self.0.iter()) {
            *tally = Tally {
                calls: counters.calls.load(Ordering::Relaxed),
                sent_bytes: counters.sent_bytes.load(Ordering::Relaxed),
                received_bytes: counters
                    .received_bytes
                    .load(Ordering::Relaxed),
            };
        }
        tallies
    }
}
