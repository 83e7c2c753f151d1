/*!
Jobs: hand one in, see how far it has come, cancel it, explain it.
*/

use {
    super::{Api, read_file},
    crate::{
        delays::{self, Delays},
        exit::{Code, Error},
        story::Story,
    },
    clap::{Args, Subcommand},
    dewspar::job::JobId,
    std::{
        fs,
        path::{Path, PathBuf},
        time::Duration,
    },
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
    /// List the jobs of a queue that aren't over.
    List {
        /// The queue.
        queue: String,
        #[command(flatten)]
        api: Api,
    },
    /// Tell a job's story from the nodes' logs; no node is asked.
    Explain {
        /// The job's identifier.
        id: JobId,
        /// The logs of all nodes, or `-` for standard input.
        #[arg(required = true, value_name = "LOG")]
        logs: Vec<String>,
    },
    /// Say where the time of late, refused and failed jobs went, from the
    /// nodes' logs; no node is asked.
    Delays {
        /// The logs of all nodes, or `-` for standard input.
        #[arg(required = true, value_name = "LOG")]
        logs: Vec<String>,
        /// Where a picture is written as well, as SVG.
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
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
            JobCommand::List { queue, api } => list(&queue, &api).await?,
            JobCommand::Explain { id, logs } => return explain(id, &logs),
            JobCommand::Delays { logs, plot } => {
                delays(&logs, plot.as_deref())?;
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

/// Prints each job of a queue that isn't over, and its phase.
async fn list(queue: &str, api: &Api) -> Result<(), Error> {
    let path = format!("/v1/queues/{queue}/jobs");
    let answer = api.client()?.get(&path).await?;
    for job in answer["jobs"].as_array().into_iter().flatten() {
        let text = |name: &str| job[name].as_str().unwrap_or("unknown");
        println!("{}  {}", text("id"), text("phase"));
    }
    Ok(())
}

/// Prints what the logs say of a job; fails if they don't name it.
fn explain(id: JobId, logs: &[String]) -> Result<Code, Error> {
    let texts = read_logs(logs)?;
    let story = Story::read(texts.iter().flat_map(|text| text.lines()), id);
    if story.lines().is_empty() {
        let message = format!("no line of these logs names job {id}");
        return Err(Error::new(Code::NotFound, message));
    }
    for line in story.lines() {
        println!("{}", line.to_text());
    }
    println!("{}", story.summary());
    Ok(Code::Success)
}

/// Prints where the time of jobs went, and draws it.
fn delays(logs: &[String], plot: Option<&Path>) -> Result<(), Error> {
    let texts = read_logs(logs)?;
    let delays = Delays::read(texts.iter().flat_map(|text| text.lines()));
    if delays.jobs().is_empty() {
        let message = "these logs hold no job that was handed in";
        return Err(Error::new(Code::NotFound, message));
    }
    println!("{}", delays.to_text());
    if let Some(path) = plot {
        let picture = delays::plot::svg(&delays).map_err(Error::failure)?;
        fs::write(path, picture).map_err(|error| {
            Error::failure(format!("{}: {error}", path.display()))
        })?;
    }
    Ok(())
}

fn read_logs(logs: &[String]) -> Result<Vec<String>, Error> {
    logs.iter().map(|path| read_file(path)).collect()
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
