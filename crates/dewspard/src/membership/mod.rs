/*!
Membership: the node's lease, its probes, and what it makes of them.

The node lists itself at the platform under a lease, renewed at a third of its
life. Peers are probed directly. The task publishes a [`Standing`]: who is
live, and how sure the node is that no newer configuration is in force.

After an outage of the platform every lease may have lapsed. A member that is
no longer listed but still answers is kept for one lease's life, so that
holders come back before anyone succeeds them.

What peers say counts from when it was asked for, and what they ask from when it
is read, unless this VM has just been suspended: then from before that. Nothing
that lay in a connection meanwhile is taken for young.
*/

use {
    self::lease::LeaseKeeper,
    crate::{
        clock::{self, Arrivals},
        counters,
        peer::{Answer, Endpoint, HeardNode, Probe, Question},
        view::ViewReader,
        watcher,
    },
    dewspar::{
        config::{Resource, Snapshot},
        member::{
            Freshness, Member, PeerAge, Roster, Timing, first, freshness,
        },
    },
    dewspar_platform::KeyValue,
    slog::{Logger, info},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::interval,
    },
};

mod lease;

/// How old a confirmation of the configuration may be, in milliseconds.
///
/// Configuration must be in force everywhere within 6 s: a node that can't
/// be sure leaves the balancer after 4 s, and the balancer takes up to 2 s.
pub const FRESH_MS: u64 = 4_000;

/// What the node knows of the roster.
#[derive(Clone, Debug)]
pub struct Standing {
    own: String,
    live: Vec<String>,
    members: BTreeMap<String, Member>,
    freshness: Freshness,
}

impl Standing {
    /// Returns this node's own name.
    pub fn own(&self) -> &str {
        &self.own
    }

    /// Returns the names of the members that aren't suspected, in order.
    pub fn live(&self) -> Vec<&str> {
        self.live.iter().map(String::as_str).collect()
    }

    /// Returns every listed member, suspected or not.
    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// Returns how sure the node is of its configuration.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Returns whether this node should act on `key` now.
    pub fn is_first(&self, key: &str) -> bool {
        first(key, &self.live()) == Some(self.own.as_str())
    }

    /// Returns the live member that should act on `key`.
    pub fn first(&self, key: &str) -> Option<&Member> {
        self.members.get(first(key, &self.live())?)
    }

    /// Returns whether the process of that incarnation is on the roster.
    pub fn has(&self, node: &str, incarnation: u64) -> bool {
        let same = |member: &Member| member.incarnation() == incarnation;
        self.members.get(node).is_some_and(same)
            && self.live.iter().any(|name| name == node)
    }
}

/// The newest standing, for reading.
pub type StandingReader = watch::Receiver<Arc<Standing>>;

/// A probe from a peer, with the place for the answer.
pub struct Probed {
    probe: Probe,
    reply: oneshot::Sender<Probe>,
}

/// The way to the membership task.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The newest standing.
    pub standing: StandingReader,
    probed: mpsc::Sender<Probed>,
}

impl Handle {
    /// Answers a peer's probe.
    pub async fn probed(&self, probe: Probe) -> Option<Probe> {
        let (reply, answer) = oneshot::channel();
        self.probed.send(Probed { probe, reply }).await.ok()?;
        answer.await.ok()
    }
}

/// How a node takes part.
#[derive(Clone, Debug)]
pub struct Options {
    member: Member,
    timing: Timing,
    lease_ttl_ms: u64,
}

impl Options {
    /// Makes options for the node's own entry.
    pub fn new(member: Member) -> Options {
        let timing = Timing::default();
        Options { member, timing, lease_ttl_ms: 10_000 }
    }

    /// Sets how peers are probed.
    pub fn timing(mut self, timing: Timing) -> Options {
        self.timing = timing;
        self
    }

    /// Sets how long the lease lasts, in milliseconds.
    pub fn lease_ttl_ms(mut self, lease_ttl_ms: u64) -> Options {
        self.lease_ttl_ms = lease_ttl_ms;
        self
    }
}

/// How the node says that it stops, and when it leaves the roster.
pub struct Leave {
    /// True once the node stops: others act first from then on.
    pub stopping: watch::Receiver<bool>,
    /// Signalled or dropped when the node's entry should go.
    pub left: oneshot::Receiver<()>,
}

/// The parts of the membership task that exist before the endpoint does.
pub struct Setup {
    options: Options,
    publish: watch::Sender<Arc<Standing>>,
    probed: mpsc::Receiver<Probed>,
}

impl Setup {
    /// Adds the address at which peers reach the node.
    pub fn at(mut self, peer_address: &str) -> Setup {
        self.options.member =
            self.options.member.with_peer_address(peer_address);
        self
    }
}

/// Makes the way to the task, and what [`start`] needs.
pub fn prepare(options: Options) -> (Handle, Setup) {
    let name = options.member.name().to_owned();
    let standing = Standing {
        own: name.clone(),
        live: vec![name],
        members: BTreeMap::new(),
        freshness: Freshness::CutOff,
    };
    let (publish, reader) = watch::channel(Arc::new(standing));
    let (sender, probed) = mpsc::channel(256);
    let handle = Handle { standing: reader, probed: sender };
    (handle, Setup { options, publish, probed })
}

/// Starts the task, and the one that keeps the lease.
///
/// The lease's task ends, and the node's entry with it, when the node leaves.
pub fn start<K: KeyValue>(
    setup: Setup,
    platform: K,
    watcher: watcher::Handle,
    endpoint: Endpoint,
    leave: Leave,
    log: Logger,
) -> tokio::task::JoinHandle<()> {
    let options = setup.options;
    let keeper = LeaseKeeper {
        platform,
        member: options.member.clone(),
        ttl_ms: options.lease_ttl_ms,
        view: watcher.view.clone(),
        log: log.clone(),
    };
    let Leave { stopping, left } = leave;
    let kept = tokio::spawn(keeper.run(left));
    let (results, probe_results) = mpsc::channel(256);
    // A peer gives a question up after the time between two rounds.
    let under_way_ms = options.timing.interval_ms();
    let task = Task {
        arrivals: Arrivals::new(under_way_ms, clock::suspended_ms()),
        roster: Roster::new(options.member.name(), options.timing),
        options,
        publish: setup.publish,
        watcher,
        endpoint,
        results,
        heard: HashMap::new(),
        unlisted_since_ms: HashMap::new(),
        stopping,
        log,
    };
    tokio::spawn(task.run(setup.probed, probe_results));
    kept
}

struct ProbeResult {
    node: String,
    /// When the peer was asked, on the steady clock.
    asked_ms: u64,
    answer: Option<Probe>,
}

#[derive(Clone, Copy)]
struct Heard {
    at_ms: u64,
    confirmed_ms: Option<u64>,
}

struct Task {
    options: Options,
    arrivals: Arrivals,
    roster: Roster,
    publish: watch::Sender<Arc<Standing>>,
    watcher: watcher::Handle,
    endpoint: Endpoint,
    results: mpsc::Sender<ProbeResult>,
    heard: HashMap<String, Heard>,
    unlisted_since_ms: HashMap<String, u64>,
    stopping: watch::Receiver<bool>,
    log: Logger,
}

impl Task {
    async fn run(
        mut self,
        mut probed: mpsc::Receiver<Probed>,
        mut results: mpsc::Receiver<ProbeResult>,
    ) {
        let interval_ms = self.options.timing.interval_ms();
        let mut rounds = interval(Duration::from_millis(interval_ms));
        let mut view = self.watcher.view.clone();
        let mut stopping = self.stopping.clone();
        loop {
            tokio::select! {
                _ = rounds.tick() => {
                    // Notices a suspension soon after it.
                    self.arrived_ms();
                    self.probe_peers();
                }
                asked = probed.recv() => {
                    let Some(asked) = asked else { return };
                    // It may have come while this VM was suspended: read then,
                    // a peer's confirmation of 10 s ago passed for a new one.
                    let said_ms = self.arrived_ms();
                    self.hear(&asked.probe, said_ms);
                    let _ = asked.reply.send(self.speak());
                }
                result = results.recv() => {
                    let Some(result) = result else { return };
                    self.take_in(result);
                }
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                Ok(()) = stopping.changed() => {
                    // Others take over while this node still answers.
                    self.roster.leave();
                    self.probe_peers();
                }
            }
            self.list_members(&view);
            self.publish();
        }
    }

    /// Returns as of when a question counts that is read now.
    fn arrived_ms(&mut self) -> u64 {
        let suspended_ms = clock::suspended_ms();
        self.arrivals.as_of_ms(clock::now_ms(), suspended_ms)
    }

    fn probe_peers(&mut self) {
        let probe = self.speak();
        let asked_ms = clock::now_ms();
        let limit = Duration::from_millis(self.options.timing.interval_ms());
        for peer in self.roster.probe_targets() {
            let endpoint = self.endpoint.clone();
            let results = self.results.clone();
            let question = Question::Probe(probe.clone());
            tokio::spawn(async move {
                let asked = endpoint.ask(&peer, &question, limit).await;
                let answer = match asked {
                    Ok(Answer::Probe(answer)) => Some(answer),
                    _ => None,
                };
                let node = peer.name().to_owned();
                let result = ProbeResult { node, asked_ms, answer };
                let _ = results.send(result).await;
            });
        }
    }

    fn take_in(&mut self, result: ProbeResult) {
        let now_ms = clock::now_ms();
        match result.answer {
            Some(answer) => {
                counters::count_by(counters::PROBES, "result", "answered");
                self.hear(&answer, result.asked_ms);
            }
            None => {
                counters::count_by(counters::PROBES, "result", "missed");
                if self.roster.probe_failed(&result.node, now_ms) {
                    self.probe_peers();
                }
            }
        }
    }

    /// Takes in what a peer said at `said_ms` or later, asked or not.
    fn hear(&mut self, probe: &Probe, said_ms: u64) {
        let now_ms = clock::now_ms();
        // One that answered long ago may have died since.
        if now_ms < said_ms + self.grace_ms() {
            let incarnation = probe.incarnation;
            self.roster.probe_succeeded(&probe.node, incarnation, now_ms);
        }
        let suspicions = &probe.suspicions;
        let mut news =
            self.roster.merge_suspicions_as_of(suspicions, said_ms, now_ms);
        if probe.leaving {
            news |= self.roster.mark_leaving(&probe.node, probe.incarnation);
        }
        if news {
            self.probe_peers();
        }
        self.note(&probe.node, said_ms, probe.confirmed_age_ms);
        for heard in &probe.heard {
            let at_ms = said_ms.saturating_sub(heard.heard_ms);
            self.note(&heard.node, at_ms, heard.confirmed_ms);
        }
        let own = self.watcher.view.borrow().config.value.revision();
        if probe.revision > own {
            self.catch_up(&probe.node, own);
        }
    }

    fn note(&mut self, node: &str, at_ms: u64, confirmed_ms: Option<u64>) {
        let newer = Heard { at_ms, confirmed_ms };
        let known = self.heard.entry(node.to_owned()).or_insert(newer);
        if at_ms >= known.at_ms {
            *known = newer;
        }
    }

    /// Gets the newer configuration: from the platform, or from the peer.
    fn catch_up(&self, node: &str, have: u64) {
        self.watcher.nudge(have + 1);
        if self.watcher.confirmed.age_ms() < FRESH_MS / 2 {
            return;
        }
        let Some(peer) = self.roster.member(node).cloned() else { return };
        let (endpoint, watcher) =
            (self.endpoint.clone(), self.watcher.clone());
        let log = self.log.clone();
        tokio::spawn(async move {
            let question = Question::Snapshot { have };
            let limit = Duration::from_millis(FRESH_MS / 2);
            let asked = endpoint.ask(&peer, &question, limit).await;
            if let Ok(Answer::Snapshot { revision, resources }) = asked
                && let Some(snapshot) = read_snapshot(revision, &resources)
            {
                info!(log, "member: configuration taken from a peer";
                    "peer" => peer.name(), "revision" => revision);
                watcher.install(snapshot);
            }
        });
    }

    fn speak(&self) -> Probe {
        let now_ms = clock::now_ms();
        let age_ms = self.watcher.confirmed.age_ms();
        let confirmed = age_ms <= FRESH_MS;
        let heard = if age_ms <= FRESH_MS / 2 {
            Vec::new()
        } else {
            let told = |(node, heard): (&String, &Heard)| HeardNode {
                node: node.clone(),
                heard_ms: now_ms.saturating_sub(heard.at_ms),
                confirmed_ms: heard.confirmed_ms,
            };
            self.heard.iter().map(told).collect()
        };
        Probe {
            node: self.options.member.name().to_owned(),
            incarnation: self.options.member.incarnation(),
            revision: self.watcher.view.borrow().config.value.revision(),
            confirmed_age_ms: confirmed.then_some(age_ms),
            leaving: *self.stopping.borrow(),
            suspicions: self.roster.suspicions(now_ms),
            heard,
        }
    }

    /// Takes over the platform's list, with a grace for those that answer.
    fn list_members(&mut self, view: &ViewReader) {
        let now_ms = clock::now_ms();
        let mut members = view.borrow().members.clone();
        let known: Vec<Member> = self.roster.others().cloned().collect();
        for member in known {
            let name = member.name().to_owned();
            if members.contains_key(&name) {
                self.unlisted_since_ms.remove(&name);
                continue;
            }
            let since_ms =
                *self.unlisted_since_ms.entry(name.clone()).or_insert(now_ms);
            let heard = self.heard.get(&name);
            let answers = !self.roster.is_leaving(&name)
                && heard.is_some_and(|heard| {
                    heard.at_ms + self.grace_ms() > now_ms
                });
            if answers && now_ms < since_ms + self.options.lease_ttl_ms {
                members.insert(name, member);
            }
        }
        let own = &self.options.member;
        members.insert(own.name().to_owned(), own.clone());
        self.heard.retain(|node, _| members.contains_key(node));
        self.unlisted_since_ms.retain(|node, _| members.contains_key(node));
        self.roster.set_members(members.into_values(), now_ms);
    }

    /// Returns for how long a node that was heard counts as answering.
    fn grace_ms(&self) -> u64 {
        4 * self.options.timing.interval_ms()
    }

    fn publish(&self) {
        let now_ms = clock::now_ms();
        let live: Vec<String> =
            self.roster.live(now_ms).into_iter().map(str::to_owned).collect();
        let own = &self.options.member;
        let mut members: BTreeMap<String, Member> = self
            .roster
            .others()
            .map(|member| (member.name().to_owned(), member.clone()))
            .collect();
        members.insert(own.name().to_owned(), own.clone());
        let freshness = self.freshness(now_ms);
        self.publish.send_if_modified(|standing| {
            let same = standing.live == live
                && standing.members == members
                && standing.freshness == freshness;
            if same {
                return false;
            }
            if standing.live != live {
                counters::set(counters::LIVE_NODES, live.len() as f64);
                info!(self.log, "member: roster changed"; "live" => live.join(" "));
            }
            if standing.freshness != freshness {
                info!(self.log, "member: reach changed";
                    "freshness" => format!("{freshness:?}"));
            }
            let own = standing.own.clone();
            *standing = Arc::new(Standing { own, live, members, freshness });
            true
        });
    }

    fn freshness(&self, now_ms: u64) -> Freshness {
        let ages: Vec<PeerAge> = self
            .roster
            .others()
            .map(|peer| match self.heard.get(peer.name()) {
                None => PeerAge { heard_ms: u64::MAX, confirmed_ms: None },
                Some(heard) => PeerAge {
                    heard_ms: now_ms.saturating_sub(heard.at_ms),
                    confirmed_ms: heard.confirmed_ms,
                },
            })
            .collect();
        freshness(self.watcher.confirmed.age_ms(), &ages, FRESH_MS)
    }
}

fn read_snapshot(revision: u64, resources: &[String]) -> Option<Snapshot> {
    let resources: Result<Vec<Resource>, _> =
        resources.iter().map(|text| Resource::from_yaml(text)).collect();
    Some(Snapshot::from_parts(revision, resources.ok()?))
}
