/*!
Why something is as it is.
*/

use {
    super::{Api, resources::canonical},
    crate::exit::{Code, Error},
    clap::Args,
    dewspar::chart::Chart,
};

/// Say why something is as it is.
///
/// `explain chart vm` prints a state chart and needs no node. `explain
/// refusal queue-full` says what a caller's problem means.
#[derive(Args, Debug)]
pub struct Explain {
    /// A kind, `chart` or `refusal`.
    kind: String,
    /// The name.
    name: String,
    #[command(flatten)]
    api: Api,
}

/// What each refusal means, and what to do about it.
const REFUSALS: &[(&str, &str)] = &[
    (
        "not-ready",
        "The node can't be sure of its configuration, or stops. Ask another node.",
    ),
    (
        "no-service",
        "No service of that name is in force. Look at `dewspar get service`.",
    ),
    (
        "no-runner",
        "No runner of the service is up. Look at `dewspar explain service NAME`.",
    ),
    (
        "queue-full",
        "Too many requests of this partner wait. Come back when told.",
    ),
    (
        "too-late",
        "The deadline would pass before a slot is free. Come back when told, or allow more time.",
    ),
    (
        "deadline-passed",
        "The deadline passed before the request was sent to a runner.",
    ),
    (
        "no-memory",
        "The requests of all callers take too much memory. Come back when told.",
    ),
    (
        "retry-budget",
        "Too many requests are being sent again. The targets are failing.",
    ),
    (
        "journal-out",
        "The platform can't be written, so filings can't be kept from running twice. Nothing was run.",
    ),
    (
        "bad-key",
        "A request that may not be repeated needs an `idempotency-key`, a version 7 UUID. `GET /-/key` gives one.",
    ),
    ("key-reused", "The key belongs to another request."),
    (
        "key-too-old",
        "The key is older than the time for which keys are remembered, so nobody can say whether it ran.",
    ),
    (
        "key-too-new",
        "The key's time lies in the future. Look at the caller's clock.",
    ),
    (
        "in-progress",
        "Another attempt with this key is under way. Ask again when told.",
    ),
    (
        "in-doubt",
        "The node that took the filing is gone, and may have run it. Ask the target before filing again under a new key.",
    ),
    (
        "timeout",
        "The runner didn't answer before the deadline. It may have run the request.",
    ),
    ("stopping", "The node stops. Ask another node."),
    (
        "bad-deadline",
        "`dewspar-deadline-ms` must be a whole number of milliseconds.",
    ),
    (
        "bad-body",
        "The body can't be read whole, or is larger than `callers.max_body_bytes`.",
    ),
];

impl Explain {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when there is nothing of that name.
    pub async fn run(self) -> Result<Code, Error> {
        match self.kind.as_str() {
            "chart" => chart(&self.name),
            "refusal" => refusal(&self.name),
            _ => self.ask().await,
        }
    }

    async fn ask(self) -> Result<Code, Error> {
        let client = self.api.client()?;
        let kind = canonical(&self.kind)?;
        let path = format!("/v1/explain/{kind}/{}", self.name);
        let answer = client.get(&path).await?;
        let lines = answer["explanation"].as_array().cloned();
        for line in lines.unwrap_or_default() {
            println!("{}", line.as_str().unwrap_or_default());
        }
        Ok(Code::Success)
    }
}

fn chart(name: &str) -> Result<Code, Error> {
    let charts = Chart::all();
    match charts.iter().find(|chart| chart.name() == name) {
        Some(chart) => {
            print!("{}", chart.diagram());
            Ok(Code::Success)
        }
        None => {
            let names = charts.map(Chart::name).join(", ");
            let message =
                format!("no chart `{name}`, expected one of {names}");
            Err(Error::new(Code::NotFound, message))
        }
    }
}

fn refusal(name: &str) -> Result<Code, Error> {
    match REFUSALS.iter().find(|(reason, _)| *reason == name) {
        Some((_, meaning)) => {
            println!("{meaning}");
            Ok(Code::Success)
        }
        None => {
            let names: Vec<&str> = REFUSALS.iter().map(|r| r.0).collect();
            let message = format!(
                "no refusal `{name}`, expected one of {}",
                names.join(", "),
            );
            Err(Error::new(Code::NotFound, message))
        }
    }
}
