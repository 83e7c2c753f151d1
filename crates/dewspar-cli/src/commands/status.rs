/*!
The nodes, which revision each has in force, and the data halls that are being
emptied.
*/

use {
    super::Api,
    crate::{
        exit::{Code, Error},
        halls, job_status,
        output::{self, Format},
    },
    clap::Args,
    dewspar_platform::{Client, check_status, empty_request},
    hyper::Method,
    serde_json::Value,
};

/// How long a metrics page may take, in milliseconds.
const METRICS_TIMEOUT_MS: u64 = 2_000;

/// Show the nodes and the revision that each has in force.
#[derive(Args, Debug)]
pub struct Status {
    /// How to print.
    #[arg(short, long, value_enum, default_value_t)]
    output: Format,
    /// Show the data halls that are being emptied instead, from the metrics
    /// page of a node that runs jobs.
    #[arg(long, value_name = "HOST:PORT")]
    metrics: Option<String>,
    /// Show teams and data halls instead, from the metrics address of a node
    /// that runs jobs.
    #[arg(long, value_name = "HOST:PORT", conflicts_with = "metrics")]
    jobs: Option<String>,
    #[command(flatten)]
    api: Api,
}

impl Status {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the node can't be reached.
    pub async fn run(self) -> Result<Code, Error> {
        if let Some(address) = &self.jobs {
            let status = job_status::read(address).await?;
            print!("{}", job_status::text(self.output, &status)?);
            return Ok(Code::Success);
        }
        if let Some(address) = &self.metrics {
            print!("{}", evacuated_halls(address).await?);
            return Ok(Code::Success);
        }
        let status = self.api.client()?.get("/v1/status").await?;
        if self.output != Format::Table {
            print!("{}", output::value(self.output, &status));
            return Ok(Code::Success);
        }
        println!(
            "revision {} at {}, reach {}",
            status["revision"], status["node"], status["freshness"],
        );
        let mut rows =
            vec![["NODE", "HALL", "LIVE", "REVISION"].map(str::to_owned)];
        let nodes = status["nodes"].as_array().cloned().unwrap_or_default();
        rows.extend(nodes.iter().map(|node| {
            ["name", "hall", "live", "revision"].map(|field| {
                match &node[field] {
                    Value::String(text) => text.clone(),
                    Value::Null => "unknown".to_owned(),
                    other => other.to_string(),
                }
            })
        }));
        let rows: Vec<Vec<String>> = rows.into_iter().map(Vec::from).collect();
        print!("{}", output::table(&rows));
        Ok(Code::Success)
    }
}

/// Returns a table of the data halls that are being emptied.
async fn evacuated_halls(address: &str) -> Result<String, Error> {
    let call = "read metrics";
    let url = format!("http://{address}/metrics");
    let page = async {
        let request = empty_request(call, Method::GET, &url)?;
        let answer =
            Client::new(METRICS_TIMEOUT_MS).send(call, request).await?;
        check_status(call, &answer)?;
        Ok::<_, dewspar_platform::Error>(answer.body)
    };
    let page = page.await.map_err(Error::failure)?;
    let mut rows = vec![
        vec!["HALL", "SECONDS", "RUNS"]
            .into_iter()
            .map(str::to_owned)
            .collect(),
    ];
    let page = String::from_utf8_lossy(&page);
    rows.extend(halls::read(&page).into_iter().map(|(name, hall)| {
        vec![name, hall.seconds.to_string(), hall.runs.to_string()]
    }));
    Ok(output::table(&rows))
}
