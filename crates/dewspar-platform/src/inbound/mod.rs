/*!
Bounds on what the clients of a listener can make a process hold.

[`Inbound`] accepts the connections of a listener and knows what each of them
holds: a fixed amount for its buffers, the part of a head that has arrived, and the
bytes of bodies. Memory counts what has arrived, not what a client announces. At a
bound, the connections that have cost the most give way, as
[`dewspar::inbound`] decides.

1. [`Inbound::accept`] returns the next connection: its stream, which notes each
   byte, and a [`Connection`] that closes it when it must give way.
2. [`Calls::begin`] is called for each request, as soon as its head has been read.
3. [`Call::read_body`] reads the body into one buffer, up to a size and a time, and
   counts it until the last reference to it is dropped; [`Call::hold_answer`] counts
   an answer until it has been sent.
4. [`Inbound::supervise`] runs beside it: it adapts the bound to the memory that the
   process takes and closes connections that make no progress.

The kernel holds what has arrived and isn't read. So listeners come from [`bind`],
which bounds the receive buffer of each connection, and a connection whose bytes
can't be taken is closed instead of left unread.
*/

mod account;
mod body;
mod call;
mod counted;
mod listener;
mod memory;
mod report;
mod stream;

pub use self::{
    body::{BodyLimits, BodyRefusal},
    call::{Call, Calls, Connection},
    listener::{ACCEPT_RETRY_DELAY, bind},
    report::{InboundReport, LimitReason},
    stream::InboundStream,
};
pub(crate) use counted::Counted;

use {
    account::Account,
    dewspar::inbound::{
        Activity, ConnectionUse, InboundLimits, capacity_bytes,
        closed_for_connection, closed_for_memory,
    },
    std::{
        collections::HashMap,
        fmt,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        time::{Instant, sleep},
    },
};

/// The memory of a connection beside what has arrived on it, in bytes: its read
/// buffer and its task.
const CONNECTION_BYTES: usize = 8 * 1024;

/// The part of the bound up to which connections that gave way may hold memory
/// until their clients have the answer.
const LINGERING_DIVISOR: usize = 8;

/// How often the bound is adapted and connections are checked for progress.
const SUPERVISION_INTERVAL: Duration = Duration::from_secs(1);

/// The connections of a listener and what they hold; clones share them.
#[derive(Clone)]
pub struct Inbound(Arc<Shared>);

struct Shared {
    limits: InboundLimits,
    /// The memory of the machine, in bytes, if the bound depends on it.
    memory_bytes: Option<usize>,
    /// How long a connection may make no progress.
    stall_timeout: Duration,
    began: Instant,
    next_id: AtomicU64,
    connections: Mutex<HashMap<u64, Arc<Account>>>,
    held_bytes: AtomicUsize,
    capacity_bytes: AtomicUsize,
    most_connections: AtomicUsize,
    most_held_bytes: AtomicUsize,
    largest_head_bytes: AtomicUsize,
    largest_body_bytes: AtomicUsize,
    limited: [AtomicU64; LimitReason::ALL.len()],
}

impl fmt::Debug for Inbound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inbound")
            .field("limits", &self.0.limits)
            .finish_non_exhaustive()
    }
}

impl Inbound {
    /// Creates a listener's bounds on a machine with this much memory, in bytes.
    /// A connection that makes no progress for `stall_timeout` is closed.
    pub fn new(
        limits: InboundLimits,
        memory_bytes: usize,
        stall_timeout: Duration,
    ) -> Inbound {
        Inbound::create(limits, Some(memory_bytes), stall_timeout)
    }

    /// Creates a listener's bounds that are too small to depend on the memory
    /// of the machine.
    pub fn with_fixed_memory(
        limits: InboundLimits,
        stall_timeout: Duration,
    ) -> Inbound {
        Inbound::create(limits, None, stall_timeout)
    }

    fn create(
        limits: InboundLimits,
        memory_bytes: Option<usize>,
        stall_timeout: Duration,
    ) -> Inbound {
        Inbound(Arc::new(Shared {
            limits,
            memory_bytes,
            stall_timeout,
            began: Instant::now(),
            next_id: AtomicU64::new(0),
            connections: Mutex::default(),
            held_bytes: AtomicUsize::new(0),
            capacity_bytes: AtomicUsize::new(limits.max_bytes),
            most_connections: AtomicUsize::new(0),
            most_held_bytes: AtomicUsize::new(0),
            largest_head_bytes: AtomicUsize::new(0),
            largest_body_bytes: AtomicUsize::new(0),
            limited: Default::default(),
        }))
    }

    /// Waits for the next connection for which there is room. At the bound,
    /// another one is closed for it, or it is refused while all others are being
    /// served.
    pub async fn accept(
        &self,
        listener: &TcpListener,
    ) -> (InboundStream, Connection, SocketAddr) {
        loop {
            let Ok((stream, address)) = listener.accept().await else {
                // Out of descriptors: some will be closed soon.
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Some(account) = self.0.open() else {
                listener::refuse(&stream);
                continue;
            };
            // OK to ignore: it only affects latency.
            let _ = stream.set_nodelay(true);
            let stream = InboundStream::new(stream, Arc::clone(&account));
            return (stream, Connection::new(account), address);
        }
    }

    /// Counts a connection that was accepted elsewhere. At the bound, another one
    /// is closed for it; returns `None` while all others are being served.
    pub fn admit(&self) -> Option<Connection> {
        self.0.open().map(Connection::new)
    }

    /// Adapts the bound to the memory that the process takes, and closes
    /// connections that make no progress, until the runtime ends.
    pub async fn supervise(self) {
        loop {
            sleep(SUPERVISION_INTERVAL).await;
            self.adapt();
            self.0.close_stalled();
        }
    }

    /// Adapts the bound to the memory that the process takes; it stays as it is
    /// where the system doesn't tell.
    fn adapt(&self) {
        let shared = &self.0;
        let Some(memory_bytes) = shared.memory_bytes else { return };
        let Some(resident_bytes) = memory::resident_bytes() else { return };
        let held_bytes = shared.held_bytes.load(Ordering::Relaxed);
        let capacity = capacity_bytes(
            memory_bytes,
            shared.limits.max_bytes,
            resident_bytes,
            held_bytes,
        );
        shared.capacity_bytes.store(capacity, Ordering::Relaxed);
        shared.make_room();
    }

    /// Returns whether a limit was reached since the last report.
    pub fn was_limited(&self) -> bool {
        self.0.limited.iter().any(|count| count.load(Ordering::Relaxed) > 0)
    }

    /// Returns what the connections took since the last report.
    pub fn take_report(&self) -> InboundReport {
        let shared = &self.0;
        let connections = shared.connections().len();
        let held_bytes = shared.held_bytes.load(Ordering::Relaxed);
        let limited = LimitReason::ALL.into_iter().zip(&shared.limited);
        let limited = limited
            .map(|(reason, count)| (reason, count.swap(0, Ordering::Relaxed)))
            .filter(|(_, count)| *count > 0)
            .collect();
        let take = |most: &AtomicUsize, now| most.swap(now, Ordering::Relaxed);
        InboundReport {
            connections,
            most_connections: take(&shared.most_connections, connections),
            held_bytes,
            most_held_bytes: take(&shared.most_held_bytes, held_bytes),
            capacity_bytes: shared.capacity_bytes.load(Ordering::Relaxed),
            largest_head_bytes: take(&shared.largest_head_bytes, 0),
            largest_body_bytes: take(&shared.largest_body_bytes, 0),
            limited,
        }
    }
}

impl Shared {
    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<Account>>> {
        // OK after a panic: each change of it is complete.
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        // OK to truncate: it would take millions of years.
        self.began.elapsed().as_millis() as u64
    }

    fn note(&self, reason: LimitReason) {
        self.limited[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Opens an account for a new connection, in the place of another one if
    /// need be; returns `None` if there is no place.
    fn open(self: &Arc<Shared>) -> Option<Arc<Account>> {
        let account = {
            let mut connections = self.connections();
            if connections.len() >= self.limits.max_connections {
                self.note(LimitReason::Connections);
                let closed = closed_for_connection(&self.uses(&connections))?;
                if let Some(closed) = connections.remove(&closed) {
                    closed.close();
                }
            }
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            let account = Arc::new(Account::new(id, Arc::clone(self)));
            connections.insert(id, Arc::clone(&account));
            let count = connections.len();
            self.most_connections.fetch_max(count, Ordering::Relaxed);
            account
        };
        account.hold(CONNECTION_BYTES);
        Some(account)
    }

    fn remove(&self, id: u64) {
        self.connections().remove(&id);
    }

    fn uses(
        &self,
        connections: &HashMap<u64, Arc<Account>>,
    ) -> Vec<ConnectionUse> {
        let now_ms = self.now_ms();
        let open = connections.values().filter(|a| !a.gives_way());
        open.map(|account| account.connection_use(now_ms)).collect()
    }

    fn hold(&self, bytes: usize) {
        let before = self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.most_held_bytes.fetch_max(before + bytes, Ordering::Relaxed);
        if before + bytes > self.capacity_bytes.load(Ordering::Relaxed) {
            self.make_room();
        }
    }

    fn release(&self, bytes: usize) {
        self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Makes connections give way until the others hold no more than they may.
    fn make_room(&self) {
        let connections = self.connections();
        let capacity_bytes = self.capacity_bytes.load(Ordering::Relaxed);
        close_lingering(&connections, capacity_bytes / LINGERING_DIVISOR);
        // Without what goes in a moment.
        let leaving = connections.values().filter(|a| a.gives_way());
        let leaving_bytes: usize = leaving.map(|a| a.leaving_bytes()).sum();
        let held_bytes = self.held_bytes.load(Ordering::Relaxed);
        let excess_bytes = held_bytes
            .saturating_sub(leaving_bytes)
            .saturating_sub(capacity_bytes);
        if excess_bytes == 0 {
            return;
        }
        for id in closed_for_memory(&self.uses(&connections), excess_bytes) {
            self.note(LimitReason::Memory);
            if let Some(account) = connections.get(&id) {
                account.give_way();
            }
        }
    }

    fn close_stalled(&self) {
        let now_ms = self.now_ms();
        let timeout_ms = self.stall_timeout.as_millis();
        for account in self.connections().values() {
            let is_served =
                account.connection_use(now_ms).activity == Activity::Serving;
            let stalled_ms = account.without_progress_ms(now_ms);
            if !is_served && u128::from(stalled_ms) > timeout_ms {
                self.note(LimitReason::Stalled);
                account.close();
            }
        }
    }
}

/// Closes connections that gave way, without regard to their answers, if they
/// hold more than so many bytes.
fn close_lingering(
    connections: &HashMap<u64, Arc<Account>>,
    max_bytes: usize,
) {
    let lingering =
        || connections.values().filter(|a| a.gives_way() && !a.is_closed());
    let lingering_bytes: usize =
        lingering().map(|a| a.lingering_bytes()).sum();
    if lingering_bytes > max_bytes {
        lingering().for_each(|account| account.close());
    }
}
