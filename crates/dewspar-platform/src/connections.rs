/*!
Connections to each address, given up together once one falls silent.

An open connection may stop carrying bytes without being closed or reset,
while new ones to the same address work. A pool that knows nothing of this
tries its idle connections one after the other, and each costs the whole time
that a call may take. But whatever silenced one connection has probably
silenced those that were open beside it. So when a call gets no answer in
time, every connection to its address that was opened before is given up:
calls under way on them may still end, but no further call is sent there.

Each address has a *generation* of connections. A call remembers the one that
it used, and only the first call that names a generation ends it: later ones
were sent on connections that are given up already.
*/

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::http::uri::Authority,
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{
        collections::HashMap,
        net::IpAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// How long an idle connection is kept.
pub(crate) const IDLE: Duration = Duration::from_secs(20);

/// How many idle connections to one address are kept: as many as a burst of
/// orders opens. More would only hold descriptors.
const MAX_IDLE: usize = 32;

/// How long sent bytes may stay unacknowledged by the other end's kernel:
/// the time of three transmissions on a near link (at 0, 200 and 600 ms).
/// Unlike the time a call may take, it tells a silent connection from a slow
/// service.
const UNACKNOWLEDGED: Duration = Duration::from_millis(700);

/// How long a connection is quiet before the kernel probes the other end,
/// and the pause between probes: the shortest that kernels take.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// An HTTP client with the connections of one generation.
pub(crate) type Pool = legacy::Client<HttpConnector, Full<Bytes>>;

/// The current generation of connections to each address.
#[derive(Debug)]
pub(crate) struct Connections {
    connector: HttpConnector,
    addresses: Mutex<HashMap<Authority, Current>>,
}

/// The generation in use at one address.
#[derive(Debug)]
struct Current {
    pool: Pool,
    generation: u64,
    used: Instant,
}

impl Connections {
    /// Makes connections that take at most `connect_timeout` to open, and that
    /// leave from `source` if it is given.
    pub(crate) fn new(
        connect_timeout: Duration,
        source: Option<IpAddr>,
    ) -> Connections {
        let connector = tcp_connector(connect_timeout, source);
        Connections { connector, addresses: Mutex::default() }
    }

    /// Returns the connections to use for a call, and their generation.
    pub(crate) fn to(&self, address: &Authority) -> (Pool, u64) {
        let mut addresses = self.lock();
        let used = Instant::now();
        if let Some(current) = addresses.get_mut(address) {
            current.used = used;
            return (current.pool.clone(), current.generation);
        }
        // Addresses that went out of use: their connections are closed.
        addresses.retain(|_, current| current.used.elapsed() < IDLE);
        let pool = self.pool();
        let current = Current { pool: pool.clone(), generation: 0, used };
        addresses.insert(address.clone(), current);
        (pool, 0)
    }

    /// Gives up a generation; returns whether it was in use until now.
    pub(crate) fn give_up(
        &self,
        address: &Authority,
        generation: u64,
    ) -> bool {
        let mut addresses = self.lock();
        match addresses.get_mut(address) {
            Some(current) if current.generation == generation => {
                current.generation += 1;
                current.pool = self.pool();
                true
            }
            _ => false,
        }
    }

    fn pool(&self) -> Pool {
        legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .pool_max_idle_per_host(MAX_IDLE)
            .build(self.connector.clone())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Authority, Current>> {
        // OK after a panic: each change is one assignment or insertion.
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes connections that take at most `connect_timeout` to open, and that
/// leave from `source` if it is given.
pub(crate) fn tcp_connector(
    connect_timeout: Duration,
    source: Option<IpAddr>,
) -> HttpConnector {
    let mut connector = HttpConnector::new();
    // A listener at the unspecified address names none to call from.
    let source = source.filter(|source| !source.is_unspecified());
    connector.set_local_address(source);
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_keepalive(Some(PROBE_AFTER));
    connector.set_keepalive_interval(Some(PROBE_AFTER));
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    connector
}
