/*!
State charts, kept in files and interpreted.

What a VM, a task, a wave or a request may do next is written in
the `charts` folder, a file each. The code asks the chart, so the file an
operator reads is the rule the system follows. An event that a state doesn't
name is refused there by name.

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

/// Why an event was refused.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// chart {chart} refuses event `{event}` in state `{state}`, which takes only {taken}
    Refused {
        /// The chart's name.
        chart: String,
        /// The refused event.
        event: String,
        /// The state it arrived in.
        state: String,
        /// The events which that state takes.
        taken: String,
    },
    /// chart {chart} has no state `{state}`
    UnknownState {
        /// The chart's name.
        chart: String,
        /// The state asked for.
        state: String,
    },
}

impl std::error::Error for Error {}

/// A state chart.
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

    /// Returns every chart that the library interprets.
    pub fn all() -> [&'static Chart; 4] {
        [Chart::vm(), Chart::task(), Chart::wave(), Chart::request()]
    }

    /// Returns the chart's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the state that everything starts in.
    pub fn initial(&self) -> &str {
        &self.initial
    }

    /// Returns the states' names.
    pub fn states(&self) -> impl Iterator<Item = &str> {
        self.states.keys().map(String::as_str)
    }

    /// Returns the events that a state takes, with the state each leads to.
    pub fn events(&self, state: &str) -> impl Iterator<Item = (&str, &str)> {
        self.states
            .get(state)
            .into_iter()
            .flatten()
            .map(|(event, next)| (event.as_str(), next.as_str()))
    }

    /// Returns the state that an event leads to.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when the state doesn't take the event.
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

    /// Returns the states that can be reached from the initial one.
    pub fn reachable(&self) -> BTreeSet<&str> {
        let mut reached = BTreeSet::from([self.initial.as_str()]);
        let mut open = vec![self.initial.as_str()];
        while let Some(state) = open.pop() {
            for (_, next) in self.events(state) {
                if reached.insert(next) {
                    open.push(next);
                }
            }
        }
        reached
    }

    /// Returns the chart as text, one line for each move.
    pub fn diagram(&self) -> String {
        let mut lines =
            vec![format!("{} (starts in {})", self.name, self.initial)];
        for state in self.states() {
            let mut moves = self.events(state).peekable();
            if moves.peek().is_none() {
                lines.push(format!("  {state} (end)"));
            }
            for (event, next) in moves {
                lines.push(format!("  {state} --{event}--> {next}"));
            }
        }
        lines.join("\n") + "\n"
    }
}
