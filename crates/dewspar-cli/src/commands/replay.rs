/*!
Replaying a trace.
*/

use {
    super::{load::print_results, print_report, read_file},
    crate::{
        exit::{Code, Error},
        trace::{self, Trace},
    },
    clap::Args,
    dewspard::logs::{self, Format},
    std::{fs, path::PathBuf},
};

/// Run a recorded trace against a fleet and check its stated outcome.
///
/// The fleet runs in this process, with stand-ins for the platform and the
/// targets, as in the demo.
#[derive(Args, Debug)]
pub struct Replay {
    /// The trace's file.
    trace: String,
    /// Where to write the history for `dewspar check`.
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// Show the nodes' logs.
    #[arg(long)]
    verbose: bool,
}

impl Replay {
    /// Runs the command; the code is 1 when a promise was broken or the
    /// outcome was another.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the trace isn't valid or the fleet didn't
    /// come up.
    pub async fn run(self) -> Result<Code, Error> {
        let trace = Trace::from_yaml(&read_file(&self.trace)?)?;
        let log = match self.verbose {
            true => logs::root(Format::Terminal, slog::Level::Info),
            false => logs::discard(),
        };
        println!("trace     {}", trace.about());
        let outcome = trace::run(&trace, log).await?;
        print_results(&outcome.results);
        println!(
            "measures  {} VMs maintained, {} tasks moved",
            outcome.measures.maintained, outcome.measures.task_moves,
        );
        if let Some(path) = &self.history {
            fs::write(path, &outcome.history).map_err(Error::failure)?;
        }
        print_report(&outcome.report);
        for missed in &outcome.missed {
            println!("outcome  missed: {missed}");
        }
        match outcome.holds() {
            true => {
                println!("outcome  as stated");
                Ok(Code::Success)
            }
            false => Ok(Code::Failure),
        }
    }
}
