use {
    super::{
        Connection, Context, Refusal,
        core::{Core, Given, Grant, Replies, Taken},
        task::Task,
    },
    crate::{clock, counters, view::Target},
    dewspar::slot::{Pressure, Sync},
    slog::info,
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::Notify,
};

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

/// A runner that requests may go to.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) id: String,
    pub(super) target: Target,
}

/// One service's dispatch; clones share it.
#[derive(Clone, Debug)]
pub struct Service {
    pub(super) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) name: String,
    pub(super) context: Arc<Context>,
    core: Mutex<Core>,
    // Tells the task that there may be something to say.
    pub(super) wake: Notify,
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service {
    /// Starts a service's dispatch on the current runtime.
    pub(super) fn start(service: &str, context: Arc<Context>) -> Service {
        let core = Core::new(
            service,
            context.limits,
            context.incarnation,
            context.max_waiting,
        );
        let shared = Arc::new(Shared {
            name: service.to_owned(),
            context,
            core: Mutex::new(core),
            wake: Notify::new(),
        });
        let service = Service { shared };
        service.follow_view();
        tokio::spawn(Task::new(service.clone()).run());
        service
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] at once when it is certain.
    pub async fn take(&self, take: &Take) -> Result<Slot, Refusal> {
        let taken = self.shared.lock().take(take);
        let reply = match taken {
            Taken::Now(reply) => reply,
            Taken::Later(granted) => {
                self.shared.wake.notify_one();
                granted.await.unwrap_or(Err(Refusal::Stopping))
            }
        };
        reply.map(|grant| self.slot(grant))
    }

    /// Tells the service's dispatch what others wait for.
    pub(super) fn recall(&self, pressure: Pressure) {
        self.shared.lock().holder.recall(pressure, clock::now_ms());
        self.shared.wake.notify_one();
    }

    /// Returns what to tell a node that has become the granter.
    pub(super) fn state(&self) -> Sync {
        self.shared.lock().holder.sync_for_new_granter(clock::now_ms())
    }

    /// Returns how many requests are in flight on each VM, and the version
    /// of the view by which requests are routed from now on.
    pub(super) fn in_flight(&self, vms: &[String]) -> (u64, Vec<u32>) {
        let version = self.follow_view();
        (version, self.shared.lock().count(vms))
    }

    /// Routes by the newest view from now on; returns its version.
    pub(super) fn follow_view(&self) -> u64 {
        let view = self.shared.context.view.borrow().clone();
        let replies = self.shared.lock().update(&view);
        self.send(replies);
        view.version
    }

    /// Hands replies out; the lock must not be held.
    pub(super) fn send(&self, replies: Replies) {
        for (to, reply) in replies {
            // A grant that nobody waits for any longer goes back.
            if let Err(Ok(grant)) = to.send(reply) {
                drop(self.slot(grant));
            }
        }
    }

    fn slot(&self, grant: Grant) -> Slot {
        Slot {
            runner: grant.runner,
            connection: grant.connection,
            result: None,
            service: self.clone(),
        }
    }

    fn give(&self, given: Given) {
        let runner = Arc::clone(&given.runner);
        let mut core = self.shared.lock();
        let (replies, ejected) = core.give(given);
        let oldest_ms = core.queue.oldest_ms();
        let wake = core.holder.must_yield(oldest_ms);
        drop(core);
        self.send(replies);
        if wake {
            self.shared.wake.notify_one();
        }
        if ejected {
            counters::count(counters::EJECTIONS);
            info!(self.shared.context.log, "dispatch: runner ejected";
                "runner" => &runner.id);
        }
    }
}

/// A slot of a runner, for one request.
///
/// It is given back when it is dropped.
#[derive(Debug)]
pub struct Slot {
    runner: Arc<Runner>,
    connection: Option<Connection>,
    result: Option<bool>,
    service: Service,
}

impl Slot {
    /// Returns the address of the runner.
    pub fn address(&self) -> &str {
        &self.runner.target.address
    }

    /// Returns the runner's identifier.
    pub fn runner(&self) -> &str {
        &self.runner.id
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
        let given = Given {
            runner: Arc::clone(&self.runner),
            result: self.result,
            connection: self.connection.take(),
        };
        self.service.give(given);
    }
}
