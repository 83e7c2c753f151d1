/*!
Nodes and stand-ins in one process, talking over loopback.

The nodes run the daemon's real code with its real adapters; only the platform
and the targets are stand-ins.
*/

use {
    crate::{deployment::Plan, exit::Error},
    dewspar::config::{Change, Resource},
    dewspar_platform::{Client, etcd::Etcd},
    dewspar_standin::{
        certs::Authority,
        faults::Faults,
        fleet::{self, Fleet},
        kv::KvServer,
        recorder::Recorder,
        store::Store,
    },
    dewspard::{
        api::token_digest,
        config_store,
        node::{Node, Platform},
        peer::Identity,
        settings::{Operator, Settings},
    },
    slog::Logger,
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::{
        runtime::Runtime,
        time::{Instant, sleep},
    },
};

/// How long a call of an operator's may take, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// How a cluster is put together.
#[derive(Clone, Debug)]
pub struct Options {
    nodes: usize,
    seed: u64,
    fleet: fleet::Options,
    recorder: Recorder,
    platform_delay: Duration,
    stop_delay_ms: u64,
    own_threads: Option<usize>,
    operators: Vec<Operator>,
    log: Logger,
}

impl Options {
    /// Makes options for three nodes.
    pub fn new(log: Logger) -> Options {
        let recorder = Recorder::default();
        Options {
            nodes: 3,
            seed: 1,
            fleet: fleet::Options::default().recorder(recorder.clone()),
            recorder,
            platform_delay: Duration::from_millis(2),
            stop_delay_ms: 300,
            own_threads: None,
            operators: Vec::new(),
            log,
        }
    }

    /// Sets how many nodes there are.
    pub fn nodes(mut self, nodes: usize) -> Options {
        self.nodes = nodes;
        self
    }

    /// Sets the seed of what happens by chance.
    pub fn seed(mut self, seed: u64) -> Options {
        self.seed = seed;
        self
    }

    /// Sets how the fleet behaves; it writes into this cluster's history.
    pub fn fleet(mut self, fleet: fleet::Options) -> Options {
        self.fleet = fleet.recorder(self.recorder.clone());
        self
    }

    /// Lets in an operator, of one partner or of none; without any operator
    /// everyone is let in.
    pub fn operator(
        mut self,
        name: &str,
        token: &str,
        partner: Option<&str>,
    ) -> Options {
        self.operators.push(Operator {
            name: name.to_owned(),
            token_sha256: token_digest(token),
            partner: partner.map(str::to_owned),
        });
        self
    }

    /// Gives each node so many threads of its own, named `node-0` and so on,
    /// so that what nodes cost can be told from what stand-ins cost.
    pub fn own_threads(mut self, threads: usize) -> Options {
        self.own_threads = Some(threads);
        self
    }

    /// Sets how long each call of the platform takes.
    pub fn platform_delay(mut self, delay: Duration) -> Options {
        self.platform_delay = delay;
        self
    }
}

/// A running cluster; the stand-ins stop when it is dropped.
pub struct Cluster {
    options: Options,
    authority: Authority,
    kv: KvServer,
    fleet: Fleet,
    clients: Vec<Client>,
    nodes: Vec<Option<Running>>,
}

/// A node, and its own threads if it has some.
struct Running {
    node: Node,
    runtime: Option<Runtime>,
}

impl Running {
    /// Ends everything at once, as the end of the process would.
    fn kill(self) {
        match self.runtime {
            Some(runtime) => {
                drop(self.node);
                runtime.shutdown_background();
            }
            None => self.node.kill(),
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.drain(..).flatten().for_each(Running::kill);
    }
}

impl Cluster {
    /// Starts stand-ins for a plan's fleet, and the nodes.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when something couldn't start.
    pub async fn start(
        plan: &Plan,
        options: Options,
    ) -> Result<Cluster, Error> {
        let faults = Faults::new(options.seed);
        let delay_us = options.platform_delay.as_micros();
        faults.set_delay_us(u64::try_from(delay_us).unwrap_or(0));
        let store = Store::new(faults);
        let kv = KvServer::start(loopback(), store)
            .await
            .map_err(Error::failure)?;
        let fleet =
            Fleet::start(loopback(), plan.vms(), options.fleet.clone())
                .await
                .map_err(Error::failure)?;
        let authority = Authority::new().map_err(Error::failure)?;
        let mut cluster = Cluster {
            options,
            authority,
            kv,
            fleet,
            clients: Vec::new(),
            nodes: Vec::new(),
        };
        for index in 0..cluster.options.nodes {
            let running = cluster.start_node(index, plan).await?;
            cluster.nodes.push(Some(running));
        }
        Ok(cluster)
    }

    /// Returns the bytes that all nodes exchanged with the platform and the
    /// workers so far.
    pub fn platform_bytes(&self) -> u64 {
        self.clients.iter().map(Client::bytes).sum()
    }

    /// Returns the bytes of packets between nodes so far, both ways, each
    /// counted once.
    pub async fn peer_bytes(&self) -> u64 {
        let mut bytes = 0;
        for node in self.nodes() {
            bytes += node.endpoint().bytes().await;
        }
        bytes
    }

    /// Returns what has been written down.
    pub fn recorder(&self) -> &Recorder {
        &self.options.recorder
    }

    /// Returns the fleet's stand-in.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the key-value stand-in's store.
    pub fn store(&self) -> &Store {
        self.kv.store()
    }

    /// Returns the nodes that run.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().flatten().map(|running| &running.node)
    }

    /// Returns the addresses at which callers reach the nodes that run.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes().map(Node::caller_address).collect()
    }

    /// Kills a node, as a crash of its VM would.
    pub fn kill_node(&mut self, index: usize) {
        let taken = self.nodes.get_mut(index).and_then(Option::take);
        if let Some(running) = taken {
            running.kill();
        }
    }

    /// Stops a node as planned.
    pub async fn stop_node(&mut self, index: usize) {
        let taken = self.nodes.get_mut(index).and_then(Option::take);
        if let Some(Running { node, runtime }) = taken {
            node.stop().await;
            if let Some(runtime) = runtime {
                runtime.shutdown_background();
            }
        }
    }

    /// Freezes a node that has one thread of its own, as a paused VM is.
    pub fn freeze_node(&self, index: usize, time: Duration) {
        let running = self.nodes.get(index).and_then(Option::as_ref);
        if let Some(runtime) = running.and_then(|r| r.runtime.as_ref()) {
            // Blocks the only thread on which the node's tasks can run.
            runtime.spawn(async move { std::thread::sleep(time) });
        }
    }

    /// Starts a node anew, as a fresh process under the old name.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when it couldn't start.
    pub async fn restart_node(
        &mut self,
        index: usize,
        plan: &Plan,
    ) -> Result<(), Error> {
        let running = self.start_node(index, plan).await?;
        if let Some(place) = self.nodes.get_mut(index) {
            *place = Some(running);
        }
        Ok(())
    }

    /// Writes resources as an operator would.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when they were not accepted.
    pub async fn apply(&self, resources: Vec<Resource>) -> Result<u64, Error> {
        let changes: Vec<Change> =
            resources.into_iter().map(Change::put).collect();
        // An operator who is let in anywhere may as well write directly.
        let client = Client::new(CALL_TIMEOUT_MS);
        let platform = Etcd::new(client, &self.kv.url(), "/dewspar/");
        let snapshot = config_store::write(&platform, &changes)
            .await
            .map_err(Error::failure)?;
        Ok(snapshot.revision())
    }

    /// Waits until every node accepts callers.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when that takes longer than `limit`.
    pub async fn wait_until_ready(
        &self,
        limit: Duration,
    ) -> Result<(), Error> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.nodes().all(|node| *node.ready().borrow()) {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(Error::failure(format!("a node wasn't ready in {limit:?}")))
    }

    /// Waits until every node accepts callers and every service of the plan
    /// has all its runners.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when that takes longer than `limit`.
    pub async fn wait_until_serving(
        &self,
        plan: &Plan,
        limit: Duration,
    ) -> Result<(), Error> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.nodes().all(|node| is_serving(node, plan)) {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(Error::failure(format!("the fleet wasn't up in {limit:?}")))
    }

    /// Stops every node as planned.
    pub async fn stop(mut self) {
        for index in 0..self.nodes.len() {
            self.stop_node(index).await;
        }
    }

    async fn start_node(
        &mut self,
        index: usize,
        plan: &Plan,
    ) -> Result<Running, Error> {
        let name = format!("entry-{index}");
        let halls = plan.halls();
        let hall = &halls[index % halls.len()];
        let settings = self.settings(&name, hall)?;
        let issued = self.authority.issue(&name).map_err(Error::failure)?;
        let identity = Identity {
            ca: self.authority.certificate_pem().into_bytes(),
            certificate: issued.certificate_pem().as_bytes().to_vec(),
            key: issued.key_pem().as_bytes().to_vec(),
        };
        let platform = Platform::from_settings(&settings);
        self.clients.extend(platform.clients());
        let log = self.options.log.clone();
        let start = async move {
            Node::start(&settings, &identity, platform, None, &log).await
        };
        let mut own = None;
        let started = match self.options.own_threads {
            None => start.await,
            Some(threads) => {
                let runtime = tokio::runtime::Builder::new_multi_thread()
                    .worker_threads(threads)
                    .thread_name(format!("node-{index}"))
                    .enable_all()
                    .build()
                    .map_err(Error::failure)?;
                let started = runtime.spawn(start).await;
                own = Some(runtime);
                started.map_err(Error::failure)?
            }
        };
        let node = started.map_err(Error::failure)?;
        Ok(Running { node, runtime: own })
    }

    fn settings(&self, node: &str, hall: &str) -> Result<Settings, Error> {
        let text = format!(
            "node: {node}\nhall: {hall}\n\
             callers: {{address: '127.0.0.1:0', stop_delay_ms: {delay}}}\n\
             api: {{address: '127.0.0.1:0', allow_anonymous: true}}\n\
             peers: {{address: '127.0.0.1:0', ca_file: '-', \
             certificate_file: '-', key_file: '-'}}\n\
             platform: {{url: '{url}', vm_list_url: '{list}', \
             vm_list_interval_ms: 500, lease_ttl_ms: 5000}}\n",
            delay = self.options.stop_delay_ms,
            url = self.kv.url(),
            list = self.fleet.url(),
        );
        let mut settings =
            Settings::from_yaml(&text).map_err(Error::failure)?;
        settings.api.operators = self.options.operators.clone();
        settings.api.allow_anonymous = self.options.operators.is_empty();
        Ok(settings)
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn is_serving(node: &Node, plan: &Plan) -> bool {
    let view = node.view().borrow().clone();
    let all_up = plan.services().iter().all(|name| {
        let spec = view.config.value.service(name);
        spec.is_some_and(|spec| {
            view.targets(name, spec).len() == spec.runners as usize
        })
    });
    all_up && *node.ready().borrow()
}
