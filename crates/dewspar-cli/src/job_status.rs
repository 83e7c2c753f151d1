/*!
The status of a node that runs jobs, as it serves it beside its metrics: teams
and data halls.
*/

use {
    crate::{
        exit::Error,
        output::{self, Format},
    },
    dewspar::status::{NodeStatus, SchedulingStatus},
    dewspar_platform::{Client, check_status, empty_request},
    hyper::Method,
};

/// How long the status may take, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

/// Reads the status of the node with this metrics address.
///
/// # Errors
///
/// Returns an [`Error`] if the node can't be reached, or if what it answers
/// isn't a status.
pub async fn read(address: &str) -> Result<NodeStatus, Error> {
    let call = "read status";
    let url = format!("http://{address}/status");
    let answer = async {
        let request = empty_request(call, Method::GET, &url)?;
        let answer = Client::new(TIMEOUT_MS).send(call, request).await?;
        check_status(call, &answer)?;
        Ok::<_, dewspar_platform::Error>(answer.body)
    };
    let body = answer.await.map_err(Error::failure)?;
    serde_json::from_slice(&body).map_err(|error| {
        Error::failure(format!("the status of {address}: {error}"))
    })
}

/// Returns the status in a format.
///
/// # Errors
///
/// Returns an [`Error`] if it can't be written as JSON.
pub fn text(format: Format, status: &NodeStatus) -> Result<String, Error> {
    if format == Format::Table {
        return Ok(tables(status));
    }
    let value = serde_json::to_value(status).map_err(Error::failure)?;
    Ok(output::value(format, &value))
}

/// Returns the status as tables.
pub fn tables(status: &NodeStatus) -> String {
    let holder = status.holder.as_deref().unwrap_or("unknown");
    let mut text = format!("node {}, holder {holder}\n", status.node);
    match &status.scheduling {
        Some(scheduling) => text.push_str(&scheduling_tables(scheduling)),
        None => text.push_str("ask the holder for teams and data halls\n"),
    }
    text
}

fn scheduling_tables(scheduling: &SchedulingStatus) -> String {
    let teams = scheduling.teams.iter().map(|team| {
        vec![
            team.team.clone(),
            team.owed.to_string(),
            team.accepted.to_string(),
            team.refused.to_string(),
            team.waiting.to_string(),
            team.waiting_over_share.to_string(),
            cores(team.used.cpu_millis),
            cores(team.quota.cpu_millis),
        ]
    });
    let limits = scheduling.limits.iter().map(|limit| {
        vec![
            limit.pool.clone(),
            limit.team.clone(),
            format!(
                "{}.{}",
                limit.admitted_permille / 10,
                limit.admitted_permille % 10
            ),
            format!("{:.1}", limit.retry_after_ms as f64 / 1e3),
        ]
    });
    let halls = scheduling.halls.iter().map(|hall| {
        vec![
            hall.hall.clone(),
            hall.state.clone(),
            seconds(hall.age_ms),
            hall.evidence.clone(),
            seconds(hall.evidence_age_ms),
        ]
    });
    let evacuated = scheduling.evacuated_halls.iter().map(|hall| {
        vec![
            hall.hall.clone(),
            seconds(hall.age_ms),
            hall.workers.to_string(),
            hall.runs.to_string(),
            hall.long_running.to_string(),
        ]
    });
    [
        section(
            &[
                "TEAM",
                "OWED/S",
                "ACCEPTED/S",
                "REFUSED/S",
                "WAITING",
                "OVER SHARE",
                "CORES",
                "QUOTA",
            ],
            teams,
        ),
        section(&["POOL", "LIMITED TEAM", "ADMITTED %", "RETRY S"], limits),
        section(&["HALL", "STATE", "SECONDS", "EVIDENCE", "AGE S"], halls),
        section(
            &["EMPTIED HALL", "SECONDS", "WORKERS", "RUNS", "LONG-RUNNING"],
            evacuated,
        ),
    ]
    .concat()
}

/// Returns a table under an empty line, or nothing if it has no rows.
fn section(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let head = head.iter().map(|name| (*name).to_owned()).collect();
    let rows: Vec<Vec<String>> = std::iter::once(head).chain(rows).collect();
    if rows.len() == 1 {
        return String::new();
    }
    format!("\n{}", output::table(&rows))
}

fn cores(cpu_millis: u64) -> String {
    format!("{:.1}", cpu_millis as f64 / 1e3)
}

fn seconds(ms: u64) -> String {
    (ms / 1_000).to_string()
}
