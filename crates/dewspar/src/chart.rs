/*!
State machines, defined in files and interpreted at run time.

The life cycles of a VM, a task, a maintenance wave and a request are state
charts in the `charts` folder, one file each. The code looks transitions up in
the chart, so the file that an operator reads is the definition that the system
follows. An event that the current state doesn't list is refused with an error
that names it.

# Example

```
use dewspar::chart::Chart;

let vm = Chart::vm();
assert_eq!(vm.next("serving", "drain")?, "draining");
assert_eq!(
    vm.next("serving", "booted").unwrap_err().to_string(),
    "chart vm refuses event `booted` in state `serving`, \
     which takes only drain, lose",
);
# Ok::<(), dewspar::chart::Error>(())
```
*/

use {
    displaydoc::Display,
    serde::Deserialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::LazyLock,
    },
};

/// The reason that an event was refused.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// chart {chart} refuses event `{event}` in state `{state}`, which takes only {taken}
    Refused {
        /// The chart's name.
        chart: String,
        /// The refused event.
        event: String,
        /// The state in which the event arrived.
        state: String,
        /// The events that the state accepts.
        taken: String,
    },
    /// chart {chart} has no state `{state}`
    UnknownState {
        /// The chart's name.
        chart: String,
        /// The unknown state.
        state: String,
    },
}

impl std::error::Error for Error {}

/// A state machine: states, and the transitions between them by event.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    name: String,
    initial: String,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

macro_rules! chart {
    ($summary:literal, $name:ident) => {
        #[doc = $summary]
        pub fn $name() -> &'static Chart {
            static CHART: LazyLock<Chart> = LazyLock::new(|| {
                let file = concat!("../charts/", stringify!($name), ".yaml");
                let text = include_str!(concat!(
                    "../charts/",
                    stringify!($name),
                    ".yaml"
                ));
                // OK because the file is part of the build and tested.
                serde_norway::from_str(text).expect(file)
            });
            &CHART
        }
    };
}

impl Chart {
    chart!("Returns the chart of a VM.", vm);
    chart!("Returns the chart of a task.", task);
    chart!("Returns the chart of a maintenance wave.", wave);
    chart!("Returns the chart of a caller's request.", request);

    /// Returns all charts that the library interprets.
    pub fn all() -> [&'static Chart; 4] {
        [Chart::vm(), Chart::task(), Chart::wave(), Chart::request()]
    }

    /// Returns the chart's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the initial state.
    pub fn initial(&self) -> &str {
        &self.initial
    }

    /// Returns the names of the states.
    pub fn states(&self) -> impl Iterator<Item = &str> {
        self.states.keys().map(String::as_str)
    }

    /// Returns the events that a state accepts, each with the next state.
    pub fn events(&self, state: &str) -> impl Iterator<Item = (&str, &str)> {
        self.states
            .get(state)
            .into_iter()
            .flatten()
            .map(|(event, next)| (event.as_str(), next.as_str()))
    }

    /// Returns the state that follows `state` on an event.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when the state doesn't accept the event, and
    /// [`Error::UnknownState`] when the chart has no such state.
    pub fn next(&self, state: &str, event: &str) -> Result<&str, Error> {
        let Some(events) = self.states.get(state) else {
            return Err(Error::UnknownState {
                chart: self.name.clone(),
                state: state.to_owned(),
            });
        };
        events.get(event).map(String::as_str).ok_or_else(|| {
            let taken: Vec<&str> = events.keys().map(String::as_str).collect();
            Error::Refused {
                chart: self.name.clone(),
                event: event.to_owned(),
                state: state.to_owned(),
                taken: taken.join(", "),
            }
        })
    }

    /// Returns the states that are reachable from the initial state.
    pub fn reachable(&self) -> BTreeSet<&str> {
        let mut reached = BTreeSet::from([self.initial.as_str()]);
        let mut pending = vec![self.initial.as_str()];
        while let Some(state) = pending.pop() {
            for (_, next) in self.events(state) {
                if reached.insert(next) {
                    pending.push(next);
                }
            }
        }
        reached
    }

    /// Returns the chart as text, one line per transition.
    pub fn diagram(&self) -> String {
        let mut lines =
            vec![format!("{} (starts in {})", self.name, self.initial)];
        for state in self.states() {
            let mut transitions = self.events(state).peekable();
            if transitions.peek().is_none() {
                lines.push(format!("  {state} (end)"));
            }
            for (event, next) in transitions {
                lines.push(format!("  {state} --{event}--> {next}"));
            }
        }
        lines.join("\n") + "\n"
    }
}
