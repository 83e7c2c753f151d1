/*!
Whether a VM that drains has finished what it had.

Each node on the roster is asked how many requests it has in flight on the VM.
Its answer counts only if it routes by a view that shows the VM draining. A
node that can't be asked is waited for until everything it could have sent to
the VM has certainly ended.
*/

use {
    crate::{
        clock,
        dispatch::Dispatchers,
        membership::{FRESH_MS, StandingReader},
        peer::{Answer, Endpoint, Question},
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::sync::mpsc,
};

/// How long one node's count may take.
const ASK_LIMIT: Duration = Duration::from_millis(500);

/// The pause between two rounds of counting, in milliseconds.
const ROUND_MS: u64 = 50;

/// After how long a node that can't be asked has certainly let go of a VM,
/// in milliseconds: it stops serving when its configuration isn't fresh, its
/// grants have expired by then, and its requests end at their deadlines.
pub(super) const LET_GO_MS: u64 = FRESH_MS + 2_000 + 30_000;

/// A finished count.
#[derive(Debug)]
pub(super) struct Counted {
    vm: String,
    drained: bool,
}

/// Counts requests in flight, one round per VM at a time.
#[derive(Debug)]
pub(super) struct Drains {
    standing: StandingReader,
    endpoint: Endpoint,
    dispatchers: Dispatchers,
    results: mpsc::UnboundedSender<Counted>,
    vms: BTreeMap<String, Round>,
}

#[derive(Debug)]
struct Round {
    // The hall document's version in which the VM drains.
    version: u64,
    asking: bool,
    asked_ms: u64,
    drained: bool,
}

impl Drains {
    pub(super) fn new(
        standing: StandingReader,
        endpoint: Endpoint,
        dispatchers: Dispatchers,
        results: mpsc::UnboundedSender<Counted>,
    ) -> Drains {
        let vms = BTreeMap::new();
        Drains { standing, endpoint, dispatchers, results, vms }
    }

    /// Takes in a finished count.
    pub(super) fn counted(&mut self, counted: &Counted) {
        if let Some(round) = self.vms.get_mut(&counted.vm) {
            round.asking = false;
            round.drained = counted.drained;
        }
    }

    /// Returns whether nothing is in flight on the VM, and asks if unknown.
    ///
    /// `version` is that of a hall document in which the VM drains, and
    /// `since_ms` the Unix time at which it began to.
    pub(super) fn is_drained(
        &mut self,
        vm: &str,
        version: u64,
        since_ms: u64,
    ) -> bool {
        let now_ms = clock::now_ms();
        let round = self.vms.entry(vm.to_owned()).or_insert(Round {
            version,
            asking: false,
            asked_ms: 0,
            drained: false,
        });
        if round.drained {
            return true;
        }
        if round.asking || now_ms < round.asked_ms + ROUND_MS {
            return false;
        }
        round.asking = true;
        round.asked_ms = now_ms;
        let version = round.version;
        let overdue = clock::unix_ms() > since_ms + LET_GO_MS;
        self.ask(vm.to_owned(), version, overdue);
        false
    }

    /// Forgets the VMs that `keep` refuses: they no longer drain.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.vms.retain(|vm, _| keep(vm));
    }

    fn ask(&self, vm: String, version: u64, overdue: bool) {
        let standing = self.standing.borrow().clone();
        let endpoint = self.endpoint.clone();
        let dispatchers = self.dispatchers.clone();
        let results = self.results.clone();
        tokio::spawn(async move {
            let vms = [vm.clone()];
            let (seen, counts) = dispatchers.in_flight(&vms);
            let mut drained = is_done(seen, &counts, version);
            let own = standing.own();
            let others =
                standing.members().values().filter(|m| m.name() != own);
            for peer in others {
                let question = Question::InFlight { vms: vms.to_vec() };
                let asked = endpoint.ask(peer, &question, ASK_LIMIT).await;
                drained &= match asked {
                    Ok(Answer::InFlight { view, counts }) => {
                        is_done(view, &counts, version)
                    }
                    _ => overdue,
                };
            }
            let _ = results.send(Counted { vm, drained });
        });
    }
}

fn is_done(seen: u64, counts: &[u32], version: u64) -> bool {
    seen >= version && counts.iter().all(|count| *count == 0)
}
