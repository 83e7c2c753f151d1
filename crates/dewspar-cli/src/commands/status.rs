/*!
The nodes, and which revision each has in force.
*/

use {
    super::Api,
    crate::{
        exit::{Code, Error},
        output::{self, Format},
    },
    clap::Args,
    serde_json::Value,
};

/// Show the nodes and the revision that each has in force.
#[derive(Args, Debug)]
pub struct Status {
    /// How to print.
    #[arg(short, long, value_enum, default_value_t)]
    output: Format,
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
