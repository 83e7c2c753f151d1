/*!
Sending requests to nodes.
*/

use {
    crate::{
        exit::{Code, Error},
        load::{self, Results},
    },
    clap::Args,
    dewspar_standin::recorder::Recorder,
    std::{fs, net::SocketAddr, path::PathBuf, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Send requests to nodes and report what came back.
///
/// Only addresses of this machine are taken.
#[derive(Args, Debug)]
pub struct Load {
    /// The nodes' caller addresses.
    #[arg(long, value_delimiter = ',', required = true)]
    nodes: Vec<SocketAddr>,
    /// The services to ask.
    #[arg(long, value_delimiter = ',', required = true)]
    services: Vec<String>,
    /// How many callers send at a time.
    #[arg(long, default_value_t = 8)]
    callers: usize,
    /// How many of a hundred requests may not be repeated.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=100))]
    filings_percent: u32,
    /// How long to send, in seconds.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// How long each caller pauses between requests, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pause_ms: u64,
    /// The seed of what happens by chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where to write the history for `dewspar check`.
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
}

impl Load {
    /// Runs the command; the code is 1 when nothing was answered.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when an address isn't on this machine.
    pub async fn run(self) -> Result<Code, Error> {
        if let Some(far) = self.nodes.iter().find(|n| !n.ip().is_loopback()) {
            let message = format!(
                "field `--nodes`: {far} isn't an address of this machine",
            );
            return Err(Error::invalid(message));
        }
        let recorder = Recorder::default();
        let mut options = load::Options::new(&self.services)
            .callers(self.callers)
            .filings_percent(self.filings_percent)
            .pause(Duration::from_millis(self.pause_ms))
            .seed(self.seed);
        if self.history.is_some() {
            options = options.recorder(recorder.clone());
        }
        let (_nodes, nodes) = watch::channel(self.nodes.clone());
        let load = load::Load::start(&options, nodes);
        sleep(Duration::from_secs(self.seconds)).await;
        let results = load.finish().await;
        print_results(&results);
        if let Some(path) = &self.history {
            fs::write(path, recorder.to_text()).map_err(Error::failure)?;
        }
        match results.ran {
            0 => Ok(Code::Failure),
            _ => Ok(Code::Success),
        }
    }
}

/// Prints what callers got.
pub(crate) fn print_results(results: &Results) {
    println!(
        "requests  {} ran, {} not run, {} unknown, {} connections broken",
        results.ran, results.not_run, results.unknown, results.broken,
    );
    println!(
        "time      {:.0}/s, p50 {} us, p99 {} us, p99.9 {} us",
        results.per_second(),
        results.quantile_us(0.5),
        results.quantile_us(0.99),
        results.quantile_us(0.999),
    );
    for (problem, count) in &results.problems {
        println!("problem   {problem}: {count}");
    }
}
