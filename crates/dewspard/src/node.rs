/*!
A node: every task of the daemon, put together.

[`Node::start`] takes adapters for the platform, so that a test or a
demonstration can run many nodes in one process against stand-ins.
*/

use {
    crate::{
        api::{self, ApiState, Changes},
        clock, counters,
        dispatch::{self, Dispatchers},
        fleet, granter, inbound_reports,
        journal::Filings,
        logs, membership, passed_over,
        peer::{Answer, Endpoint, Identity, Question, SetupError},
        proxy::{self, Proxy},
        settings::{Callers, Settings},
        watcher,
    },
    dewspar::{
        config::Resource,
        inbound::InboundLimits,
        member::{Freshness, Member, Timing},
        slot::{self, Limits},
    },
    dewspar_platform::{
        Client, KeyValue, UnreadableNotes, VmList, Workers,
        etcd::Etcd,
        http::{HttpVmList, HttpWorkers},
        inbound::Inbound,
    },
    displaydoc::Display,
    metrics_exporter_prometheus::PrometheusHandle,
    slog::{Logger, info},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{oneshot, watch},
        task::JoinHandle,
        time::sleep,
    },
};

/// How often readiness is looked at.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// How long a caller's connection may make no progress.
const STALL_TIMEOUT: Duration = Duration::from_secs(120);

/// Why a node didn't start.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// {0}
    Peers(SetupError),
    /// field `{field}`: {error}
    Listen {
        /// The settings' field.
        field: &'static str,
        /// What went wrong.
        error: io::Error,
    },
}

impl std::error::Error for Error {}

impl From<SetupError> for Error {
    fn from(error: SetupError) -> Error {
        Error::Peers(error)
    }
}

/// The adapters for the platform.
#[derive(Clone, Debug)]
pub struct Platform<K, L, W> {
    /// The key-value service.
    pub key_value: K,
    /// The VM list.
    pub vm_list: L,
    /// The workers.
    pub workers: W,
    /// What the adapters couldn't read.
    pub unreadable: UnreadableNotes,
}

/// The adapters that settings name.
pub type DefaultPlatform = Platform<Etcd, HttpVmList, HttpWorkers>;

impl DefaultPlatform {
    /// Makes the adapters that settings name.
    pub fn from_settings(settings: &Settings) -> DefaultPlatform {
        let platform = &settings.platform;
        // A client each, so that their costs can be told apart.
        let client = || Client::new(platform.call_timeout_ms);
        let key_value = Etcd::new(client(), &platform.url, &platform.root);
        let unreadable = key_value.unreadable().clone();
        Platform {
            key_value,
            vm_list: HttpVmList::new(client(), &platform.vm_list_url)
                .with_unreadable(&unreadable),
            workers: HttpWorkers::new(client()).with_unreadable(&unreadable),
            unreadable,
        }
    }

    /// Returns the clients of the adapters, which count calls and bytes.
    pub fn clients(&self) -> [Client; 3] {
        let Platform { key_value, vm_list, workers, .. } = self;
        [
            key_value.client().clone(),
            vm_list.client().clone(),
            workers.client().clone(),
        ]
    }
}

/// A running node.
pub struct Node {
    callers: proxy::Server,
    api: api::Server,
    endpoint: Endpoint,
    filings: Filings,
    watcher: watcher::Handle,
    standing: membership::StandingReader,
    stopping: watch::Sender<bool>,
    ready: watch::Receiver<bool>,
    leave: oneshot::Sender<()>,
    left: JoinHandle<()>,
    control: JoinHandle<()>,
    stop_delay: Duration,
    log: Logger,
}

impl Node {
    /// Starts every task of a node on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the settings' field at fault.
    pub async fn start<K: KeyValue, L: VmList, W: Workers>(
        settings: &Settings,
        identity: &Identity,
        platform: Platform<K, L, W>,
        metrics: Option<PrometheusHandle>,
        root: &Logger,
    ) -> Result<Node, Error> {
        let root = root.new(slog::o!("node" => settings.node.clone()));
        let log = logs::part(&root, "node");
        let vm_list_interval =
            Duration::from_millis(settings.platform.vm_list_interval_ms);
        let watcher = watcher::start(
            platform.key_value.clone(),
            platform.vm_list.clone(),
            vm_list_interval,
            platform.unreadable.clone(),
            logs::part(&root, "watcher"),
        );
        let incarnation = clock::incarnation();
        let member = Member::new(&settings.node, incarnation, &settings.hall);
        let (asks, setup) = prepare(settings, &watcher, member);
        let endpoint = Endpoint::start(
            settings.peers.address,
            identity,
            asks.clone().into_handler(),
            logs::part(&root, "peer"),
        )?;
        let address = endpoint.address().map_err(|error| Error::Listen {
            field: "peers.address",
            error,
        })?;
        let limits = limits(settings);
        let standing = asks.membership.standing.clone();
        let dispatchers = Dispatchers::new(dispatch::Context {
            node: settings.node.clone(),
            incarnation,
            limits,
            max_waiting: usize::try_from(settings.callers.max_waiting)
                .unwrap_or(usize::MAX),
            view: watcher.view.clone(),
            standing: standing.clone(),
            endpoint: endpoint.clone(),
            granter: asks.granter.clone(),
            log: logs::part(&root, "dispatch"),
        });
        granter::start(
            setup.inbox,
            granter::Options {
                own: settings.node.clone(),
                limits,
                view: watcher.view.clone(),
                standing: standing.clone(),
                endpoint: endpoint.clone(),
                dispatchers: dispatchers.clone(),
                log: logs::part(&root, "granter"),
            },
        );
        let filings = Filings::start(
            platform.key_value.clone(),
            &settings.node,
            incarnation,
            standing.clone(),
            endpoint.clone(),
            logs::part(&root, "journal"),
        );
        asks.connect(dispatchers.clone(), filings.clone());
        let (leave, left) = oneshot::channel();
        let (stopping, stopped) = watch::channel(false);
        tokio::spawn(passed_over::tell(
            platform.unreadable.clone(),
            stopped.clone(),
            logs::part(&root, "platform"),
        ));
        let left = membership::start(
            setup.membership.at(&address.to_string()),
            platform.key_value.clone(),
            watcher.clone(),
            endpoint.clone(),
            membership::Leave { stopping: stopped.clone(), left },
            logs::part(&root, "member"),
        );
        let control = fleet::start(fleet::Options {
            platform: platform.key_value.clone(),
            workers: platform.workers,
            watcher: watcher.clone(),
            standing: standing.clone(),
            endpoint: endpoint.clone(),
            dispatchers: dispatchers.clone(),
            log: logs::part(&root, "fleet"),
        });
        let ready = watch_readiness(&watcher, standing.clone(), stopped);
        let proxy = Proxy::new(
            &settings.node,
            &settings.callers,
            ready.clone(),
            watcher.view.clone(),
            dispatchers,
            filings.clone(),
            logs::part(&root, "proxy"),
        );
        let address = settings.callers.address;
        let inbound = callers_inbound(&settings.callers);
        tokio::spawn(inbound.clone().supervise());
        tokio::spawn(inbound_reports::log(
            inbound.clone(),
            "callers",
            logs::part(&root, "proxy"),
        ));
        let callers =
            proxy::Server::start(address, inbound, Arc::new(proxy)).map_err(
                |error| Error::Listen { field: "callers.address", error },
            )?;
        let state = ApiState {
            platform: platform.key_value,
            settings: settings.api.clone(),
            view: watcher.view.clone(),
            standing: standing.clone(),
            changes: Changes::start(watcher.view.clone()),
            ready: ready.clone(),
            endpoint: endpoint.clone(),
            metrics,
            log: logs::part(&root, "api"),
        };
        let api = api::Server::start(settings.api.address, state)
            .await
            .map_err(|error| Error::Listen { field: "api.address", error })?;
        tokio::spawn(inbound_reports::log(
            api.inbound().clone(),
            "operators",
            logs::part(&root, "api"),
        ));
        info!(log, "node: started"; "callers" => %callers.address(),
            "api" => %api.address());
        let stop_delay = settings.callers.stop_delay_ms;
        Ok(Node {
            callers,
            api,
            endpoint,
            filings,
            watcher,
            standing,
            stopping,
            ready,
            leave,
            left,
            control,
            stop_delay: Duration::from_millis(stop_delay),
            log,
        })
    }

    /// Returns the address at which callers reach the node.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address at which operators reach the node.
    pub fn api_address(&self) -> SocketAddr {
        self.api.address()
    }

    /// Returns the way to the filings journal.
    pub fn filings(&self) -> &Filings {
        &self.filings
    }

    /// Returns the way to peers.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the newest view of what the platform holds.
    pub fn view(&self) -> &crate::view::ViewReader {
        &self.watcher.view
    }

    /// Returns the newest standing of the roster.
    pub fn standing(&self) -> &membership::StandingReader {
        &self.standing
    }

    /// Returns whether the node accepts callers.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Stops as planned: readiness first, then requests to their end, then
    /// the node's place on the roster.
    pub async fn stop(self) {
        info!(self.log, "node: stops");
        let _ = self.stopping.send(true);
        sleep(self.stop_delay).await;
        self.callers.stop().await;
        self.control.abort();
        let _ = self.leave.send(());
        let _ = self.left.await;
        self.api.stop();
        self.endpoint.close();
        info!(self.log, "node: stopped");
    }

    /// Stops at once, as a crash would.
    pub fn kill(self) {
        self.control.abort();
        self.left.abort();
        self.endpoint.close();
    }
}

/// Returns the bounds of callers' connections.
fn callers_inbound(settings: &Callers) -> Inbound {
    let size = |number| usize::try_from(number).unwrap_or(usize::MAX);
    let limits = InboundLimits {
        max_connections: size(settings.max_connections),
        max_bytes: size(settings.max_memory_bytes),
    };
    Inbound::with_fixed_memory(limits, STALL_TIMEOUT)
}

fn limits(settings: &Settings) -> Limits {
    Limits::default().max_request_ms(settings.callers.max_deadline_ms)
}

/// What must exist before the endpoint that answers with it.
struct Setup {
    membership: membership::Setup,
    inbox: granter::Inbox,
}

fn prepare(
    settings: &Settings,
    watcher: &watcher::Handle,
    member: Member,
) -> (Asks, Setup) {
    let timing =
        Timing::default().probe_interval_ms(settings.peers.probe_interval_ms);
    let options = membership::Options::new(member)
        .timing(timing)
        .lease_ttl_ms(settings.platform.lease_ttl_ms);
    let (membership, setup) = membership::prepare(options);
    let (granter, inbox) = granter::prepare();
    let asks = Asks {
        membership,
        granter,
        watcher: watcher.clone(),
        later: Arc::default(),
    };
    (asks, Setup { membership: setup, inbox })
}

/// What answers peers' questions; clones share it.
#[derive(Clone)]
struct Asks {
    membership: membership::Handle,
    granter: granter::Handle,
    watcher: watcher::Handle,
    // What needs the endpoint itself, and so comes after it.
    later: Arc<std::sync::OnceLock<(Dispatchers, Filings)>>,
}

impl Asks {
    fn connect(&self, dispatchers: Dispatchers, filings: Filings) {
        // OK because a node is put together once.
        let _ = self.later.set((dispatchers, filings));
    }

    fn into_handler(
        self,
    ) -> impl Fn(
        Question,
    ) -> std::pin::Pin<Box<dyn Future<Output = Answer> + Send>>
    + Clone
    + Send
    + Sync
    + 'static {
        move |question| {
            let asks = self.clone();
            Box::pin(async move { asks.answer(question).await })
        }
    }

    async fn answer(&self, question: Question) -> Answer {
        match question {
            Question::Probe(probe) => {
                match self.membership.probed(probe).await {
                    Some(answer) => Answer::Probe(answer),
                    None => stopping(),
                }
            }
            Question::SlotSync { node, service, sync } => {
                let refused = slot::Reply::refused(&sync);
                let reply = self.granter.sync(&node, &service, sync).await;
                Answer::SlotSync(reply.unwrap_or(refused))
            }
            Question::Holdings { service } => match self.later.get() {
                Some((dispatchers, _)) => {
                    Answer::Holdings(dispatchers.holdings(&service))
                }
                None => stopping(),
            },
            Question::Recall { service, pressure } => {
                if let Some((dispatchers, _)) = self.later.get() {
                    dispatchers.recall(&service, pressure);
                }
                Answer::Done
            }
            Question::Filings { partition, items } => {
                let Some((_, filings)) = self.later.get() else {
                    return stopping();
                };
                Answer::Filings(filings.write_here(partition, items).await)
            }
            Question::InFlight { vms } => {
                let Some((dispatchers, _)) = self.later.get() else {
                    return stopping();
                };
                let (view, counts) = dispatchers.in_flight(&vms);
                Answer::InFlight { view, counts }
            }
            Question::Snapshot { have } => self.snapshot(have),
            Question::Revision => Answer::Revision(self.watcher.revision()),
        }
    }

    fn snapshot(&self, have: u64) -> Answer {
        let config = self.watcher.view.borrow().config.value.clone();
        let newer = config.revision() > have;
        let resources = config
            .resources()
            .filter(|_| newer)
            .map(|resource: &Resource| resource.to_value().to_string())
            .collect();
        Answer::Snapshot { revision: config.revision(), resources }
    }
}

fn stopping() -> Answer {
    Answer::Refused("this node starts or stops".to_owned())
}

/// Follows whether the node may accept callers.
fn watch_readiness(
    watcher: &watcher::Handle,
    standing: membership::StandingReader,
    stopped: watch::Receiver<bool>,
) -> watch::Receiver<bool> {
    let (publish, ready) = watch::channel(false);
    let watcher = watcher.clone();
    tokio::spawn(async move {
        while !publish.is_closed() {
            let fresh = standing.borrow().freshness() != Freshness::CutOff;
            let loaded = watcher.view.borrow().version > 0;
            let now = fresh && loaded && !*stopped.borrow();
            publish.send_if_modified(|ready| {
                let changed = *ready != now;
                *ready = now;
                changed
            });
            counters::set(counters::READY, f64::from(u8::from(now)));
            sleep(READY_INTERVAL).await;
        }
    });
    ready
}
