//! Slots: never more out than a runner has, whatever becomes of messages.

use {
    dewspar::slot::{Acquired, Granter, Holder, Limits, Reply, Sync},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::collections::BTreeMap,
};

const SLOTS: u32 = 8;
const RUNNERS: [&str; 2] = ["a", "b"];
const NODES: [&str; 3] = ["n0", "n1", "n2"];

#[derive(Clone, Copy, Debug)]
enum Act {
    /// A node states what it holds and wants; the message may be lost.
    Send { node: usize, want: u8, lost: bool },
    /// The granter takes in the oldest message that is on its way.
    Receive,
    /// The oldest reply arrives, or is lost.
    Reply { lost: bool },
    /// A request starts on a node, if it has a slot.
    Start { node: usize },
    /// A request ends.
    End { node: usize },
    /// A node's process is replaced; its requests end at their deadlines.
    Crash { node: usize },
    /// The granter's process is replaced.
    Takeover,
    /// Time passes.
    Pass { ms: u16 },
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Act {
        let node = usize::arbitrary(g) % NODES.len();
        match u8::arbitrary(g) % 16 {
            0..=3 => Act::Send {
                node,
                want: u8::arbitrary(g) % 12,
                lost: u8::arbitrary(g) % 5 == 0,
            },
            4..=6 => Act::Receive,
            7..=9 => Act::Reply { lost: u8::arbitrary(g) % 5 == 0 },
            10..=11 => Act::Start { node },
            12 => Act::End { node },
            13 => Act::Crash { node },
            14 => Act::Takeover,
            _ => Act::Pass { ms: u16::arbitrary(g) % 3_000 },
        }
    }
}

struct World {
    limits: Limits,
    now_ms: u64,
    granter: Granter,
    holders: Vec<Holder>,
    // What each holder believes to be running, with its deadline.
    running: Vec<Vec<(String, u64)>>,
    // What dead processes left running, until their deadlines.
    orphans: Vec<(String, u64)>,
    sent: Vec<(usize, u64, Sync)>,
    replies: Vec<(usize, u64, Reply)>,
    lives: Vec<u64>,
}

impl World {
    fn new() -> World {
        let limits = Limits::default().grant_ms(2_000).max_request_ms(3_000);
        let mut world = World {
            limits,
            now_ms: 10_000,
            granter: Granter::new(limits, 0),
            holders: Vec::new(),
            running: vec![Vec::new(); NODES.len()],
            orphans: Vec::new(),
            sent: Vec::new(),
            replies: Vec::new(),
            lives: vec![0; NODES.len()],
        };
        for _ in NODES {
            world.holders.push(Holder::with_sequence(limits, 1));
        }
        world.takeover();
        world
    }

    fn takeover(&mut self) {
        // Messages to the former process are gone with it.
        self.sent.clear();
        self.replies.clear();
        self.granter = Granter::new(self.limits, self.now_ms);
        for runner in RUNNERS {
            self.granter.set_runner(runner, SLOTS);
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Send { node, want, lost } => {
                let holder = &mut self.holders[node];
                holder.want(u32::from(want));
                let sync = holder.sync(self.now_ms);
                if !lost {
                    self.sent.push((node, self.lives[node], sync));
                }
            }
            Act::Receive => {
                if self.sent.is_empty() {
                    return;
                }
                let (node, life, sync) = self.sent.remove(0);
                let reply =
                    self.granter.sync(NODES[node], &sync, &NODES, self.now_ms);
                self.replies.push((node, life, reply));
            }
            Act::Reply { lost } => {
                if self.replies.is_empty() {
                    return;
                }
                let (node, life, reply) = self.replies.remove(0);
                if !lost && life == self.lives[node] {
                    self.holders[node].answered(&reply, self.now_ms);
                }
            }
            Act::Start { node } => self.start(node),
            Act::End { node } => {
                if let Some((runner, _)) = self.running[node].pop() {
                    self.holders[node].release(&runner);
                }
            }
            Act::Crash { node } => {
                self.orphans.append(&mut self.running[node]);
                self.lives[node] += 1;
                let sequence = 1_000_000 * (1 + self.lives[node]);
                self.holders[node] =
                    Holder::with_sequence(self.limits, sequence);
            }
            Act::Takeover => self.takeover(),
            Act::Pass { ms } => self.pass(u64::from(ms)),
        }
    }

    fn start(&mut self, node: usize) {
        let acquired = self.holders[node].acquire(self.now_ms, |_| true);
        if let Acquired::Slot(runner) = acquired {
            let deadline_ms = self.now_ms + 3_000;
            self.running[node].push((runner, deadline_ms));
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
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

    /// Returns the most requests on any runner, dead nodes' included.
    fn most_in_flight(&self) -> u32 {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        let all = self.running.iter().flatten().chain(&self.orphans);
        for (runner, _) in all {
            *counts.entry(runner).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }
}

#[test]
fn runner_never_has_more_than_its_slots() {
    fn holds(acts: Vec<Act>) -> bool {
        let mut world = World::new();
        for act in acts {
            world.act(act);
            assert!(world.most_in_flight() <= SLOTS, "too many in flight");
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 5))
        .tests(4_000)
        .quickcheck(holds as fn(Vec<Act>) -> bool);
}

#[test]
fn idle_slots_come_back_when_they_are_recalled() {
    let limits = Limits::default();
    let mut granter = Granter::new(limits, 0);
    granter.set_runner("a", SLOTS);
    let mut one = Holder::new(limits);
    let mut two = Holder::new(limits);
    let live = ["n0", "n1"];
    granter.sync("n1", &two.sync(10), &live, 10);
    one.want(SLOTS);
    let reply = granter.sync("n0", &one.sync(11), &live, 11);
    one.answered(&reply, 11);
    assert_eq!(one.held(), SLOTS);
    two.want(2);
    let reply = granter.sync("n1", &two.sync(12), &live, 12);
    two.answered(&reply, 12);
    assert_eq!(two.held(), 0);
    assert_eq!(granter.recallable("n1"), ["n0"]);
    one.want(0);
    one.recall();
    granter.sync("n0", &one.sync(13), &live, 13);
    let reply = granter.sync("n1", &two.sync(14), &live, 14);
    two.answered(&reply, 14);
    assert_eq!(two.held(), 2);
}

#[test]
fn revoked_runner_gets_nothing_more() {
    let limits = Limits::default();
    let mut granter = Granter::new(limits, 0);
    granter.set_runner("a", SLOTS);
    let mut holder = Holder::new(limits);
    holder.want(2);
    let reply = granter.sync("n0", &holder.sync(10), &["n0"], 10);
    holder.answered(&reply, 10);
    assert!(matches!(holder.acquire(11, |_| true), Acquired::Slot(_)));
    granter.retain_runners(|_| false);
    let reply = granter.sync("n0", &holder.sync(12), &["n0"], 12);
    holder.answered(&reply, 12);
    assert_eq!(holder.acquire(13, |_| true), Acquired::Wait);
    // What is in flight there stays counted until it ends.
    assert_eq!(holder.in_use("a"), 1);
}
