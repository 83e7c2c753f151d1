/*!
What really happened, written down as it happens.

# Example

```
use {
    dewspar::history::{Event, MarkedBy},
    dewspar_standin::recorder::Recorder,
};

let recorder = Recorder::default();
let vm = "vm-1".to_owned();
recorder.record(Event::Leaving { vm, by: MarkedBy::List });
assert_eq!(recorder.lines().len(), 1);
```
*/

use {
    dewspar::history::{Event, Line},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Instant,
    },
};

/// A history in the making; clones write into the same one.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder { start: Instant::now(), lines: Arc::default() }
    }
}

impl Recorder {
    /// Writes an event down.
    pub fn record(&self, event: Event) {
        let mut lines =
            self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        // Taken under the lock, so that times never go back.
        let at_ms = self.elapsed_ms();
        lines.push(Line { at_ms, event });
    }

    /// Returns the milliseconds since the recorder was made.
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns all that was written down so far.
    pub fn lines(&self) -> Vec<Line> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the history as text, one event a line.
    pub fn to_text(&self) -> String {
        let lines = self.lines();
        let texts = lines.iter().map(|line| {
            // OK because events hold only strings, numbers and booleans.
            serde_json::to_string(line).expect("an event is always JSON")
        });
        texts.map(|text| text + "\n").collect()
    }
}
