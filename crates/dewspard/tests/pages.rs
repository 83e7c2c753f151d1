//! The pages that must agree with the code.

use {
    dewspard::{counters, jobs::JobSettings, settings::Settings},
    schemars::{Schema, schema_for},
    serde_json::Value,
};

const METRICS: &str = include_str!("../../../docs/METRICS.md");
const SETTINGS: &str = include_str!("../../../docs/SETTINGS.md");
const JOB_SETTINGS: &str = include_str!("../../../docs/JOB-SETTINGS.md");

#[test]
fn metrics_page_lists_every_metric_and_no_other() {
    for metric in counters::ALL {
        let label = metric.label.unwrap_or("-");
        let row = format!(
            "| `{}` | {} | {label} | {} |",
            metric.name, metric.kind, metric.help,
        );
        assert!(METRICS.contains(&row), "missing in METRICS.md: {row}");
    }
    let rows = METRICS.lines().filter(|line| line.starts_with("| `dewspar_"));
    assert_eq!(rows.count(), counters::ALL.len());
}

#[test]
fn settings_page_lists_every_field_and_no_other() {
    assert_lists(SETTINGS, schema_for!(Settings));
}

#[test]
fn job_settings_page_lists_every_field_and_no_other() {
    assert_lists(JOB_SETTINGS, schema_for!(JobSettings));
}

/// Checks that a page has a row for each field of a type, and no other.
fn assert_lists(page: &str, schema: Schema) {
    let schema = schema.to_value();
    let mut rows = Vec::new();
    collect(&schema, &schema, "", &mut rows);
    for row in &rows {
        assert!(page.contains(row), "missing on the page: {row}");
    }
    let listed = page.lines().filter(|line| line.starts_with("| `"));
    assert_eq!(listed.count(), rows.len());
}

/// Collects a row for each field, with its description from the types.
fn collect(root: &Value, schema: &Value, path: &str, rows: &mut Vec<String>) {
    let Some(properties) = schema["properties"].as_object() else { return };
    for (name, property) in properties {
        let path = match path {
            "" => name.clone(),
            path => format!("{path}.{name}"),
        };
        let inner = resolve(root, property);
        if inner["properties"].is_object() {
            collect(root, inner, &path, rows);
            continue;
        }
        let items = resolve(root, &property["items"]);
        if items["properties"].is_object() {
            collect(root, items, &format!("{path}[]"), rows);
            continue;
        }
        let text = property["description"].as_str().unwrap_or_default();
        let text = text.split_whitespace().collect::<Vec<_>>().join(" ");
        rows.push(format!("| `{path}` | {text} |"));
    }
}

fn resolve<'a>(root: &'a Value, schema: &'a Value) -> &'a Value {
    match schema["$ref"].as_str() {
        Some(reference) => {
            let name = reference.trim_start_matches("#/$defs/");
            &root["$defs"][name]
        }
        None => schema,
    }
}
