/*!
Jobs: hand one in, see how far it has come, cancel it.
*/

use {
    super::{Api, read_file},
    crate::exit::{Code, Error},
    clap::{Args, Subcommand},
    dewspar::job::JobId,
    std::time::Duration,
    tokio::time::sleep,
};

/// How often `watch` asks.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Hand jobs in, see how far they have come, cancel them.
#[derive(Args, Debug)]
pub struct Job {
    #[command(subcommand)]
    command: JobCommand,
}

#[derive(Debug, Subcommand)]
enum JobCommand {
    /// Hand a job in and print its identifier.
    Submit {
        /// The queue.
        queue: String,
        /// A file with the job in JSON, or `-` for standard input.
        #[arg(short, long, value_name = "FILE")]
        file: String,
        /// The job's identifier; left out, a new one.
        #[arg(long)]
        id: Option<JobId>,
        #[command(flatten)]
        api: Api,
    },
    /// Print how far a job has come.
    Status {
        #[command(flatten)]
        job: Named,
    },
    /// Print each phase that a job comes to, until it is over.
    Watch {
        #[command(flatten)]
        job: Named,
    },
    /// Cancel a job.
    Cancel {
        #[command(flatten)]
        job: Named,
    },
    /// Count the jobs of a queue of which nothing has started.
    Pending {
        /// The queue.
        queue: String,
        #[command(flatten)]
        api: Api,
    },
}

/// A job of a queue.
#[derive(Args, Debug)]
struct Named {
    /// The queue.
    queue: String,
    /// The job's identifier.
    id: JobId,
    #[command(flatten)]
    api: Api,
}

impl Named {
    fn path(&self) -> String {
        path(&self.queue, self.id)
    }

    async fn phase(&self) -> Result<String, Error> {
        let answer = self.api.client()?.get(&self.path()).await?;
        let phase = answer["phase"].as_str();
        Ok(phase.unwrap_or("unknown").to_owned())
    }
}

impl Job {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose code says what went wrong.
    pub async fn run(self) -> Result<Code, Error> {
        match self.command {
            JobCommand::Submit { queue, file, id, api } => {
                let document = read_file(&file)?;
                let id = id.map_or_else(new_id, Ok)?;
                let path = path(&queue, id);
                api.client()?.post(&path, document).await?;
                println!("{id}");
            }
            JobCommand::Status { job } => println!("{}", job.phase().await?),
            JobCommand::Watch { job } => return watch(&job).await,
            JobCommand::Cancel { job } => {
                job.api.client()?.delete(&job.path()).await?;
                println!("cancelled");
            }
            JobCommand::Pending { queue, api } => {
                let path = format!("/v1/queues/{queue}");
                let answer = api.client()?.get(&path).await?;
                println!("{}", answer["pending"]);
            }
        }
        Ok(Code::Success)
    }
}

fn path(queue: &str, id: JobId) -> String {
    format!("/v1/queues/{queue}/jobs/{id}")
}

/// Makes an identifier that no other job has.
fn new_id() -> Result<JobId, Error> {
    let number = rand::random::<u64>();
    format!("{number:016x}").parse().map_err(Error::failure)
}

/// Prints each phase once; fails if the job did.
async fn watch(job: &Named) -> Result<Code, Error> {
    let mut last = String::new();
    loop {
        let phase = job.phase().await?;
        if phase != last {
            println!("{phase}");
            last = phase;
        }
        match last.as_str() {
            "completed" => return Ok(Code::Success),
            "failed" | "cancelled" => return Ok(Code::Failure),
            _ => sleep(WATCH_INTERVAL).await,
        }
    }
}
