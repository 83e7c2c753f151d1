//! The command line of dewspar.

use {
    clap::{CommandFactory, Parser, Subcommand},
    clap_complete::Shell,
    dewspar_cli::{
        commands::{
            check, demo, experiment, explain, job, load, replay, resources,
            standin, status,
        },
        exit::{Code, Error},
    },
    std::process::ExitCode,
};

/// Drives dewspar: writes desired state, reads it, and tries things out.
///
/// Exit codes: 0 success; 1 something failed or a promise was broken; 2 the
/// command line or a document is not valid; 3 somebody else changed the
/// resource first; 4 there is no such resource; 5 the node or the platform
/// can't be reached; 6 the token is missing or not good enough.
#[derive(Debug, Parser)]
#[command(name = "dewspar", version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Create or replace the resources in a file, all or none.
    Apply(resources::Apply),
    /// Show what `apply` would change.
    Diff(resources::Diff),
    /// Read resources, VMs or tasks.
    Get(resources::Get),
    /// Follow changes of the desired state.
    Watch(resources::Watch),
    /// Remove a resource.
    Delete(resources::Delete),
    /// Say why something is as it is.
    Explain(explain::Explain),
    /// Show the nodes and the revision that each has in force.
    Status(status::Status),
    /// Hand jobs in, see how far they have come, cancel them.
    Job(job::Job),
    /// Run a whole fleet in this process and report on the promises.
    Demo(demo::Demo),
    /// Send requests to nodes and report what came back.
    Load(load::Load),
    /// Run a recorded trace against a fleet and check its stated outcome.
    Replay(replay::Replay),
    /// Check every promise on a recorded history.
    Check(check::Check),
    /// Measure something, and hold it against its aims.
    Experiment(experiment::Experiment),
    /// Run stand-ins for the platform and the targets.
    Standin(standin::Standin),
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(arguments.command) {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("dewspar: {error}");
            error.code().into()
        }
    }
}

fn run(command: Command) -> Result<Code, Error> {
    if let Command::Completions { shell } = command {
        let mut command = Arguments::command();
        let name = command.get_name().to_owned();
        clap_complete::generate(
            shell,
            &mut command,
            name,
            &mut std::io::stdout(),
        );
        return Ok(Code::Success);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(Error::failure)?;
    runtime.block_on(async {
        match command {
            Command::Apply(command) => command.run().await,
            Command::Diff(command) => command.run().await,
            Command::Get(command) => command.run().await,
            Command::Watch(command) => command.run().await,
            Command::Delete(command) => command.run().await,
            Command::Explain(command) => command.run().await,
            Command::Status(command) => command.run().await,
            Command::Job(command) => command.run().await,
            Command::Demo(command) => command.run().await,
            Command::Load(command) => command.run().await,
            Command::Replay(command) => command.run().await,
            Command::Check(command) => command.run(),
            Command::Experiment(command) => command.run().await,
            Command::Standin(command) => command.run().await,
            Command::Completions { .. } => Ok(Code::Success),
        }
    })
}
