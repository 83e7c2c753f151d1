/*!
Lines of the nodes' logs: JSON objects with a time and a message.
*/

use {
    chrono::DateTime,
    serde_json::{Map, Value},
};

/// Fields that every line has, or that its story is about.
const NOT_SHOWN: [&str; 6] = ["msg", "level", "ts", "part", "node", "job"];

/// One line of a log.
#[derive(Clone, Debug)]
pub struct Line {
    at: String,
    node: String,
    message: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; what stands before the object is passed over.
    ///
    /// Returns `None` for what isn't a JSON object with a time and a message.
    pub fn read(text: &str) -> Option<Line> {
        let text = text.get(text.find('{')?..)?;
        let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
        let text = |name: &str| {
            fields.get(name).and_then(Value::as_str).map(str::to_owned)
        };
        // Without its end, times of any precision sort as texts.
        let at = text("ts")?.trim_end_matches('Z').to_owned();
        let message = text("msg")?;
        let node = text("node").unwrap_or_default();
        Some(Line { at, node, message, fields })
    }

    /// Returns the time as it was written, without the letter at its end.
    pub fn at(&self) -> &str {
        &self.at
    }

    /// Returns the time in milliseconds of the Unix epoch; `None` for one
    /// that can't be read.
    pub fn at_ms(&self) -> Option<i64> {
        let at = DateTime::parse_from_rfc3339(&format!("{}Z", self.at));
        Some(at.ok()?.timestamp_millis())
    }

    /// Returns the message.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the node that wrote the line; empty where it doesn't say.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Returns a field's text; empty where there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns a field's whole number; 0 where there is none.
    pub fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Returns a field's whole number, if there is one.
    pub fn known_number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Returns a field's number; 0 where there is none.
    pub fn float(&self, name: &str) -> f64 {
        self.fields.get(name).and_then(Value::as_f64).unwrap_or(0.0)
    }

    /// Returns whether a field is there and true.
    pub fn is_true(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool).unwrap_or(false)
    }

    /// Returns the line as one text: time of day, node, message, fields.
    pub fn to_text(&self) -> String {
        let time = self.at.split_once('T').map_or("", |(_, time)| time);
        let mut text =
            format!("{:<18} {:<16} {}", time, self.node, self.message);
        for (name, value) in &self.fields {
            if NOT_SHOWN.contains(&name.as_str()) || value.is_null() {
                continue;
            }
            let value = match value {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            };
            text.push_str(&format!("  {name}={value}"));
        }
        text
    }
}
