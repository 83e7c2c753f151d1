/*!
Dispatch: a service's queue, slots and connections on this node.

Each service has one value with all of its state, behind a lock that is held for a few steps at a time and never across a wait. A request that
finds a free slot takes it in place; its end gives the slot to who waits. A
task beside it talks to the service's granter and looks after deadlines.

The house style would have the task own the state and take messages. Measured
with `dewspar experiment forward`, the two messages a request cost 23 us of
processor time on top of a bare forwarder's 26 us, so here the state is
shared; `docs/design/request-path.md` has the figures.
*/

pub use self::{
    refusal::Refusal,
    service::{Service, Slot, Take},
};

use {
    crate::{
        granter,
        membership::StandingReader,
        peer::Endpoint,
        view::{Target, View, ViewReader},
    },
    bytes::Bytes,
    dewspar::{
        config::ServiceSpec,
        slot::{Limits, Pressure, Sync},
    },
    http_body_util::Full,
    hyper::client::conn::http1::SendRequest,
    slog::Logger,
    std::{
        collections::{BTreeMap, HashMap},
        sync::{Arc, PoisonError, RwLock},
    },
};

mod core;
mod refusal;
mod service;
mod task;

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

/// What every service's dispatch needs.
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

/// The dispatch of all services; clones share it.
#[derive(Clone, Debug)]
pub struct Dispatchers {
    context: Arc<Context>,
    services: Arc<RwLock<HashMap<String, Service>>>,
}

impl Dispatchers {
    /// Makes dispatchers; a service's starts with its first request.
    pub fn new(context: Context) -> Dispatchers {
        let context = Arc::new(context);
        Dispatchers { context, services: Arc::default() }
    }

    /// Returns a service's dispatch, if the service exists.
    pub fn get(&self, service: &str) -> Option<Service> {
        if let Some(known) = self.known(service) {
            return Some(known);
        }
        let view = self.context.view.borrow().clone();
        view.config.value.service(service)?;
        let mut services =
            self.services.write().unwrap_or_else(PoisonError::into_inner);
        let start = || Service::start(service, Arc::clone(&self.context));
        let started = services.entry(service.to_owned()).or_insert_with(start);
        Some(started.clone())
    }

    /// Returns how many requests are in flight on each VM, over all
    /// services, and the oldest version of a view that one routes by.
    pub fn in_flight(&self, vms: &[String]) -> (u64, Vec<u32>) {
        let services =
            self.services.read().unwrap_or_else(PoisonError::into_inner);
        let mut version = self.context.view.borrow().version;
        let mut totals = vec![0; vms.len()];
        for service in services.values() {
            let (seen, counts) = service.in_flight(vms);
            version = version.min(seen);
            for (total, count) in totals.iter_mut().zip(counts) {
                *total += count;
            }
        }
        (version, totals)
    }

    /// Returns which slots of a service this node holds.
    pub fn holdings(&self, service: &str) -> Sync {
        match self.known(service) {
            Some(service) => service.state(),
            None => Sync::empty(self.context.incarnation),
        }
    }

    /// Tells a service's dispatch what others wait for.
    pub fn recall(&self, service: &str, pressure: Pressure) {
        if let Some(service) = self.known(service) {
            service.recall(pressure);
        }
    }

    fn known(&self, service: &str) -> Option<Service> {
        let services =
            self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(service).cloned()
    }
}
