/*!
The worker calls as a holder makes them: over its relays, or directly while it
has none.
*/

use {
    super::{
        hall_links::{HallLinks, Way},
        link::RelayLink,
        route_overrides::RouteOverrides,
        wire::{Answer, OrderKind, Start},
    },
    crate::clock,
    dewspar::{
        relay::relay_for,
        schedule::{
            HoldOrder, HoldReport, OrderError, PaceOrder, StartOrder,
            StopOrder, WorkerId, WorkerListing,
        },
    },
    dewspar_platform::JobWorkers,
    slog::Logger,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// How much longer an order may take over a relay than directly, in
/// milliseconds: the round trip to the relay and the time for which it batches
/// answers.
const RELAY_OVERHEAD_MS: u64 = 100;

/// Workers that are called over relays where there are any.
#[derive(Clone, Debug)]
pub(in super::super) struct RelayedWorkers<W> {
    /// Shared, because each order clones this struct.
    direct: Arc<W>,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    links: RwLock<Vec<Arc<RelayLink>>>,
    /// The links that were opened under this lease and may not be in use yet.
    pending: PendingLinks,
    /// Whether orders bypass the relays.
    paused: AtomicBool,
    overrides: RouteOverrides,
    /// The paths to each hall, if the loss of halls must be tolerated.
    halls: Option<HallLinks>,
    /// How many orders were sent, directly or over relays.
    orders_sent: AtomicU64,
}

/// Links that were opened and aren't in use yet; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingLinks(Arc<Mutex<Vec<Arc<RelayLink>>>>);

impl PendingLinks {
    pub(super) fn note(&self, link: &Arc<RelayLink>) {
        self.lock().push(link.clone());
    }

    /// Removes and returns all links.
    pub(super) fn take_all(&self) -> Vec<Arc<RelayLink>> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<RelayLink>>> {
        // OK after a panic: each change is one call that can't fail halfway.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<W> RelayedWorkers<W> {
    /// Creates workers that are called directly at first.
    pub(in super::super) fn new(direct: W) -> RelayedWorkers<W> {
        RelayedWorkers { direct: Arc::new(direct), shared: Arc::default() }
    }

    /// Creates workers that are called over a relay in another hall where this
    /// node, in `own_hall`, doesn't reach their hall.
    pub(in super::super) fn across_halls(
        direct: W,
        own_hall: String,
        log: Logger,
    ) -> RelayedWorkers<W> {
        let halls = Some(HallLinks::new(own_hall, log));
        let shared = Shared { halls, ..Shared::default() };
        RelayedWorkers { direct: Arc::new(direct), shared: Arc::new(shared) }
    }

    /// Takes the workers' halls from a read of the directory.
    pub(in super::super) fn set_listed(&self, listings: &[WorkerListing]) {
        if let Some(halls) = &self.shared.halls {
            halls.set_workers(listings);
        }
    }

    /// Takes a worker's hall from a lookup in the directory.
    pub(in super::super) fn add_listed(&self, listing: &WorkerListing) {
        if let Some(halls) = &self.shared.halls {
            halls.add_worker(listing);
        }
    }

    /// Returns the halls whose workers answer only over another hall.
    pub(in super::super) fn indirect_halls(&self) -> Vec<String> {
        let halls = self.shared.halls.as_ref();
        halls.map(HallLinks::indirect_halls).unwrap_or_default()
    }

    /// Returns the paths to each hall, if the loss of halls must be tolerated.
    pub(super) fn halls(&self) -> Option<&HallLinks> {
        self.shared.halls.as_ref()
    }

    /// Sets whether orders bypass the relays.
    ///
    /// A holder that can't renew its lease may have been superseded. It then
    /// stops using relays, which may already know of its successor.
    pub(in super::super) fn set_relaying_paused(&self, paused: bool) {
        self.shared.paused.store(paused, Ordering::Relaxed);
    }

    fn is_paused(&self) -> bool {
        self.shared.paused.load(Ordering::Relaxed)
    }

    /// Returns the number of relays in use.
    pub(in super::super) fn open_relays(&self) -> usize {
        if self.is_paused() {
            return 0;
        }
        self.links().iter().filter(|link| link.is_open()).count()
    }

    /// Returns how many orders were sent so far, directly or over relays.
    pub(super) fn orders_sent(&self) -> u64 {
        self.shared.orders_sent.load(Ordering::Relaxed)
    }

    /// Returns the links that were opened and aren't in use yet.
    pub(super) fn pending_links(&self) -> &PendingLinks {
        &self.shared.pending
    }

    /// Returns the links in use.
    pub(super) fn links(&self) -> Vec<Arc<RelayLink>> {
        // OK after a panic: the list is replaced as a whole.
        let links = self.shared.links.read();
        links.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the links in use.
    pub(super) fn set_links(&self, links: Vec<Arc<RelayLink>>) {
        // OK after a panic, as above.
        let current = self.shared.links.write();
        *current.unwrap_or_else(PoisonError::into_inner) = links;
    }

    /// Returns the way of an order to a worker.
    fn route(&self, worker: &WorkerId, is_hold: bool) -> Way {
        self.shared.orders_sent.fetch_add(1, Ordering::Relaxed);
        if self.is_paused() {
            return Way::Direct;
        }
        let preferred = Way::of(self.preferred_relay(worker));
        match &self.shared.halls {
            Some(halls) if !halls.is_quiet() => {
                halls.choose(worker, is_hold, preferred, &self.open_links())
            }
            _ => preferred,
        }
    }

    /// Returns the relay for a worker's orders as chosen for the rate of
    /// orders, if there is one.
    fn preferred_relay(&self, worker: &WorkerId) -> Option<Arc<RelayLink>> {
        if self.shared.overrides.is_direct(worker) {
            return None;
        }
        // OK after a panic: the list is replaced as a whole.
        let links = self.shared.links.read();
        let links = links.unwrap_or_else(PoisonError::into_inner);
        let open = || links.iter().filter(|link| link.is_open());
        let position =
            relay_for(worker.as_str(), open().map(|link| &link.node))?;
        open().nth(position).cloned()
    }

    fn open_links(&self) -> Vec<Arc<RelayLink>> {
        let links = self.links().into_iter();
        links.filter(|link| link.is_open()).collect()
    }

    /// Records the result of a `hold` order for the paths to its hall.
    fn note_hold(
        &self,
        worker: &WorkerId,
        way: &Way,
        sent_ms: u64,
        is_answered: bool,
    ) {
        if let Some(halls) = &self.shared.halls {
            halls.note_hold(worker, way, sent_ms, is_answered);
        }
    }
}

impl<W: JobWorkers> RelayedWorkers<W> {
    async fn forward(
        &self,
        link: &RelayLink,
        address: &str,
        worker: &WorkerId,
        kind: OrderKind,
        payload: Option<Arc<str>>,
        wait_ms: u64,
    ) -> Result<Answer, OrderError> {
        let limit_ms = self.direct.timeout_ms() + RELAY_OVERHEAD_MS + wait_ms;
        let limit = Duration::from_millis(limit_ms);
        let worker = worker.as_str();
        let carried =
            link.forward(worker, address, kind, payload, limit).await;
        carried.map_err(|_| OrderError::Unknown)
    }
}

fn worker_clock_ms(answer: Answer) -> Result<u64, OrderError> {
    match answer {
        Answer::Done(clock_ms) => Ok(clock_ms),
        Answer::Error(error) => Err(error),
        // A relay that answers with the wrong kind counts as without a result.
        Answer::Report(_) => Err(OrderError::Unknown),
    }
}

impl<W: JobWorkers> JobWorkers for RelayedWorkers<W> {
    fn timeout_ms(&self) -> u64 {
        self.direct.timeout_ms() + RELAY_OVERHEAD_MS
    }

    async fn start(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &StartOrder,
    ) -> Result<u64, OrderError> {
        // A relay's connections don't tell the processes of a worker apart.
        if order.required_process().is_some() {
            return self.direct.start(address, worker, order).await;
        }
        let Way::Relayed(link) = self.route(worker, false) else {
            return self.direct.start(address, worker, order).await;
        };
        let start = OrderKind::Start(Start {
            task: order.task,
            run: order.run,
            payload: 0,
            lease_until_ms: order.lease_until_ms,
            fence: order.fence,
            checkpoint: order.checkpoint.clone(),
            ticket: order.ticket.clone(),
        });
        let payload = Some(order.payload.clone());
        worker_clock_ms(
            self.forward(&link, address, worker, start, payload, 0).await?,
        )
    }

    async fn stop(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &StopOrder,
    ) -> Result<u64, OrderError> {
        let Way::Relayed(link) = self.route(worker, false) else {
            return self.direct.stop(address, worker, order).await;
        };
        let stop = OrderKind::Stop(*order);
        worker_clock_ms(
            self.forward(&link, address, worker, stop, None, 0).await?,
        )
    }

    async fn pace(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &PaceOrder,
    ) -> Result<u64, OrderError> {
        let Way::Relayed(link) = self.route(worker, false) else {
            return self.direct.pace(address, worker, order).await;
        };
        let pace = OrderKind::Pace(*order);
        worker_clock_ms(
            self.forward(&link, address, worker, pace, None, 0).await?,
        )
    }

    async fn hold(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &HoldOrder,
    ) -> Result<HoldReport, OrderError> {
        let overrides = &self.shared.overrides;
        let way = self.route(worker, true);
        let sent_ms = clock::now_ms();
        let Way::Relayed(link) = &way else {
            let report = self.direct.hold(address, worker, order).await;
            let is_reached = match report {
                Ok(_) | Err(OrderError::Refused(_)) => true,
                Err(OrderError::NotSent | OrderError::Unknown) => false,
            };
            // First, since it may take a relay's path to the hall out.
            self.note_hold(worker, &way, sent_ms, is_reached);
            overrides.note_direct_result(worker, is_reached, |relay| {
                let halls = self.shared.halls.as_ref();
                halls.is_some_and(|halls| halls.is_path_out(relay, worker))
            });
            return report;
        };
        let hold = OrderKind::Hold(*order);
        let wait_ms = order.wait_ms;
        // A relay that is silent itself says nothing about its path.
        match self.forward(link, address, worker, hold, None, wait_ms).await? {
            Answer::Report(report) => {
                link.note_reached();
                self.note_hold(worker, &way, sent_ms, true);
                Ok(report)
            }
            Answer::Error(
                error @ (OrderError::NotSent | OrderError::Unknown),
            ) => {
                if self.links().iter().any(|l| Arc::ptr_eq(l, link)) {
                    overrides.note_relay_failure(worker, link);
                }
                self.note_hold(worker, &way, sent_ms, false);
                Err(error)
            }
            Answer::Error(error) => {
                self.note_hold(worker, &way, sent_ms, true);
                Err(error)
            }
            // A relay that answers with the wrong kind counts as without a
            // result.
            Answer::Done(_) => Err(OrderError::Unknown),
        }
    }
}
