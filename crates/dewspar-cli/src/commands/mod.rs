/*!
The commands, one module each.
*/

use {
    crate::{
        client::Client,
        exit::{Code, Error},
    },
    clap::Args,
    dewspar::history::{Promise, Report},
    std::{fs, path::PathBuf},
};

pub mod check;
pub mod demo;
mod demo_jobs;
pub mod experiment;
pub mod explain;
pub mod job;
pub mod load;
pub mod replay;
pub mod resources;
pub mod standin;
pub mod status;

/// Which node to talk to, and as whom.
#[derive(Args, Clone, Debug)]
pub struct Api {
    /// The URL of a node's API.
    #[arg(
        long,
        env = "DEWSPAR_API",
        default_value = "http://127.0.0.1:8081",
        value_name = "URL"
    )]
    api: String,
    /// A file with the operator's token.
    #[arg(long, env = "DEWSPAR_TOKEN_FILE", value_name = "FILE")]
    token_file: Option<PathBuf>,
}

impl Api {
    /// Makes the client.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the token's file can't be read.
    pub fn client(&self) -> Result<Client, Error> {
        let token = self.token_file.as_ref().map(|path| {
            fs::read_to_string(path).map_err(|error| {
                Error::invalid(format!("{}: {error}", path.display()))
            })
        });
        let token = token.transpose()?;
        Ok(Client::new(&self.api, token.as_deref().map(str::trim)))
    }
}

/// Reads a file, or standard input for `-`.
fn read_file(path: &str) -> Result<String, Error> {
    let text = match path {
        "-" => std::io::read_to_string(std::io::stdin()),
        path => fs::read_to_string(path),
    };
    text.map_err(|error| Error::invalid(format!("{path}: {error}")))
}

/// Prints one line for each promise; the code says whether all held.
pub(crate) fn print_report(report: &Report) -> Code {
    for promise in Promise::ALL {
        let finding = report.get(promise);
        let verdict = match (finding.checks(), finding.violations()) {
            (_, broken) if broken > 0 => "broken",
            (0, _) => "not tested",
            _ => "held",
        };
        println!(
            "promise  {:<14} {verdict:<10} tested {:>7}  broken {}",
            promise.as_str(),
            finding.checks(),
            finding.violations(),
        );
        if let Some(first) = finding.first_violation() {
            println!("         {first}");
        }
    }
    match report.holds() {
        true => Code::Success,
        false => Code::Failure,
    }
}
