//! The daemon that every entry VM runs.

use {
    clap::{Parser, Subcommand},
    dewspar_platform::{Client, PeerRoutes, PeerServer, Traffic},
    dewspar_shared_platform::{
        Calls, PartnerFleet, READINESS_PATH, Store, TaskWorkers, fingerprint,
        is_store_call,
    },
    dewspard::{
        jobs::{JobNode, JobPlatform, JobSettings, Peers},
        logs,
        node::{Node, Platform},
        peer::Identity,
        settings::Settings,
    },
    metrics_exporter_prometheus::PrometheusBuilder,
    slog::{Logger, error, info, warn},
    std::{
        path::{Path, PathBuf},
        process::ExitCode,
        time::Duration,
    },
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs one node of dewspar until it is told to stop.
///
/// Exit codes: 0 after a planned stop, 1 when the node couldn't start, 2 when
/// the settings or the command line are not valid.
#[derive(Debug, Parser)]
#[command(version, about, subcommand_negates_reqs = true)]
struct Arguments {
    /// The settings file, in YAML.
    #[arg(long, value_name = "FILE", required = true)]
    settings: Option<PathBuf>,
    /// Check the settings and the files they name, and start nothing.
    #[arg(long)]
    check: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Accept jobs on the shared platform and have them run.
    Jobs {
        /// The settings file, in YAML.
        #[arg(long, value_name = "FILE", env = "DEWSPAR_BOOT")]
        settings: PathBuf,
        /// Check the settings, and start nothing.
        #[arg(long)]
        check: bool,
    },
}

/// How long a call to the store may take, in milliseconds: several times
/// its answer on a slow day.
const STORE_TIMEOUT_MS: u64 = 1_500;

/// How long a call to the VM service may take, in milliseconds.
const VM_SERVICE_TIMEOUT_MS: u64 = 1_500;

/// How long an order to a worker may take, in milliseconds: many times the
/// way there and back, and short beside the 600 ms that a quick job may take
/// beyond its work.
const ORDER_TIMEOUT_MS: u64 = 200;

/// What an order may find before it at the link, in bytes: a reading of the
/// directory with some 200 workers. A link of 2 Mbit/s takes 260 ms for it.
const BYTES_AHEAD: u64 = 65_536;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(Command::Jobs { settings, check }) = &arguments.command {
        return jobs(settings, *check);
    }
    // OK because clap requires it without a subcommand.
    let path = arguments.settings.expect("a required argument");
    let settings = match Settings::from_file(&path) {
        Ok(settings) => settings,
        Err(error) => return refuse(&error),
    };
    let identity = match Identity::from_settings(&settings.peers) {
        Ok(identity) => identity,
        Err(error) => return refuse(&error),
    };
    if arguments.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    // OK because the level was checked with the other settings.
    let level = settings.log.slog_level().expect("a checked level");
    let log = logs::root(settings.log.format, level);
    match run(&settings, &identity, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            error!(log, "node: failed"; "error" => reason);
            ExitCode::FAILURE
        }
    }
}

/// Runs a node that runs jobs.
fn jobs(path: &Path, check: bool) -> ExitCode {
    let settings = match JobSettings::from_file(path) {
        Ok(settings) => settings,
        Err(error) => return refuse(&error),
    };
    if check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    // OK because the level was checked with the other settings.
    let level = settings.log.slog_level().expect("a checked level");
    let log = logs::to_stdout(level);
    match run_jobs(path, &settings, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            error!(log, "node: failed"; "error" => reason);
            ExitCode::FAILURE
        }
    }
}

fn run_jobs(
    path: &Path,
    settings: &JobSettings,
    log: &Logger,
) -> Result<(), String> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| error.to_string())?;
    // One core at most is there, so one thread serves it best.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    runtime.block_on(async {
        let platform = &settings.platform;
        let traffic = Traffic::default();
        let client =
            |timeout_ms| Client::new(timeout_ms).with_traffic(&traffic);
        let store_address = platform.store.to_string();
        let authority = store_address
            .parse()
            .map_err(|_| format!("`{store_address}` is not an address"))?;
        let store_client = client(STORE_TIMEOUT_MS);
        let connect_timeout = Duration::from_millis(STORE_TIMEOUT_MS / 2);
        let routes = match settings.peer_address() {
            Some(own) => PeerRoutes::calling_from(own.ip(), connect_timeout),
            None => PeerRoutes::default(),
        };
        let server = PeerServer::new(
            &store_client,
            authority,
            fingerprint,
            is_store_call,
        )
        .with_max_connections(settings.max_peer_connections());
        let peers = Some(Peers { routes: routes.clone(), server });
        let store = Store::new(
            store_client.with_peers(&routes),
            &store_address,
            &platform.root,
        );
        let fleet = PartnerFleet::new(
            &store,
            client(VM_SERVICE_TIMEOUT_MS),
            &platform.vm_service.to_string(),
        )
        .with_adviser(platform.adviser.map(|a| a.to_string()));
        let order_timeout_ms =
            ORDER_TIMEOUT_MS + settings.machine.transfer_ms(BYTES_AHEAD);
        let unreadable = store.unreadable().clone();
        let workers = TaskWorkers::new(client(order_timeout_ms))
            .with_unreadable(&unreadable);
        let platform = JobPlatform {
            store,
            workers,
            fleet,
            protocol: Calls,
            readiness_path: READINESS_PATH,
            traffic,
            unreadable,
            peers,
        };
        let mut reload =
            signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let node = JobNode::start(settings, platform, Some(metrics), log)
            .await
            .map_err(|error| error.to_string())?;
        let stop = wait_for_signal();
        tokio::pin!(stop);
        loop {
            tokio::select! {
                stopped = &mut stop => {
                    stopped.map_err(|error| error.to_string())?;
                    break;
                }
                _ = reload.recv() => reread(path, settings, log),
            }
        }
        info!(log, "node: told to stop");
        node.stop().await;
        Ok(())
    })
}

/// Says what a changed settings file would mean; a running node keeps its
/// addresses, and takes new settings at its next start.
fn reread(path: &Path, settings: &JobSettings, log: &Logger) {
    match JobSettings::from_file(path) {
        Ok(new) if new == *settings => {
            info!(log, "settings: read again"; "changed" => false);
        }
        Ok(_) => info!(log, "settings: read again"; "changed" => true,
            "in_force" => "from the next start"),
        Err(error) => {
            warn!(log, "settings: refused, the old ones stay";
                "error" => %error);
        }
    }
}

fn refuse(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(2)
}

fn run(
    settings: &Settings,
    identity: &Identity,
    log: &Logger,
) -> Result<(), String> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| error.to_string())?;
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if settings.threads > 0 {
        builder.worker_threads(settings.threads);
    }
    let runtime =
        builder.enable_all().build().map_err(|error| error.to_string())?;
    runtime.block_on(async {
        let platform = Platform::from_settings(settings);
        let node =
            Node::start(settings, identity, platform, Some(metrics), log)
                .await
                .map_err(|error| error.to_string())?;
        wait_for_signal().await.map_err(|error| error.to_string())?;
        info!(log, "node: told to stop");
        node.stop().await;
        Ok(())
    })
}

async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
