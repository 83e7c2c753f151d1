/*!
A node that runs jobs: starts and stops all of its tasks.
*/

use {
    super::{
        caller_server,
        counts::CountsReader,
        election::Candidate,
        front::Frontend,
        gate::StoreGate,
        holder, intent, isolation,
        peer_offers::PeerOffers,
        peers,
        readiness::{self, Readiness},
        relay,
        settings::JobSettings,
        silent_workers::LoadedSilentWorkers,
        status::StatusBoard,
        team_limits::{self, FollowedTeamLimits},
    },
    crate::{clock, inbound_reports, logs, passed_over},
    dewspar::{
        link::LinkLimits,
        schedule::{Options, SeenHolders},
    },
    dewspar_platform::{
        Fleet, JobProtocol, JobWorkers, KeyValue, PeerRoutes, PeerServer,
        Purpose, Traffic, UnreadableNotes,
        inbound::{self, Inbound},
    },
    metrics_exporter_prometheus::PrometheusHandle,
    slog::{Logger, info},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::watch,
        task::JoinHandle,
        time::{Instant, sleep, timeout_at},
    },
};

/// The part of the stop time that is kept in reserve, in milliseconds.
const STOP_RESERVE_MS: u64 = 1_000;

/// How long a connection may make no progress: longer than it may be idle, after
/// which it is closed as usual.
const STALL_TIMEOUT: Duration = Duration::from_secs(40);

/// How long a node still takes connections after it stopped being ready, in
/// milliseconds: the load balancer checks each second and acts on the second
/// failed check.
const STOP_DELAY_MS: u64 = 2_500;

/// The adapters of a node that runs jobs.
#[derive(Clone, Debug)]
pub struct JobPlatform<K, W, F, P> {
    /// The store.
    pub store: K,
    /// Calls to workers.
    pub workers: W,
    /// The directory of workers, the VMs and the operator's configuration.
    pub fleet: F,
    /// The format of callers' requests and responses.
    pub protocol: P,
    /// The path at which the load balancer checks readiness.
    pub readiness_path: &'static str,
    /// Counts the traffic of the adapters' calls by purpose.
    pub traffic: Traffic,
    /// Records input that the adapters couldn't read.
    pub unreadable: UnreadableNotes,
    /// The paths to the store over other nodes, if the store takes any.
    pub peers: Option<Peers>,
}

/// The paths to the store over other nodes.
#[derive(Clone, Debug)]
pub struct Peers {
    /// The paths that the store's adapter takes.
    pub routes: PeerRoutes,
    /// Forwards other nodes' calls.
    pub server: PeerServer,
}

/// A running node.
pub struct JobNode {
    callers: caller_server::Server,
    scheduling: JoinHandle<()>,
    stopping: watch::Sender<bool>,
    stop_grace: Duration,
    log: Logger,
}

impl JobNode {
    /// Starts all tasks of a node on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start<K, W, F, P>(
        settings: &JobSettings,
        platform: JobPlatform<K, W, F, P>,
        metrics: Option<PrometheusHandle>,
        root: &Logger,
    ) -> io::Result<JobNode>
    where
        K: KeyValue,
        W: JobWorkers,
        F: Fleet,
        P: JobProtocol,
    {
        let log = root.new(slog::o!("node" => settings.node.clone()));
        let (stopping, stopped) = watch::channel(false);
        let timing = &settings.timing;
        let tolerated_halls = settings.tolerate.halls.unwrap_or(0);
        let reader = intent::start(
            platform.fleet.clone(),
            timing.config_apply_ms,
            logs::part(&log, "operator"),
        );
        tokio::spawn(passed_over::tell(
            platform.unreadable.clone(),
            stopped.clone(),
            logs::part(&log, "platform"),
        ));
        let (isolated, isolated_since) = watch::channel(None);
        let readiness = Readiness::new(
            reader.clone(),
            stopped.clone(),
            timing.config_apply_ms,
            isolated_since,
        );
        let gate = StoreGate::new(
            platform.store.with_purpose(Purpose::Callers),
            logs::part(&log, "front"),
        );
        readiness::serve(
            settings.readiness_address,
            platform.readiness_path,
            readiness.clone(),
            logs::part(&log, "readiness"),
        )
        .await?;
        let status = StatusBoard::new(&settings.node);
        if let (Some(address), Some(metrics)) =
            (settings.metrics_address, metrics)
        {
            let status = status.reader();
            let log = logs::part(&log, "metrics");
            readiness::serve_metrics(address, metrics, status, log).await?;
        }
        let limits =
            FollowedTeamLimits::new(settings.policy.placing.refuse_over_share);
        tokio::spawn(team_limits::follow(
            platform.store.with_purpose(Purpose::Counts),
            reader.clone(),
            limits.clone(),
            stopped.clone(),
            logs::part(&log, "front"),
        ));
        let front = Frontend {
            store: platform.store.with_purpose(Purpose::Callers),
            protocol: platform.protocol,
            reader: reader.clone(),
            readiness: readiness.clone(),
            gate: gate.clone(),
            min_lease_ms: timing.min_store_lease_ms,
            counts: tokio::sync::Mutex::new(CountsReader::default()),
            limits,
            caller_limits: settings.caller_limits.clone(),
            log: logs::part(&log, "front"),
        };
        let inbound = Inbound::new(
            settings.inbound_limits(),
            settings.machine.memory_bytes(),
            STALL_TIMEOUT,
        );
        tokio::spawn(inbound.clone().supervise());
        tokio::spawn(inbound_reports::log(
            inbound.clone(),
            "callers",
            logs::part(&log, "front"),
        ));
        let address = settings.callers_address;
        let callers = caller_server::serve(address, inbound, Arc::new(front))?;
        let relay_address = match settings.relay_address {
            Some(address) => {
                // Orders come in large messages, so the kernel chooses the size
                // of the receive buffer.
                let listener = TcpListener::bind(address).await?;
                let address = listener.local_addr()?;
                tokio::spawn(relay::serve(
                    listener,
                    platform.workers.clone(),
                    stopped.clone(),
                    logs::part(&log, "relay"),
                ));
                Some(address)
            }
            None => None,
        };
        let mut peer_address = None;
        if let Some(Peers { routes, server }) = platform.peers {
            let peer_log = logs::part(&log, "peers");
            if let Some(address) = settings.peer_address() {
                let listener = inbound::bind(address)?;
                peer_address = Some(listener.local_addr()?);
                tokio::spawn(inbound_reports::log(
                    server.inbound().clone(),
                    "peers",
                    peer_log.clone(),
                ));
                let directory = PeerOffers::new(
                    platform.store.with_purpose(Purpose::Peers),
                    peer_log.clone(),
                );
                tokio::spawn(server.serve(listener, directory));
            }
            tokio::spawn(peers::follow_readers(
                platform.store.with_purpose(Purpose::Peers),
                settings.node.clone(),
                if tolerated_halls > 0 {
                    settings.hall.clone()
                } else {
                    String::new()
                },
                routes.clone(),
                peer_log.clone(),
            ));
            if tolerated_halls > 0 {
                tokio::spawn(isolation::watch_paths(
                    routes.clone(),
                    settings.hall.clone(),
                    gate,
                    isolated,
                    stopped.clone(),
                    peer_log.clone(),
                ));
            }
            tokio::spawn(peers::log_paths(routes, stopped.clone(), peer_log));
        }
        let candidate = Candidate {
            relay_address,
            peer_address,
            node: settings.node.clone(),
            hall: settings.hall.clone(),
            tolerated_halls,
            incarnation: clock::incarnation(),
            store: platform.store.with_purpose(Purpose::Lease),
            traffic: platform.traffic,
            machine: settings.machine.clone(),
            workers: platform.workers,
            fleet: platform.fleet,
            reader,
            readiness,
            stopping: stopped,
            min_lease_ms: timing.min_store_lease_ms,
            strength: settings.machine.strength(),
            overloaded_until_ms: 0,
            status,
            unreadable_owner: None,
            seen_holders: SeenHolders::default(),
            silent_workers: LoadedSilentWorkers::default(),
            options: Options::default()
                .max_lease_ms(timing.max_lease_ms)
                .finished_retention_ms(timing.kept_ms)
                .duty_gap_ms(timing.duty_gap_ms)
                .stop_timeout_ms(timing.stop_timeout_ms)
                .max_operator_view_age_ms(timing.max_operator_view_age_ms())
                .cancellation_limits(Some(timing.cancellation_limits()))
                .detached_ms(holder::MAX_DETACHED_MS)
                .tolerated_halls(tolerated_halls)
                .remote_factor(timing.remote_factor)
                .link(LinkLimits::of_link(settings.machine.link_mbps))
                .policy(settings.policy.clone()),
            log: logs::part(&log, "scheduler"),
        };
        let scheduling = tokio::spawn(candidate.run());
        info!(log, "node: started";
            "callers" => %callers.address(),
            "hall" => &settings.hall);
        Ok(JobNode {
            callers,
            scheduling,
            stopping,
            stop_grace: Duration::from_millis(
                timing.stop_grace_ms.saturating_sub(STOP_RESERVE_MS),
            ),
            log,
        })
    }

    /// Returns the address at which callers reach the node.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Stops scheduling at once, as a crash would; the scheduler lease expires
    /// on its own.
    pub fn kill(self) {
        self.scheduling.abort();
    }

    /// Stops as planned: first readiness and the scheduler lease end, then
    /// open calls finish.
    ///
    /// While the store is unavailable, the node goes on scheduling for as
    /// long as a stop may take, unless another node takes over before.
    pub async fn stop(mut self) {
        info!(self.log, "node: stops");
        let deadline = Instant::now() + self.stop_grace;
        let _ = self.stopping.send(true);
        let delay = Duration::from_millis(STOP_DELAY_MS).min(self.stop_grace);
        sleep(delay).await;
        self.callers.stop(self.stop_grace.saturating_sub(delay)).await;
        if timeout_at(deadline, &mut self.scheduling).await.is_err() {
            self.scheduling.abort();
        }
        info!(self.log, "node: stopped");
    }
}
