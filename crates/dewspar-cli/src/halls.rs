/*!
The data halls that are being emptied, as a node's metrics page tells them.

Only the node that schedules knows them; on any other there are none.
*/

use std::collections::BTreeMap;

/// The gauges that tell them.
const SECONDS: &str = "dewspar_evacuated_hall_seconds";
const RUNS: &str = "dewspar_evacuated_hall_runs";

/// A data hall that is being emptied.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hall {
    /// For how long it has been emptied, in seconds.
    pub seconds: f64,
    /// How many runs are still there.
    pub runs: f64,
}

/// Reads the halls that are being emptied from a page of metrics.
///
/// # Example
///
/// ```
/// let halls = dewspar_cli::halls::read(
///     "# TYPE dewspar_evacuated_hall_runs gauge\n\
///      dewspar_evacuated_hall_runs{hall=\"hall-2\"} 3\n\
///      dewspar_evacuated_hall_seconds{hall=\"hall-1\"} 0\n\
///      dewspar_evacuated_hall_seconds{hall=\"hall-2\"} 4.5\n",
/// );
/// assert_eq!(halls.len(), 1);
/// assert_eq!((halls["hall-2"].seconds, halls["hall-2"].runs), (4.5, 3.0));
/// ```
pub fn read(page: &str) -> BTreeMap<String, Hall> {
    let mut halls: BTreeMap<String, Hall> = BTreeMap::new();
    for line in page.lines() {
        if let Some((hall, seconds)) = gauge(line, SECONDS) {
            halls.entry(hall).or_default().seconds = seconds;
        } else if let Some((hall, runs)) = gauge(line, RUNS) {
            halls.entry(hall).or_default().runs = runs;
        }
    }
    halls.retain(|_, hall| hall.seconds > 0.0);
    halls
}

/// Returns the hall and the value of a line with this gauge.
fn gauge(line: &str, name: &str) -> Option<(String, f64)> {
    let labels = line.strip_prefix(name)?.strip_prefix("{hall=\"")?;
    let (hall, value) = labels.split_once("\"} ")?;
    Some((hall.to_owned(), value.parse().ok()?))
}
