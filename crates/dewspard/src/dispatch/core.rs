/*!
The state of one service's dispatch, and its small steps.

Nothing here waits, and nothing here drops a slot: a slot that is dropped
locks this state again, so slots are handed out by the caller after the lock.
*/

use {
    super::{
        Connection, Refusal, runners,
        service::{Runner, Take},
    },
    crate::{
        clock, counters,
        view::{Target, View},
    },
    dewspar::{
        admit::Queue,
        route::{Health, RetryBudget},
        slot::{Acquired, Holder, Limits},
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
    tokio::{sync::oneshot, time::Instant},
};

/// What a waiting request is told.
pub(super) type Reply = Result<Grant, Refusal>;

/// A slot as the core hands it out.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) runner: Arc<Runner>,
    pub(super) connection: Option<Connection>,
}

/// A request that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    since: Instant,
    reply: oneshot::Sender<Reply>,
}

/// Replies to send once the lock is released.
pub(super) type Replies = Vec<(oneshot::Sender<Reply>, Reply)>;

/// What became of a request for a slot.
pub(super) enum Taken {
    Now(Reply),
    Later(oneshot::Receiver<Reply>),
}

/// A given-back slot.
#[derive(Debug)]
pub(super) struct Given {
    pub(super) runner: Arc<Runner>,
    pub(super) result: Option<bool>,
    pub(super) connection: Option<Connection>,
}

#[derive(Debug)]
pub(super) struct Core {
    service: String,
    pub(super) queue: Queue<Waiting>,
    pub(super) holder: Holder,
    health: Health,
    retries: RetryBudget,
    runners: BTreeMap<String, Arc<Runner>>,
    connections: HashMap<String, Vec<Connection>>,
    busy: HashMap<String, u32>,
}

impl Core {
    pub(super) fn new(
        service: &str,
        limits: Limits,
        incarnation: u64,
        max_waiting: usize,
    ) -> Core {
        Core {
            service: service.to_owned(),
            queue: Queue::new(max_waiting),
            holder: Holder::with_incarnation(limits, incarnation),
            health: Health::default(),
            retries: RetryBudget::default(),
            runners: BTreeMap::new(),
            connections: HashMap::new(),
            busy: HashMap::new(),
        }
    }

    /// Takes a slot for a request, or lets the request wait.
    pub(super) fn take(&mut self, take: &Take) -> Taken {
        if !take.retry {
            self.retries.record_request();
        } else if !self.retries.try_retry() {
            return Taken::Now(Err(Refusal::RetryBudget));
        }
        if self.runners.is_empty() {
            return Taken::Now(Err(Refusal::NoRunner));
        }
        let now_ms = clock::now_ms();
        let Take { partner, weight, deadline_ms, .. } = take;
        if self.queue.is_empty()
            && let Some(grant) = self.acquire(now_ms)
        {
            self.queue.record_immediate(partner, *weight, now_ms);
            return Taken::Now(Ok(grant));
        }
        let (reply, granted) = oneshot::channel();
        let waiting = Waiting { since: Instant::now(), reply };
        let pushed =
            self.queue.push(partner, *weight, *deadline_ms, now_ms, waiting);
        match pushed {
            Ok(()) => Taken::Later(granted),
            Err((refusal, _)) => Taken::Now(Err(Refusal::Admission(refusal))),
        }
    }

    /// Takes a slot back, and gives what is free to who waits.
    ///
    /// Returns whether the result ejected the runner, too.
    pub(super) fn give(&mut self, given: Given) -> (Replies, bool) {
        let Given { runner, result, connection } = given;
        self.holder.release(&runner.id);
        if let Some(busy) = self.busy.get_mut(&runner.target.vm) {
            *busy = busy.saturating_sub(1);
        }
        let now_ms = clock::now_ms();
        let ejected = result
            .is_some_and(|ok| self.health.record(&runner.id, ok, now_ms));
        if let Some(connection) = connection {
            self.keep_connection(&runner.id, connection);
        }
        (self.serve_queue(), ejected)
    }

    fn keep_connection(&mut self, runner: &str, connection: Connection) {
        // One for each slot held is as many as can be used at a time.
        let most = self.holder.granted(runner) as usize;
        if let Some(idle) = self.connections.get_mut(runner)
            && idle.len() < most
        {
            idle.push(connection);
        }
    }

    fn acquire(&mut self, now_ms: u64) -> Option<Grant> {
        let (runners, health) = (&self.runners, &self.health);
        let usable = |runner: &str| {
            runners.contains_key(runner) && health.is_usable(runner, now_ms)
        };
        let Acquired::Slot(id) = self.holder.acquire(now_ms, usable) else {
            return None;
        };
        self.health.dispatched(&id);
        let runner = Arc::clone(self.runners.get(&id)?);
        match self.busy.get_mut(&runner.target.vm) {
            Some(busy) => *busy += 1,
            None => {
                self.busy.insert(runner.target.vm.clone(), 1);
            }
        }
        let idle = self.connections.get_mut(&id);
        let connection = idle.and_then(|idle| {
            std::iter::from_fn(|| idle.pop()).find(Connection::is_ready)
        });
        Some(Grant { runner, connection })
    }

    /// Gives free slots to who waits, unless others have waited longer.
    pub(super) fn serve_queue(&mut self) -> Replies {
        let mut replies = Vec::new();
        let now_ms = clock::now_ms();
        while !self.queue.is_empty()
            && !self.holder.should_yield(self.queue.oldest_ms())
        {
            let Some(grant) = self.acquire(now_ms) else { break };
            let Some(waiting) = self.queue.pop(now_ms) else { break };
            self.queue.record_departure(now_ms);
            counters::record_since(counters::SLOT_WAIT, waiting.since);
            replies.push((waiting.reply, Ok(grant)));
        }
        replies
    }

    /// Refuses requests whose deadline has passed, and forgets those that
    /// nobody waits for.
    pub(super) fn expire(&mut self) -> Replies {
        let gone = |waiting: &Waiting| waiting.reply.is_closed();
        let expired = self.queue.expire(clock::now_ms(), gone);
        let refuse = |waiting: Waiting| (waiting.reply, Err(Refusal::Expired));
        expired.into_iter().map(refuse).collect()
    }

    /// Follows the newest view.
    pub(super) fn update(&mut self, view: &View) -> Replies {
        let spec = view.config.value.service(&self.service);
        let targets: BTreeMap<String, Target> = match spec {
            Some(spec) => runners(view, &self.service, spec),
            None => BTreeMap::new(),
        };
        self.runners.retain(|id, runner| {
            targets.get(id).is_some_and(|target| *target == runner.target)
        });
        for (id, target) in targets {
            self.health.add(&id);
            self.connections.entry(id.clone()).or_default();
            let runner = Runner { id: id.clone(), target };
            self.runners.entry(id).or_insert_with(|| Arc::new(runner));
        }
        let runners = &self.runners;
        self.health.retain(|id| runners.contains_key(id));
        self.connections.retain(|id, _| runners.contains_key(id));
        if !self.runners.is_empty() {
            return Vec::new();
        }
        let all = self.queue.expire(u64::MAX, |_| true);
        let refuse =
            |waiting: Waiting| (waiting.reply, Err(Refusal::NoRunner));
        all.into_iter().map(refuse).collect()
    }

    /// Returns how many requests are in flight on each VM.
    pub(super) fn count(&self, vms: &[String]) -> Vec<u32> {
        let busy = |vm: &String| self.busy.get(vm).copied().unwrap_or(0);
        vms.iter().map(busy).collect()
    }

    /// Returns whether the granter should hear from this node now.
    pub(super) fn has_to_say(&self, syncing: bool) -> bool {
        let oldest_ms = self.queue.oldest_ms();
        if syncing {
            return self.holder.must_yield(oldest_ms);
        }
        let next_ms = self.holder.next_sync_ms(oldest_ms);
        next_ms.is_some_and(|next_ms| next_ms <= clock::now_ms())
    }
}
