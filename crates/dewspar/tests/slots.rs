//! Slots: a runner never gets more requests than it has slots, even if
//! messages are lost or delayed and processes are replaced.

use {
    dewspar::slot::{
        Acquired, Granter, Holder, Limits, Pressure, Reply, Sync,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::collections::BTreeMap,
};

const SLOTS: u32 = 2;
const RUNNERS: [&str; 2] = ["a", "b"];
const NODES: [&str; 3] = ["n0", "n1", "n2"];

#[derive(Clone, Copy, Debug)]
enum Action {
    /// A node sends a sync, which may be lost.
    Send { node: usize, want: u8, lost: bool },
    /// The granter processes the oldest sync in flight.
    Receive,
    /// The oldest reply arrives, or is lost.
    Reply { lost: bool },
    /// A request starts on a node, if it has a slot.
    Start { node: usize },
    /// A request ends.
    End { node: usize },
    /// A node's process is replaced; its requests run until their deadlines.
    Crash { node: usize },
    /// The granter's process is replaced.
    Takeover,
    /// Time passes.
    Advance { ms: u16 },
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Action {
        let node = usize::arbitrary(g) % NODES.len();
        match u8::arbitrary(g) % 16 {
            0..=3 => Action::Send {
                node,
                want: u8::arbitrary(g) % 12,
                lost: u8::arbitrary(g) % 5 == 0,
            },
            4..=6 => Action::Receive,
            7..=9 => Action::Reply { lost: u8::arbitrary(g) % 5 == 0 },
            10..=11 => Action::Start { node },
            12 => Action::End { node },
            13 => Action::Crash { node },
            14 => Action::Takeover,
            _ => Action::Advance { ms: u16::arbitrary(g) % 3_000 },
        }
    }
}

struct Simulation {
    limits: Limits,
    now_ms: u64,
    granter: Granter,
    holders: Vec<Holder>,
    // The requests of each holder that are running, with their deadlines.
    running: Vec<Vec<(String, u64)>>,
    // Requests of replaced processes, which run until their deadlines.
    orphans: Vec<(String, u64)>,
    sent: Vec<(usize, u64, Sync)>,
    replies: Vec<(usize, u64, Reply)>,
    incarnations: Vec<u64>,
}

impl Simulation {
    fn new() -> Simulation {
        let limits = Limits::default().grant_ms(2_000).max_request_ms(3_000);
        let mut simulation = Simulation {
            limits,
            now_ms: 10_000,
            granter: Granter::new(limits, 0),
            holders: Vec::new(),
            running: vec![Vec::new(); NODES.len()],
            orphans: Vec::new(),
            sent: Vec::new(),
            replies: Vec::new(),
            incarnations: vec![0; NODES.len()],
        };
        for _ in NODES {
            simulation.holders.push(Holder::with_incarnation(limits, 1));
        }
        simulation.takeover();
        simulation
    }

    fn takeover(&mut self) {
        // Messages to the former process are lost.
        self.sent.clear();
        self.replies.clear();
        self.granter = Granter::new(self.limits, self.now_ms);
        for runner in RUNNERS {
            self.granter.set_runner(runner, SLOTS);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Send { node, want, lost } => {
                let holder = &mut self.holders[node];
                holder.set_wanted(u32::from(want));
                let oldest_ms = (want > 0).then_some(self.now_ms);
                let sync = holder.sync(oldest_ms, self.now_ms);
                if !lost {
                    self.sent.push((node, self.incarnations[node], sync));
                }
            }
            Action::Receive => {
                if self.sent.is_empty() {
                    return;
                }
                let (node, incarnation, sync) = self.sent.remove(0);
                let now_ms = self.now_ms;
                let reply =
                    self.granter.sync(NODES[node], &sync, &NODES, now_ms);
                if let Some(reply) = reply {
                    self.replies.push((node, incarnation, reply));
                }
                self.collect_replies();
            }
            Action::Reply { lost } => {
                if self.replies.is_empty() {
                    return;
                }
                let (node, incarnation, reply) = self.replies.remove(0);
                if !lost && incarnation == self.incarnations[node] {
                    self.holders[node].apply_reply(&reply, self.now_ms);
                }
            }
            Action::Start { node } => self.start(node),
            Action::End { node } => {
                if let Some((runner, _)) = self.running[node].pop() {
                    self.holders[node].release(&runner);
                }
            }
            Action::Crash { node } => {
                self.orphans.append(&mut self.running[node]);
                self.incarnations[node] += 1;
                let incarnation = self.incarnations[node] + 1;
                self.holders[node] =
                    Holder::with_incarnation(self.limits, incarnation);
            }
            Action::Takeover => self.takeover(),
            Action::Advance { ms } => self.advance(u64::from(ms)),
        }
    }

    fn start(&mut self, node: usize) {
        let acquired = self.holders[node].acquire(self.now_ms, |_| true);
        if let Acquired::Slot(runner) = acquired {
            let deadline_ms = self.now_ms + 3_000;
            self.running[node].push((runner, deadline_ms));
        }
    }

    fn collect_replies(&mut self) {
        for (name, reply) in self.granter.replies(self.now_ms) {
            let node = NODES.iter().position(|node| *node == name);
            let node = node.expect("a known node");
            self.replies.push((node, self.incarnations[node], reply));
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        self.collect_replies();
        let now_ms = self.now_ms;
        self.orphans.retain(|(_, deadline_ms)| *deadline_ms > now_ms);
        for (holder, running) in self.holders.iter_mut().zip(&mut self.running)
        {
            running.retain(|(runner, deadline_ms)| {
                let on = *deadline_ms > now_ms;
                if !on {
                    holder.release(runner);
                }
                on
            });
        }
    }

    /// Returns the highest number of requests on a runner, including those of
    /// replaced processes.
    fn max_in_flight(&self) -> u32 {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        let all = self.running.iter().flatten().chain(&self.orphans);
        for (runner, _) in all {
            *counts.entry(runner).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }
}

#[test]
fn requests_in_flight_never_exceed_the_slots_of_a_runner() {
    fn property(actions: Vec<Action>) -> bool {
        let mut simulation = Simulation::new();
        for action in actions {
            simulation.apply(action);
            assert!(simulation.max_in_flight() <= SLOTS, "too many in flight");
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 5))
        .tests(4_000)
        .quickcheck(property as fn(Vec<Action>) -> bool);
}

/// Delivers one sync to the granter, and its reply if there is one.
fn exchange(
    granter: &mut Granter,
    node: &str,
    holder: &mut Holder,
    now_ms: u64,
) {
    let sync = holder.sync(None, now_ms);
    let at_once = granter.sync(node, &sync, &["n0", "n1"], now_ms);
    let replies = granter.replies(now_ms);
    let later = replies.into_iter().find(|(name, _)| name == node);
    if let Some(reply) = at_once.or(later.map(|(_, reply)| reply)) {
        holder.apply_reply(&reply, now_ms);
    }
}

#[test]
fn parked_want_is_met_as_soon_as_idle_slots_are_returned() {
    let limits = Limits::default();
    let mut granter = Granter::new(limits, 0);
    granter.set_runner("a", SLOTS);
    let mut first = Holder::new(limits);
    let mut second = Holder::new(limits);
    exchange(&mut granter, "n1", &mut second, 10);
    exchange(&mut granter, "n0", &mut first, 10);
    first.set_wanted(SLOTS);
    exchange(&mut granter, "n0", &mut first, 11);
    assert_eq!(first.held(), SLOTS);
    second.set_wanted(1);
    let sync = second.sync(Some(11), 12);
    assert_eq!(granter.sync("n1", &sync, &["n0", "n1"], 12), None);
    assert_eq!(granter.replies(12), []);
    let recalled = granter.recall_candidates(12);
    assert_eq!(recalled, [("n0", Pressure::new(1, 1))]);
    // The holder returns its idle slots, and the want is met.
    first.set_wanted(0);
    first.recall(Pressure::new(1, 1), 12);
    assert!(!first.must_yield(Some(10)), "its own request is older");
    assert!(first.must_yield(None));
    assert_eq!(
        first.next_sync_ms(None),
        Some(11),
        "idle slots are returned at once"
    );
    let sync = first.sync(None, 13);
    assert!(granter.sync("n0", &sync, &["n0", "n1"], 13).is_some());
    let replies = granter.replies(13);
    assert_eq!(replies.len(), 1);
    second.apply_reply(&replies[0].1, 14);
    assert_eq!(second.held(), 1);
    assert_eq!(first.held(), SLOTS - 1);
    assert_eq!(granter.recall_candidates(14), []);
}

#[test]
fn revoked_runner_gets_no_more_requests() {
    let limits = Limits::default();
    let mut granter = Granter::new(limits, 0);
    granter.set_runner("a", SLOTS);
    let mut holder = Holder::new(limits);
    let mut other = Holder::new(limits);
    exchange(&mut granter, "n1", &mut other, 9);
    holder.set_wanted(2);
    exchange(&mut granter, "n0", &mut holder, 10);
    assert!(matches!(holder.acquire(11, |_| true), Acquired::Slot(_)));
    granter.retain_runners(|_| false);
    holder.set_wanted(0);
    exchange(&mut granter, "n0", &mut holder, 12);
    assert_eq!(holder.acquire(13, |_| true), Acquired::Wait);
    // Requests in flight on it stay counted until they end.
    assert_eq!(holder.in_use("a"), 1);
}

#[test]
fn slots_of_a_replaced_process_stay_reserved_until_its_grants_end() {
    let limits = Limits::default().grant_ms(2_000).max_request_ms(3_000);
    let mut granter = Granter::new(limits, 0);
    granter.set_runner("a", SLOTS);
    let mut old = Holder::with_incarnation(limits, 1);
    let mut other = Holder::new(limits);
    exchange(&mut granter, "n1", &mut other, 9);
    old.set_wanted(SLOTS);
    exchange(&mut granter, "n0", &mut old, 10);
    let mut fresh = Holder::with_incarnation(limits, 2);
    exchange(&mut granter, "n0", &mut fresh, 20);
    assert_eq!(granter.outstanding("a"), SLOTS);
    exchange(&mut granter, "n0", &mut fresh, 5_009);
    assert_eq!(granter.outstanding("a"), SLOTS);
    exchange(&mut granter, "n0", &mut fresh, 5_010);
    assert_eq!(granter.outstanding("a"), 0);
}
