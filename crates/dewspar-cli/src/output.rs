/*!
Output as a table, YAML or JSON.
*/

use {clap::ValueEnum, comfy_table::Table, serde_json::Value};

/// How results are printed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum Format {
    /// Columns for reading.
    #[default]
    Table,
    /// YAML documents.
    Yaml,
    /// One JSON value.
    Json,
}

/// Returns resources as text.
pub fn resources(format: Format, items: &[Value]) -> String {
    match format {
        Format::Json => pretty(&Value::Array(items.to_vec())),
        Format::Yaml => {
            let texts: Vec<String> = items.iter().map(yaml).collect();
            texts.join("---\n")
        }
        Format::Table => {
            let mut rows = vec![vec![
                "KIND".to_owned(),
                "NAME".to_owned(),
                "REVISION".to_owned(),
                "STATUS".to_owned(),
            ]];
            rows.extend(items.iter().map(row));
            table(&rows)
        }
    }
}

/// Returns one value as text; tables have a line for each field.
pub fn value(format: Format, value: &Value) -> String {
    match (format, value) {
        (Format::Json, _) => pretty(value),
        (Format::Table, Value::Object(fields)) => {
            let rows: Vec<Vec<String>> = fields
                .iter()
                .map(|(name, field)| vec![name.clone(), brief(field)])
                .collect();
            table(&rows)
        }
        _ => yaml(value),
    }
}

/// Returns rows as aligned columns; the first row is the head.
pub fn table(rows: &[Vec<String>]) -> String {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    for row in rows {
        table.add_row(row);
    }
    let text = table.to_string();
    let lines = text.lines().map(|line| line.trim_end().trim_start());
    lines.map(|line| format!("{line}\n")).collect()
}

fn row(item: &Value) -> Vec<String> {
    let text = |field: &str| match &item[field] {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    let status = brief(&item["status"]);
    vec![text("kind"), text("name"), text("revision"), status]
}

/// Returns a value on one line, without empty fields.
fn brief(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let told = fields.iter().filter(|(_, field)| !is_empty(field));
            let texts: Vec<String> = told
                .map(|(name, field)| format!("{name}={}", brief(field)))
                .collect();
            texts.join(" ")
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(brief).collect();
            texts.join("; ")
        }
        other => other.to_string(),
    }
}

fn is_empty(value: &Value) -> bool {
    match value {
        Value::Null => true,
        Value::String(text) => text.is_empty(),
        Value::Array(items) => items.is_empty(),
        Value::Object(fields) => fields.is_empty(),
        _ => false,
    }
}

fn pretty(value: &Value) -> String {
    // OK because a JSON value is always representable.
    serde_json::to_string_pretty(value).expect("a value is JSON") + "\n"
}

fn yaml(value: &Value) -> String {
    // OK because every JSON value is a YAML value.
    serde_norway::to_string(value).expect("a value is YAML")
}
