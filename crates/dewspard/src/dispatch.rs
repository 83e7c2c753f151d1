/*!
Dispatch: a service's queue, slots and connections on this node.

One task per service owns them all, so a request costs two messages here: one
to take a slot, one to give it back. While the node holds free slots no other
node hears of the request. The task states what it holds to the service's
granter every half second, and at once when requests wait or others want what
lies idle.
*/

use {
    crate::{
        clock, counters, granter,
        membership::StandingReader,
        peer::{Answer, Endpoint, Question},
        view::{Target, View, ViewReader},
    },
    bytes::Bytes,
    dewspar::{
        admit::{self, Queue},
        config::ServiceSpec,
        route::{Health, RetryBudget},
        slot::{Acquired, Holder, Limits, Reply, Sync},
    },
    http_body_util::Full,
    hyper::client::conn::http1::SendRequest,
    slog::{Logger, info},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, interval, sleep_until},
    },
};

/// How long a task that holds nothing sleeps, in milliseconds.
const QUIET_MS: u64 = 1_000;

/// How long a sync may take.
const SYNC_LIMIT: Duration = Duration::from_millis(500);

/// How often the queue is looked through for passed deadlines.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// When to come back to a service without a runner, in milliseconds.
const NO_RUNNER_RETRY_MS: u64 = 1_000;

/// How many messages are handled before the queue is served again.
const BATCH: usize = 256;

/// A connection to a runner.
pub type Connection = SendRequest<Full<Bytes>>;

/// Returns a service's runners by an identifier that names the epoch too.
///
/// A task that moved is another runner, whose slots are others.
pub fn runners(
    view: &View,
    service: &str,
    spec: &ServiceSpec,
) -> BTreeMap<String, Target> {
    view.targets(service, spec)
        .into_iter()
        .map(|(task, target)| (format!("{task}@{}", target.epoch), target))
        .collect()
}

/// Why a request got no slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Admission refused it.
    Admission(admit::Refusal),
    /// Its deadline passed while it waited.
    Expired,
    /// No runner of the service is up.
    NoRunner,
    /// The retry budget is spent.
    RetryBudget,
    /// The node stops.
    Stopping,
}

impl Refusal {
    /// Returns a short name of the reason, for counters and problems.
    pub fn reason_name(&self) -> &'static str {
        match self {
            Refusal::Admission(admit::Refusal::QueueFull { .. }) => {
                "queue-full"
            }
            Refusal::Admission(_) => "too-late",
            Refusal::Expired => "deadline-passed",
            Refusal::NoRunner => "no-runner",
            Refusal::RetryBudget => "retry-budget",
            Refusal::Stopping => "stopping",
        }
    }

    /// Returns when to come back, in milliseconds.
    pub fn retry_after_ms(&self) -> u64 {
        match self {
            Refusal::Admission(refusal) => refusal.retry_after_ms(),
            Refusal::Expired | Refusal::RetryBudget => 100,
            Refusal::NoRunner | Refusal::Stopping => NO_RUNNER_RETRY_MS,
        }
    }
}

/// A slot of a runner, for one request.
///
/// It is given back when it is dropped.
#[derive(Debug)]
pub struct Slot {
    runner: String,
    target: Target,
    connection: Option<Connection>,
    result: Option<bool>,
    release: mpsc::UnboundedSender<Message>,
}

impl Slot {
    /// Returns the address of the runner.
    pub fn address(&self) -> &str {
        &self.target.address
    }

    /// Returns the runner's identifier.
    pub fn runner(&self) -> &str {
        &self.runner
    }

    /// Takes the idle connection that came with the slot, if there is one.
    pub fn take_connection(&mut self) -> Option<Connection> {
        self.connection.take()
    }

    /// Gives the slot back with its result.
    ///
    /// A connection may only come along when an answer was read from it
    /// whole; any other must be closed.
    pub fn finish(mut self, ok: bool, connection: Option<Connection>) {
        self.result = Some(ok);
        self.connection = connection;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let message = Message::Release {
            runner: std::mem::take(&mut self.runner),
            vm: std::mem::take(&mut self.target.vm),
            result: self.result,
            connection: self.connection.take(),
        };
        // After the task's end there is nobody to tell.
        let _ = self.release.send(message);
    }
}

/// What a request asks for.
#[derive(Debug)]
pub struct Take {
    /// The partner on whose behalf it runs.
    pub partner: String,
    /// The partner's weight.
    pub weight: u32,
    /// When its answer must be back, on the monotonic clock.
    pub deadline_ms: u64,
    /// Whether it has been sent to a runner before.
    pub retry: bool,
}

enum Message {
    Take(Take, oneshot::Sender<Result<Slot, Refusal>>),
    Release {
        runner: String,
        vm: String,
        result: Option<bool>,
        connection: Option<Connection>,
    },
    Synced(Option<Reply>),
    State(oneshot::Sender<Sync>),
    Recall,
    CountInFlight(Vec<String>, oneshot::Sender<(u64, Vec<u32>)>),
}

/// The way to a service's dispatch task.
#[derive(Clone, Debug)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] at once when it is certain.
    pub async fn take(&self, take: Take) -> Result<Slot, Refusal> {
        let (reply, slot) = oneshot::channel();
        let sent = self.messages.send(Message::Take(take, reply));
        sent.map_err(|_| Refusal::Stopping)?;
        slot.await.map_err(|_| Refusal::Stopping)?
    }

    /// Tells the task that others wait for its idle slots.
    pub fn recall(&self) {
        let _ = self.messages.send(Message::Recall);
    }

    /// Returns how many requests are in flight on each VM, and the version
    /// of the view by which requests are routed from now on.
    pub async fn in_flight(&self, vms: &[String]) -> Option<(u64, Vec<u32>)> {
        let (reply, counts) = oneshot::channel();
        let message = Message::CountInFlight(vms.to_vec(), reply);
        self.messages.send(message).ok()?;
        counts.await.ok()
    }
}

/// What every dispatch task needs.
#[derive(Clone, Debug)]
pub struct Context {
    /// The node's name.
    pub node: String,
    /// The number of this start of the process.
    pub incarnation: u64,
    /// The limits of grants.
    pub limits: Limits,
    /// How many requests of one partner may wait.
    pub max_waiting: usize,
    /// The newest view.
    pub view: ViewReader,
    /// The newest standing of the roster.
    pub standing: StandingReader,
    /// The way to peers.
    pub endpoint: Endpoint,
    /// The way to this node's own granter.
    pub granter: granter::Handle,
    /// The logger.
    pub log: Logger,
}

/// The dispatch tasks of all services; clones share them.
#[derive(Clone, Debug)]
pub struct Dispatchers {
    context: Arc<Context>,
    services: Arc<std::sync::Mutex<HashMap<String, Handle>>>,
}

impl Dispatchers {
    /// Makes dispatchers; a service's task starts with its first request.
    pub fn new(context: Context) -> Dispatchers {
        let context = Arc::new(context);
        Dispatchers { context, services: Arc::default() }
    }

    /// Returns the way to a service's task, if the service exists.
    pub fn get(&self, service: &str) -> Option<Handle> {
        let known = self.lock().get(service).cloned();
        if known.is_some() {
            return known;
        }
        let view = self.context.view.borrow().clone();
        view.config.value.service(service)?;
        let mut services = self.lock();
        let start = || start(service, Context::clone(&self.context));
        let handle = services.entry(service.to_owned()).or_insert_with(start);
        Some(handle.clone())
    }

    /// Returns how many requests are in flight on each VM, over all
    /// services, and the oldest version of a view that one routes by.
    pub async fn in_flight(&self, vms: &[String]) -> (u64, Vec<u32>) {
        let handles: Vec<Handle> = self.lock().values().cloned().collect();
        let mut version = self.context.view.borrow().version;
        let mut totals = vec![0; vms.len()];
        for handle in handles {
            let Some((seen, counts)) = handle.in_flight(vms).await else {
                continue;
            };
            version = version.min(seen);
            for (total, count) in totals.iter_mut().zip(counts) {
                *total += count;
            }
        }
        (version, totals)
    }

    /// Returns which slots of a service this node holds.
    pub async fn holdings(&self, service: &str) -> Sync {
        let nothing = Sync::nothing(self.context.incarnation);
        let handle = self.lock().get(service).cloned();
        let Some(handle) = handle else { return nothing };
        let (reply, held) = oneshot::channel();
        let _ = handle.messages.send(Message::State(reply));
        held.await.unwrap_or(nothing)
    }

    /// Tells a service's task that others wait for its idle slots.
    pub fn recall(&self, service: &str) {
        if let Some(handle) = self.lock().get(service) {
            handle.recall();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Handle>> {
        let poisoned = std::sync::PoisonError::into_inner;
        self.services.lock().unwrap_or_else(poisoned)
    }
}

fn start(service: &str, context: Context) -> Handle {
    let (messages, inbox) = mpsc::unbounded_channel();
    let limits = context.limits;
    let holder = Holder::with_incarnation(limits, context.incarnation);
    let task = Task {
        service: service.to_owned(),
        queue: Queue::new(context.max_waiting),
        context,
        own: messages.clone(),
        holder,
        health: Health::default(),
        retries: RetryBudget::default(),
        targets: BTreeMap::new(),
        connections: HashMap::new(),
        busy: HashMap::new(),
        syncing: false,
    };
    tokio::spawn(task.run(inbox));
    Handle { messages }
}

struct Waiting {
    since: Instant,
    reply: oneshot::Sender<Result<Slot, Refusal>>,
}

struct Task {
    service: String,
    context: Context,
    own: mpsc::UnboundedSender<Message>,
    queue: Queue<Waiting>,
    holder: Holder,
    health: Health,
    retries: RetryBudget,
    targets: BTreeMap<String, Target>,
    connections: HashMap<String, Vec<Connection>>,
    busy: HashMap<String, u32>,
    syncing: bool,
}

impl Task {
    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut batch = Vec::with_capacity(BATCH);
        let mut expiry = interval(EXPIRY_INTERVAL);
        let mut view = self.context.view.clone();
        self.update_targets();
        loop {
            let next_sync = self.next_sync();
            tokio::select! {
                count = inbox.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.update_targets();
                }
                _ = expiry.tick(), if !self.queue.is_empty() => {
                    self.expire();
                }
                () = sleep_until(next_sync), if !self.syncing => {
                    if self.has_to_say() {
                        self.sync();
                    }
                }
            }
            for message in batch.drain(..) {
                self.handle(message);
            }
            self.serve_queue();
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Take(take, reply) => self.take(take, reply),
            Message::Release { runner, vm, result, connection } => {
                self.release(&runner, &vm, result, connection);
            }
            Message::Synced(reply) => self.synced(reply),
            Message::State(reply) => {
                let _ = reply.send(self.holder.state(clock::now_ms()));
            }
            Message::Recall => self.holder.recall(),
            Message::CountInFlight(vms, reply) => {
                // What is routed from here on follows the newest view.
                self.update_targets();
                let version = self.context.view.borrow().version;
                let counts = vms
                    .iter()
                    .map(|vm| self.busy.get(vm).copied().unwrap_or(0))
                    .collect();
                let _ = reply.send((version, counts));
            }
        }
    }

    fn take(
        &mut self,
        take: Take,
        reply: oneshot::Sender<Result<Slot, Refusal>>,
    ) {
        if !take.retry {
            self.retries.request();
        } else if !self.retries.try_retry() {
            let _ = reply.send(Err(Refusal::RetryBudget));
            return;
        }
        if self.targets.is_empty() {
            let _ = reply.send(Err(Refusal::NoRunner));
            return;
        }
        if self.queue.is_empty()
            && let Some(slot) = self.acquire()
        {
            let now_ms = clock::now_ms();
            self.queue.passed(&take.partner, take.weight, now_ms);
            send_slot(reply, slot);
            return;
        }
        let waiting = Waiting { since: Instant::now(), reply };
        let now_ms = clock::now_ms();
        let Take { partner, weight, deadline_ms, .. } = take;
        let pushed =
            self.queue.push(&partner, weight, deadline_ms, now_ms, waiting);
        if let Err((refusal, waiting)) = pushed {
            let refusal = Refusal::Admission(refusal);
            let _ = waiting.reply.send(Err(refusal));
        }
    }

    fn acquire(&mut self) -> Option<Slot> {
        let now_ms = clock::now_ms();
        let (targets, health) = (&self.targets, &self.health);
        let usable = |runner: &str| {
            targets.contains_key(runner) && health.is_usable(runner, now_ms)
        };
        let Acquired::Slot(runner) = self.holder.acquire(now_ms, usable)
        else {
            return None;
        };
        self.health.dispatched(&runner);
        let target = self.targets.get(&runner)?.clone();
        *self.busy.entry(target.vm.clone()).or_default() += 1;
        let connection = self.idle_connection(&runner);
        let release = self.own.clone();
        Some(Slot { runner, target, connection, result: None, release })
    }

    fn idle_connection(&mut self, runner: &str) -> Option<Connection> {
        let idle = self.connections.get_mut(runner)?;
        std::iter::from_fn(|| idle.pop()).find(Connection::is_ready)
    }

    fn release(
        &mut self,
        runner: &str,
        vm: &str,
        result: Option<bool>,
        connection: Option<Connection>,
    ) {
        self.holder.release(runner);
        if let Some(busy) = self.busy.get_mut(vm) {
            *busy = busy.saturating_sub(1);
        }
        if let Some(ok) = result
            && self.health.record(runner, ok, clock::now_ms())
        {
            counters::count(counters::EJECTIONS);
            info!(self.context.log, "dispatch: runner ejected"; "runner" => runner);
        }
        if let Some(connection) = connection
            && self.targets.contains_key(runner)
        {
            let idle = self.connections.entry(runner.to_owned()).or_default();
            // One for each slot held is as many as can be used at a time.
            if idle.len() < self.holder.granted(runner) as usize {
                idle.push(connection);
            }
        }
    }

    fn serve_queue(&mut self) {
        while !self.queue.is_empty() {
            let Some(slot) = self.acquire() else { break };
            let now_ms = clock::now_ms();
            let Some(waiting) = self.queue.pop(now_ms) else { break };
            self.queue.departed(now_ms);
            counters::record_since(counters::SLOT_WAIT, waiting.since);
            send_slot(waiting.reply, slot);
        }
    }

    fn expire(&mut self) {
        let now_ms = clock::now_ms();
        let gone = |waiting: &Waiting| waiting.reply.is_closed();
        for waiting in self.queue.expire(now_ms, gone) {
            let _ = waiting.reply.send(Err(Refusal::Expired));
        }
    }

    fn update_targets(&mut self) {
        let view = self.context.view.borrow().clone();
        let spec = view.config.value.service(&self.service);
        self.targets = match spec {
            Some(spec) => runners(&view, &self.service, spec),
            None => BTreeMap::new(),
        };
        let targets = &self.targets;
        let keep = |runner: &str| targets.contains_key(runner);
        self.health.retain(keep);
        for runner in targets.keys() {
            self.health.add(runner);
        }
        self.connections.retain(|runner, _| keep(runner));
        if targets.is_empty() {
            for waiting in self.queue.expire(u64::MAX, |_| true) {
                let _ = waiting.reply.send(Err(Refusal::NoRunner));
            }
        }
    }

    /// Returns when the granter should hear from this node again.
    fn next_sync(&self) -> Instant {
        let now_ms = clock::now_ms();
        let next_ms = self.holder.next_sync_ms(!self.queue.is_empty());
        let wait_ms =
            next_ms.map_or(QUIET_MS, |next_ms| next_ms.saturating_sub(now_ms));
        Instant::now() + Duration::from_millis(wait_ms)
    }

    fn has_to_say(&self) -> bool {
        let next_ms = self.holder.next_sync_ms(!self.queue.is_empty());
        next_ms.is_some_and(|next_ms| next_ms <= clock::now_ms())
    }

    fn sync(&mut self) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        // A little more than what waits, so that rising load asks less often.
        self.holder.want(waiting.saturating_add(waiting / 4));
        let sync = self.holder.sync(clock::now_ms());
        self.syncing = true;
        counters::count(counters::SLOT_SYNCS);
        let key = granter::rank_key(&self.service);
        let granter = self.context.standing.borrow().first(&key).cloned();
        let context = self.context.clone();
        let (own, service) = (self.own.clone(), self.service.clone());
        tokio::spawn(async move {
            let node = context.node.clone();
            let reply = match granter {
                Some(peer) if peer.name() != node => {
                    let question = Question::SlotSync { node, service, sync };
                    let asked =
                        context.endpoint.ask(&peer, &question, SYNC_LIMIT);
                    match asked.await {
                        Ok(Answer::SlotSync(reply)) => Some(reply),
                        _ => None,
                    }
                }
                _ => context.granter.sync(&node, &service, sync).await,
            };
            let _ = own.send(Message::Synced(reply));
        });
    }

    fn synced(&mut self, reply: Option<Reply>) {
        self.syncing = false;
        match &reply {
            Some(reply) => self.holder.answered(reply, clock::now_ms()),
            None => self.holder.unanswered(),
        }
    }
}

/// Hands a slot over; one that nobody waits for any longer comes back.
fn send_slot(reply: oneshot::Sender<Result<Slot, Refusal>>, slot: Slot) {
    // The returned slot is dropped here, which releases it.
    let _ = reply.send(Ok(slot));
}
