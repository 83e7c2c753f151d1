//! The daemon that every entry VM runs.

use {
    clap::Parser,
    dewspard::{
        logs,
        node::{Node, Platform},
        peer::Identity,
        settings::Settings,
    },
    metrics_exporter_prometheus::PrometheusBuilder,
    slog::{Logger, error, info},
    std::{path::PathBuf, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs one node of dewspar until it is told to stop.
///
/// Exit codes: 0 after a planned stop, 1 when the node couldn't start, 2 when
/// the settings or the command line are not valid.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    /// The settings file, in YAML.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and the files they name, and start nothing.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match Settings::from_file(&arguments.settings) {
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
