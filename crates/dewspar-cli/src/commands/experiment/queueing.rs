/*!
A model of requests that wait for slots, in virtual time.

One trace of arrivals, with the time that each request takes, is given to
every policy in turn. The policy of this project runs the library's own
[`Granter`] and [`Holder`]; only the messages between them are modelled, each
with a delay one way.
*/

use {
    dewspar::slot::{
        Acquired, Granter, Holder, Limits, Pressure, Reply, Sync,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

/// How many requests a runner takes at a time.
pub(super) const SLOTS: u32 = 8;

/// How long a message between nodes takes, in microseconds.
const DELAY_US: u64 = 500;

/// The mean time that a request takes, in microseconds.
const MEAN_SERVICE_US: f64 = 20_000.0;

/// One request of a trace.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) at_us: u64,
    pub(super) node: usize,
    pub(super) takes_us: u64,
}

/// A trace, and the fleet it is sent to.
#[derive(Clone, Debug)]
pub(super) struct Trace {
    pub(super) nodes: usize,
    pub(super) runners: usize,
    pub(super) arrivals: Vec<Arrival>,
}

impl Trace {
    /// Makes a trace at a load, as a share of all slots.
    pub(super) fn new(
        nodes: usize,
        runners: usize,
        load: f64,
        requests: usize,
        seed: u64,
    ) -> Trace {
        let mut random = StdRng::seed_from_u64(seed);
        let slots = (runners as u32 * SLOTS) as f64;
        let mean_gap_us = MEAN_SERVICE_US / (slots * load);
        let mut at_us = 0.0;
        let arrivals = (0..requests)
            .map(|_| {
                at_us += exponential(&mut random, mean_gap_us);
                Arrival {
                    at_us: at_us as u64,
                    node: random.random_range(0..nodes),
                    takes_us: exponential(&mut random, MEAN_SERVICE_US) as u64,
                }
            })
            .collect();
        Trace { nodes, runners, arrivals }
    }
}

pub(super) fn exponential(random: &mut StdRng, mean: f64) -> f64 {
    let uniform: f64 = random.random();
    -mean * (1.0 - uniform).ln()
}

/// What a policy made of a trace.
#[derive(Clone, Debug, Default)]
pub(super) struct Waits {
    waits_us: Vec<u64>,
    /// Requests sent to a runner that had no slot free.
    pub(super) over: u64,
    /// The most requests in flight on one runner.
    pub(super) most_in_flight: u32,
    /// Messages between nodes.
    pub(super) messages: u64,
}

impl Waits {
    /// Returns the wait that this share of requests stays within.
    pub(super) fn quantile_us(&mut self, share: f64) -> u64 {
        self.waits_us.sort_unstable();
        let last = self.waits_us.len().saturating_sub(1);
        let index = (last as f64 * share) as usize;
        self.waits_us.get(index).copied().unwrap_or(0)
    }
}

/// Slots that are taken in the order in which they come free.
struct Servers(BinaryHeap<Reverse<u64>>);

impl Servers {
    fn new(count: u32) -> Servers {
        Servers((0..count).map(|_| Reverse(0)).collect())
    }

    /// Takes the next free slot; returns how long that was waited for.
    fn take(&mut self, arrival: &Arrival) -> u64 {
        // OK because there is at least one slot, and each goes back.
        let Reverse(free_us) = self.0.pop().expect("a slot");
        let start_us = free_us.max(arrival.at_us);
        self.0.push(Reverse(start_us + arrival.takes_us));
        start_us - arrival.at_us
    }
}

/// One queue for all slots: the ideal.
pub(super) fn central(trace: &Trace) -> Waits {
    let mut servers = Servers::new(trace.runners as u32 * SLOTS);
    let waits_us = trace.arrivals.iter().map(|a| servers.take(a)).collect();
    Waits { waits_us, most_in_flight: SLOTS, ..Waits::default() }
}

/// Each node has its share of the slots, and a queue for them.
pub(super) fn split(trace: &Trace) -> Waits {
    let slots = trace.runners as u32 * SLOTS;
    let share = (slots / trace.nodes as u32).max(1);
    let mut servers: Vec<Servers> =
        (0..trace.nodes).map(|_| Servers::new(share)).collect();
    let waits_us = trace
        .arrivals
        .iter()
        .map(|arrival| servers[arrival.node].take(arrival))
        .collect();
    Waits { waits_us, most_in_flight: SLOTS, ..Waits::default() }
}

/// How a node picks a runner by what it knows alone.
#[derive(Clone, Copy, Debug)]
pub(super) enum Pick {
    Random,
    RoundRobin,
    LeastInFlight,
    TwoChoices,
}

/// Each node picks a runner for each request; runners queue.
pub(super) fn local(trace: &Trace, pick: Pick, seed: u64) -> Waits {
    let mut random = StdRng::seed_from_u64(seed);
    let mut runners: Vec<Servers> =
        (0..trace.runners).map(|_| Servers::new(SLOTS)).collect();
    let mut own = vec![vec![0_u32; trace.runners]; trace.nodes];
    let mut all = vec![0_u32; trace.runners];
    let mut next = vec![0_usize; trace.nodes];
    let mut ends: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let mut waits = Waits::default();
    for arrival in &trace.arrivals {
        while let Some(Reverse((end_us, node, runner))) = ends.peek()
            && *end_us <= arrival.at_us
        {
            own[*node][*runner] -= 1;
            all[*runner] -= 1;
            ends.pop();
        }
        let node = arrival.node;
        let any = |random: &mut StdRng| random.random_range(0..trace.runners);
        let runner = match pick {
            Pick::Random => any(&mut random),
            Pick::RoundRobin => {
                next[node] = (next[node] + 1) % trace.runners;
                next[node]
            }
            Pick::LeastInFlight => {
                let first = any(&mut random);
                let order = (0..trace.runners)
                    .map(|offset| (first + offset) % trace.runners);
                order.min_by_key(|r| own[node][*r]).unwrap_or(first)
            }
            Pick::TwoChoices => {
                let (one, two) = (any(&mut random), any(&mut random));
                if own[node][one] <= own[node][two] { one } else { two }
            }
        };
        waits.over += u64::from(all[runner] >= SLOTS);
        let wait_us = runners[runner].take(arrival);
        waits.waits_us.push(wait_us);
        own[node][runner] += 1;
        all[runner] += 1;
        waits.most_in_flight = waits.most_in_flight.max(all[runner]);
        let end_us = arrival.at_us + wait_us + arrival.takes_us;
        ends.push(Reverse((end_us, node, runner)));
    }
    waits
}

/// Something that happens at a time; the number keeps the order.
#[derive(Debug, Eq, PartialEq)]
enum Event {
    Arrive(usize),
    End { node: usize, runner: String },
    Sync { node: usize, sync: Sync },
    Reply { node: usize, reply: Reply },
    Recall { node: usize, pressure: Pressure },
    Wake { node: usize },
    GranterWakes,
}

/// Slots granted by one node in small grants: this project's policy.
pub(super) fn granted(trace: &Trace) -> Waits {
    let mut model = Model::new(trace);
    while let Some((now_us, event)) = model.next() {
        model.handle(now_us, event);
    }
    model.waits
}

struct Model<'a> {
    trace: &'a Trace,
    granter: Granter,
    nodes: Vec<Node>,
    in_flight: Vec<u32>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: std::collections::HashMap<u64, Event>,
    number: u64,
    waits: Waits,
    recalled_us: Vec<u64>,
    granter_wakes_us: u64,
}

struct Node {
    holder: Holder,
    queue: VecDeque<usize>,
    syncing: bool,
    wakes_us: u64,
}

impl<'a> Model<'a> {
    fn new(trace: &'a Trace) -> Model<'a> {
        let limits = Limits::default();
        let mut granter = Granter::new(limits, 0);
        for runner in 0..trace.runners {
            granter.set_runner(&runner.to_string(), SLOTS);
        }
        // Every node has said that it holds nothing.
        let names: Vec<String> =
            (0..trace.nodes).map(|n| n.to_string()).collect();
        let live: Vec<&str> = names.iter().map(String::as_str).collect();
        for name in &live {
            granter.sync(name, &Sync::empty(1), &live, 0);
        }
        let nodes = (0..trace.nodes)
            .map(|_| Node {
                holder: Holder::with_incarnation(limits, 2),
                queue: VecDeque::new(),
                syncing: false,
                wakes_us: u64::MAX,
            })
            .collect();
        let mut model = Model {
            trace,
            granter,
            nodes,
            in_flight: vec![0; trace.runners],
            events: BinaryHeap::new(),
            bodies: std::collections::HashMap::new(),
            number: 0,
            waits: Waits::default(),
            recalled_us: vec![0; trace.nodes],
            granter_wakes_us: u64::MAX,
        };
        model.at(trace.arrivals[0].at_us, Event::Arrive(0));
        model
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at_us, self.number)));
        self.bodies.insert(self.number, event);
    }

    fn next(&mut self) -> Option<(u64, Event)> {
        if self.waits.waits_us.len() == self.trace.arrivals.len() {
            return None;
        }
        let Reverse((at_us, number)) = self.events.pop()?;
        let event = self.bodies.remove(&number)?;
        Some((at_us, event))
    }

    fn handle(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Arrive(index) => {
                let next = index + 1;
                if let Some(arrival) = self.trace.arrivals.get(next) {
                    self.at(arrival.at_us, Event::Arrive(next));
                }
                let node = self.trace.arrivals[index].node;
                self.nodes[node].queue.push_back(index);
                self.serve(now_us, node);
            }
            Event::End { node, runner } => {
                self.nodes[node].holder.release(&runner);
                self.in_flight[number_of(&runner)] -= 1;
                self.serve(now_us, node);
            }
            Event::Sync { node, sync } => {
                let name = node.to_string();
                let now_ms = now_us / 1_000;
                let reply = self.granter.sync(&name, &sync, &[], now_ms);
                if let Some(reply) = reply {
                    self.send(now_us, Event::Reply { node, reply });
                }
                self.replies(now_us);
            }
            Event::GranterWakes => {
                self.granter_wakes_us = u64::MAX;
                self.replies(now_us);
            }
            Event::Reply { node, reply } => {
                if reply.sequence() != self.nodes[node].holder.sequence() {
                    return;
                }
                self.nodes[node].syncing = false;
                let now_ms = now_us / 1_000;
                self.nodes[node].holder.apply_reply(&reply, now_ms);
                self.serve(now_us, node);
            }
            Event::Recall { node, pressure } => {
                let now_ms = now_us / 1_000;
                self.nodes[node].holder.recall(pressure, now_ms);
                self.sync_if_due(now_us, node);
            }
            Event::Wake { node } => {
                self.nodes[node].wakes_us = u64::MAX;
                self.sync_if_due(now_us, node);
            }
        }
    }

    fn send(&mut self, now_us: u64, event: Event) {
        self.waits.messages += 1;
        self.at(now_us + DELAY_US, event);
    }

    /// Starts what can be started on a node, and lets it speak if it must.
    fn serve(&mut self, now_us: u64, node: usize) {
        let now_ms = now_us / 1_000;
        while let Some(index) = self.nodes[node].queue.front().copied() {
            let oldest_ms = self.oldest_ms(node);
            if self.nodes[node].holder.should_yield(oldest_ms) {
                break;
            }
            let holder = &mut self.nodes[node].holder;
            let Acquired::Slot(runner) = holder.acquire(now_ms, |_| true)
            else {
                break;
            };
            self.nodes[node].queue.pop_front();
            let arrival = self.trace.arrivals[index];
            self.waits.waits_us.push(now_us - arrival.at_us);
            let in_flight = &mut self.in_flight[number_of(&runner)];
            self.waits.over += u64::from(*in_flight >= SLOTS);
            *in_flight += 1;
            let most = self.waits.most_in_flight.max(*in_flight);
            self.waits.most_in_flight = most;
            let end_us = now_us + arrival.takes_us;
            self.at(end_us, Event::End { node, runner });
        }
        self.sync_if_due(now_us, node);
    }

    /// Returns since when a node's oldest request waits.
    fn oldest_ms(&self, node: usize) -> Option<u64> {
        let first = self.nodes[node].queue.front()?;
        Some(self.trace.arrivals[*first].at_us / 1_000)
    }

    fn sync_if_due(&mut self, now_us: u64, index: usize) {
        let oldest_ms = self.oldest_ms(index);
        let node = &mut self.nodes[index];
        if node.syncing && !node.holder.must_yield(oldest_ms) {
            return;
        }
        let next_ms = node.holder.next_sync_ms(oldest_ms);
        let Some(due_ms) = next_ms else { return };
        let due_us = due_ms * 1_000;
        if due_us > now_us {
            if due_us < node.wakes_us {
                node.wakes_us = due_us;
                self.at(due_us, Event::Wake { node: index });
            }
            return;
        }
        node.holder.set_wanted(node.queue.len() as u32);
        let sync = node.holder.sync(oldest_ms, now_us / 1_000);
        node.syncing = true;
        self.send(now_us, Event::Sync { node: index, sync });
    }

    /// Sends the granter's replies, and recalls what others wait for.
    fn replies(&mut self, now_us: u64) {
        for (name, reply) in self.granter.replies(now_us / 1_000) {
            let node = number_of(&name);
            self.send(now_us, Event::Reply { node, reply });
        }
        let holders: Vec<(usize, Pressure)> = self
            .granter
            .recall_candidates(now_us / 1_000)
            .into_iter()
            .map(|(name, pressure)| (number_of(name), pressure))
            .collect();
        for (node, pressure) in holders {
            if now_us >= self.recalled_us[node] + RECALL_GAP_US {
                self.recalled_us[node] = now_us;
                self.send(now_us, Event::Recall { node, pressure });
            }
        }
        if let Some(next_ms) = self.granter.next_reply_ms() {
            let at_us = (next_ms * 1_000).max(now_us + 1);
            if at_us < self.granter_wakes_us {
                self.granter_wakes_us = at_us;
                self.at(at_us, Event::GranterWakes);
            }
        }
    }
}

/// The shortest time between two recalls to one node, as in the daemon.
const RECALL_GAP_US: u64 = 1_000;

fn number_of(name: &str) -> usize {
    // OK because the model names nodes and runners by their numbers.
    name.parse().expect("a number")
}
