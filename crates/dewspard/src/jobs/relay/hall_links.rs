/*!
Orders to data halls that the holder or its relays can't reach.

The holder knows the hall of each worker from the directory, and keeps a link to
a relay in each other hall. [`dewspar::hall_routes`] decides which orders take
these links; this module holds what it needs and reports its transitions.

Without this module's settings, no hall is known and every order takes its way
as if all halls reached each other.
*/

use {
    super::link::RelayLink,
    crate::{clock, counters},
    dewspar::{
        hall_routes::{Choice, HallRoutes, Transition},
        relay::relay_for,
        schedule::{WorkerId, WorkerListing},
    },
    slog::{Logger, info, warn},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// The way that an order takes.
#[derive(Clone, Debug)]
pub(super) enum Way {
    /// From this node.
    Direct,
    /// Over a relay.
    Relayed(Arc<RelayLink>),
}

impl Way {
    pub(super) fn of(link: Option<Arc<RelayLink>>) -> Way {
        link.map_or(Way::Direct, Way::Relayed)
    }
}

/// What is known of the halls and the paths to them.
#[derive(Debug)]
pub(super) struct HallLinks {
    own_hall: String,
    /// The hall of each worker, as listed in the directory.
    halls: RwLock<HashMap<WorkerId, Arc<str>>>,
    /// A link to a relay in each other hall, for orders to halls that can't be
    /// reached otherwise.
    standby: RwLock<Vec<Arc<RelayLink>>>,
    routes: Mutex<HallRoutes>,
    /// Whether some order may take another way than its preferred one. Nearly
    /// always none does, and this saves a lock for each order.
    is_active: AtomicBool,
    log: Logger,
}

impl HallLinks {
    pub(super) fn new(own_hall: String, log: Logger) -> HallLinks {
        HallLinks {
            own_hall,
            halls: RwLock::default(),
            standby: RwLock::default(),
            routes: Mutex::default(),
            is_active: AtomicBool::new(false),
            log,
        }
    }

    /// Replaces the halls of all workers.
    pub(super) fn set_workers(&self, listings: &[WorkerListing]) {
        // Workers of a hall share its name.
        let mut names: HashMap<&str, Arc<str>> = HashMap::new();
        let mut halls = HashMap::with_capacity(listings.len());
        let named = listings.iter().filter(|listing| !listing.hall.is_empty());
        for listing in named {
            let hall = listing.hall.as_str();
            let name = names.entry(hall).or_insert_with(|| Arc::from(hall));
            halls.insert(listing.id.clone(), Arc::clone(name));
        }
        self.routes().retain_workers(
            |worker| halls.contains_key(&WorkerId::new(worker)),
            |hall| names.contains_key(hall),
        );
        // OK after a panic: the map is replaced as a whole.
        let current = self.halls.write();
        *current.unwrap_or_else(PoisonError::into_inner) = halls;
    }

    /// Adds a worker that was looked up.
    pub(super) fn add_worker(&self, listing: &WorkerListing) {
        if listing.hall.is_empty() {
            return;
        }
        let (id, hall) = (listing.id.clone(), listing.hall.as_str().into());
        // OK after a panic: one insertion.
        let halls = self.halls.write();
        halls.unwrap_or_else(PoisonError::into_inner).insert(id, hall);
    }

    /// Returns the standby links.
    pub(super) fn standby(&self) -> Vec<Arc<RelayLink>> {
        // OK after a panic: the list is replaced as a whole.
        let standby = self.standby.read();
        standby.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the standby links.
    pub(super) fn set_standby(&self, links: Vec<Arc<RelayLink>>) {
        // OK after a panic, as above.
        let current = self.standby.write();
        *current.unwrap_or_else(PoisonError::into_inner) = links;
    }

    /// Returns whether every order takes its preferred way.
    pub(super) fn is_quiet(&self) -> bool {
        !self.is_active.load(Ordering::Relaxed)
    }

    /// Returns the halls that this node doesn't reach directly.
    pub(super) fn indirect_halls(&self) -> Vec<String> {
        let routes = self.routes();
        let halls = routes.out_from(&self.own_hall);
        halls.map(str::to_owned).collect()
    }

    /// Chooses the way of an order. `preferred` is the way it would take if
    /// all halls reached each other, and `relays` are the open links in use.
    pub(super) fn choose(
        &self,
        worker: &WorkerId,
        is_hold: bool,
        preferred: Way,
        relays: &[Arc<RelayLink>],
    ) -> Way {
        let Some(hall) = self.hall_of(worker) else { return preferred };
        let from = self.caller_hall(&preferred).to_owned();
        // It isn't known what a relay reaches that names no hall.
        if from.is_empty() {
            return preferred;
        }
        let standby = self.standby();
        let standby: Vec<&Arc<RelayLink>> =
            standby.iter().filter(|link| link.is_open()).collect();
        // The relays in use come first, since they were chosen for the rate of
        // orders, and a standby link last.
        let mut others: Vec<&str> = Vec::new();
        let in_use = relays.iter().map(|link| link.node.hall.as_str());
        let on_standby = standby.iter().map(|link| link.node.hall.as_str());
        for other in in_use.chain([self.own_hall.as_str()]).chain(on_standby) {
            let is_far = other == &*hall && other != self.own_hall;
            let is_usable = !other.is_empty() && !is_far && other != from;
            if is_usable && !others.contains(&other) {
                others.push(other);
            }
        }
        let now_ms = clock::now_ms();
        let (name, hall) = (worker.as_str(), &*hall);
        let chosen =
            self.routes().choose(hall, name, is_hold, &from, &others, now_ms);
        let Choice::Over(index) = chosen else { return preferred };
        let over = others[index];
        let of_hall = || relays.iter().filter(|l| l.node.hall == over);
        let position = relay_for(name, of_hall().map(|link| &link.node));
        let relay = position.and_then(|position| of_hall().nth(position));
        if let Some(relay) = relay {
            return Way::Relayed(Arc::clone(relay));
        }
        let standby = standby.into_iter().find(|l| l.node.hall == over);
        if over == self.own_hall {
            return Way::Direct;
        }
        Way::of(standby.cloned())
    }

    /// Returns whether a relay's hall doesn't reach a worker's hall.
    pub(super) fn is_path_out(
        &self,
        relay: &RelayLink,
        worker: &WorkerId,
    ) -> bool {
        let Some(hall) = self.hall_of(worker) else { return false };
        let routes = self.routes();
        let mut out = routes.out_from(&relay.node.hall);
        out.any(|name| name == &*hall)
    }

    /// Records the result of a `hold` order.
    pub(super) fn note_hold(
        &self,
        worker: &WorkerId,
        way: &Way,
        sent_ms: u64,
        is_answered: bool,
    ) {
        let Some(hall) = self.hall_of(worker) else { return };
        let (from, name) = (self.caller_hall(way), worker.as_str());
        if from.is_empty() {
            return;
        }
        let now_ms = clock::now_ms();
        let mut routes = self.routes();
        let changed = if is_answered {
            routes.answered(from, &hall, name, now_ms)
        } else {
            routes.unanswered(from, &hall, name, sent_ms, now_ms)
        };
        self.is_active.store(!routes.is_quiet(), Ordering::Relaxed);
        drop(routes);
        if let Some(changed) = changed {
            self.report(&changed);
        }
    }

    fn report(&self, changed: &Transition) {
        match changed {
            Transition::Out { from, hall, over } => {
                counters::count_by(counters::HALL_PATHS, "change", "out");
                warn!(self.log, "hall: reached over another one";
                    "hall" => hall, "from" => from, "over" => over);
            }
            Transition::Restored { from, hall, out_for_ms } => {
                counters::count_by(counters::HALL_PATHS, "change", "restored");
                info!(self.log, "hall: reached directly again";
                    "hall" => hall, "from" => from,
                    "out_for_ms" => out_for_ms);
            }
            Transition::CutOff { hall, out_for_ms } => {
                counters::count_by(counters::HALL_PATHS, "change", "cut_off");
                warn!(self.log, "hall: not reached over any other one";
                    "hall" => hall, "out_for_ms" => out_for_ms);
            }
        }
    }

    /// Returns the hall from which an order on this way is sent to a worker.
    fn caller_hall<'a>(&'a self, way: &'a Way) -> &'a str {
        match way {
            Way::Direct => &self.own_hall,
            Way::Relayed(link) => &link.node.hall,
        }
    }

    fn hall_of(&self, worker: &WorkerId) -> Option<Arc<str>> {
        // OK after a panic: each change is complete.
        let halls = self.halls.read();
        let halls = halls.unwrap_or_else(PoisonError::into_inner);
        halls.get(worker).cloned()
    }

    fn routes(&self) -> MutexGuard<'_, HallRoutes> {
        // OK after a panic: each change of it is one insertion or removal, and
        // it is only an estimate.
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
