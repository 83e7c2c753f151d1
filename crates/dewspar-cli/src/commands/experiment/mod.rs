/*!
Experiments: each measures one matter and holds it against its aims.

Every experiment ends in a line for each aim or promise, `held` or `broken`
with the figure, and its exit code is 1 when one is broken.
*/

use {
    crate::exit::{Code, Error},
    clap::{Args, Subcommand},
};

mod capacity;
mod cost;
mod fairness;
mod forward;
mod queueing;
mod retries;
mod routing;
mod urgent;

/// Measure something, and hold it against its aims.
#[derive(Args, Debug)]
pub struct Experiment {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// What each role costs a node, as slopes, and at the target's size.
    Capacity(capacity::Capacity),
    /// What one node adds to a request, against a bare forwarder.
    Forward(forward::Forward),
    /// How long requests wait for a slot, by who decides which.
    Routing(routing::Routing),
    /// Whether a partner that sends too much makes others wait.
    Fairness(fairness::Fairness),
    /// What retries add to a brown-out, and what a spoiled worker draws.
    Retries(retries::Retries),
    /// How long urgent work takes to start, also when a node is killed.
    Urgent(urgent::Urgent),
}

impl Experiment {
    /// Runs the experiment; the code is 1 when an aim was missed.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when something couldn't be started.
    pub async fn run(self) -> Result<Code, Error> {
        match self.what {
            What::Capacity(experiment) => experiment.run().await,
            What::Forward(experiment) => experiment.run().await,
            What::Routing(experiment) => experiment.run(),
            What::Fairness(experiment) => experiment.run(),
            What::Retries(experiment) => experiment.run(),
            What::Urgent(experiment) => experiment.run().await,
        }
    }
}

/// The aims of an experiment, as they are held or broken.
#[derive(Debug, Default)]
struct Aims {
    broken: u32,
}

impl Aims {
    /// Prints one aim's line.
    fn hold(&mut self, aim: &str, held: bool, figure: &str) {
        let verdict = if held { "held" } else { "broken" };
        self.broken += u32::from(!held);
        println!("aim      {aim:<44} {verdict:<7} {figure}");
    }

    fn code(&self) -> Code {
        match self.broken {
            0 => Code::Success,
            _ => Code::Failure,
        }
    }
}
