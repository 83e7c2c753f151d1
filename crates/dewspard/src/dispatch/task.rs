use {
    super::service::Service,
    crate::{
        clock, counters, granter,
        peer::{Answer, Question},
    },
    dewspar::slot::Reply,
    std::time::Duration,
    tokio::{
        sync::mpsc,
        time::{Instant, interval, sleep_until},
    },
};

/// How long a task that holds nothing sleeps, in milliseconds.
const QUIET_MS: u64 = 1_000;

/// How long a sync may take.
const SYNC_LIMIT: Duration = Duration::from_millis(500);

/// How often the queue is looked through for passed deadlines.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// The end of a sync, with its number.
struct Synced {
    sequence: u64,
    reply: Option<Reply>,
}

/// The task that speaks for a service to its granter.
pub(super) struct Task {
    service: Service,
    syncing: bool,
    // The number of the last sync.
    last: u64,
    synced: mpsc::UnboundedSender<Synced>,
    results: mpsc::UnboundedReceiver<Synced>,
}

impl Task {
    pub(super) fn new(service: Service) -> Task {
        let (synced, results) = mpsc::unbounded_channel();
        Task { service, syncing: false, last: 0, synced, results }
    }

    pub(super) async fn run(mut self) {
        let mut expiry = interval(EXPIRY_INTERVAL);
        let mut view = self.service.shared.context.view.clone();
        loop {
            let next_sync = self.next_sync();
            tokio::select! {
                () = self.service.shared.wake.notified() => {}
                () = sleep_until(next_sync), if !self.syncing => {}
                Some(synced) = self.results.recv() => self.take_in(&synced),
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.service.follow_view();
                }
                _ = expiry.tick() => {
                    let replies = self.service.shared.lock().expire();
                    self.service.send(replies);
                }
            }
            let replies = self.service.shared.lock().serve_queue();
            self.service.send(replies);
            if self.service.shared.lock().has_to_say(self.syncing) {
                self.sync();
            }
        }
    }

    fn next_sync(&self) -> Instant {
        let core = self.service.shared.lock();
        let next_ms = core.holder.next_sync_ms(core.queue.oldest_ms());
        let now_ms = clock::now_ms();
        let wait_ms =
            next_ms.map_or(QUIET_MS, |next_ms| next_ms.saturating_sub(now_ms));
        Instant::now() + Duration::from_millis(wait_ms)
    }

    /// States what is held and wanted to the service's granter.
    fn sync(&mut self) {
        let shared = &self.service.shared;
        let sync = {
            let mut core = shared.lock();
            let waiting = u32::try_from(core.queue.len()).unwrap_or(u32::MAX);
            let oldest_ms = core.queue.oldest_ms();
            core.holder.set_wanted(waiting);
            core.holder.sync(oldest_ms, clock::now_ms())
        };
        self.syncing = true;
        counters::count(counters::SLOT_SYNCS);
        let sequence = sync.sequence();
        self.last = sequence;
        let service = shared.name.clone();
        let context = shared.context.clone();
        let synced = self.synced.clone();
        tokio::spawn(async move {
            let key = granter::rank_key(&service);
            let granter = context.standing.borrow().first(&key).cloned();
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
            let _ = synced.send(Synced { sequence, reply });
        });
    }

    fn take_in(&mut self, synced: &Synced) {
        if synced.sequence != self.last {
            // Another sync has taken its place.
            return;
        }
        self.syncing = false;
        let mut core = self.service.shared.lock();
        match &synced.reply {
            Some(reply) => core.holder.apply_reply(reply, clock::now_ms()),
            None => core.holder.sync_failed(),
        }
    }
}
