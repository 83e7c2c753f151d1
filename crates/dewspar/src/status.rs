/*!
What a node that runs jobs tells its operators about teams and data halls.

The node that holds the scheduler lease knows all of it; the others say which
node that is. It contains neither keys nor payloads.

# Example

```
use dewspar::status::NodeStatus;

let text = r#"{"node": "athens-1", "holder": "athens-2"}"#;
let status: NodeStatus = serde_json::from_str(text)?;
assert_eq!(status.holder.as_deref(), Some("athens-2"));
assert!(status.scheduling.is_none());
# Ok::<(), serde_json::Error>(())
```
*/

use {
    crate::{
        hall::HallStatus,
        schedule::{EvacuatedHall, LimitedTeam, TeamStatus},
    },
    serde::{Deserialize, Serialize},
};

/// The status of a node.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct NodeStatus {
    /// The node.
    pub node: String,
    /// The node that holds the scheduler lease, as far as this one knows.
    pub holder: Option<String>,
    /// What the node knows as the holder; `None` for another node.
    pub scheduling: Option<SchedulingStatus>,
}

/// What the holder knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct SchedulingStatus {
    /// The teams.
    pub teams: Vec<TeamStatus>,
    /// The teams whose submissions are limited, by pool.
    pub limits: Vec<LimitedTeam>,
    /// The data halls with workers.
    pub halls: Vec<HallSummary>,
    /// The data halls that are being emptied.
    pub evacuated_halls: Vec<EvacuatedHallSummary>,
}

/// The state of a data hall.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct HallSummary {
    /// The hall.
    pub hall: String,
    /// The name of its state.
    pub state: String,
    /// For how long it has been in that state, in milliseconds.
    pub age_ms: u64,
    /// What the state was concluded from.
    pub evidence: String,
    /// How old the newest part of the evidence is, in milliseconds.
    pub evidence_age_ms: u64,
}

impl From<&HallStatus> for HallSummary {
    fn from(status: &HallStatus) -> HallSummary {
        HallSummary {
            hall: status.hall.clone(),
            state: status.state.name().to_owned(),
            age_ms: status.age_ms,
            evidence: status.evidence.to_owned(),
            evidence_age_ms: status.evidence_age_ms,
        }
    }
}

/// A data hall that is being emptied.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EvacuatedHallSummary {
    /// The hall.
    pub hall: String,
    /// For how long the holder has known of it, in milliseconds.
    pub age_ms: u64,
    /// The number of its workers.
    pub workers: usize,
    /// The number of their runs.
    pub runs: usize,
    /// How many of these are of long-running tasks.
    pub long_running: usize,
}

impl From<&EvacuatedHall> for EvacuatedHallSummary {
    fn from(hall: &EvacuatedHall) -> EvacuatedHallSummary {
        EvacuatedHallSummary {
            hall: hall.hall.clone(),
            age_ms: hall.age_ms,
            workers: hall.workers,
            runs: hall.runs,
            long_running: hall.long_running,
        }
    }
}
