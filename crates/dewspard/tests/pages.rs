//! The pages that must agree with the code.

use {
    dewspard::{counters, jobs::JobSettings, settings::Settings},
    schemars::{Schema, schema_for},
    serde_json::Value,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

const PROMISES: &str = include_str!("../../../docs/PROMISES.md");
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

/// A use of the wrong clock shows only when a VM has been suspended, so each
/// file that reads one says which it needs and why.
#[test]
fn promises_page_names_every_file_that_reads_a_clock() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent();
    let crates = crates.expect("a folder of crates");
    let mut files = Vec::new();
    for folder in ["dewspard/src", "dewspar-platform/src", "../platform/src"] {
        files.extend(sources(&crates.join(folder)));
    }
    let reads = [
        "clock::now_ms",
        "clock::unix_ms",
        "clock::incarnation",
        "clock::suspended_ms",
        "Instant::now",
        "SystemTime::now",
        ".elapsed()",
    ];
    let mut found = 0;
    for file in files {
        if file.ends_with("dewspard/src/clock.rs") {
            continue;
        }
        let text = fs::read_to_string(&file).expect("a source file");
        let code = text.lines().filter(|l| !l.trim_start().starts_with("//"));
        let code: String = code.collect();
        if !reads.iter().any(|read| code.contains(read)) {
            continue;
        }
        found += 1;
        let path = file.to_string_lossy();
        let named = match path.split_once("dewspard/src/") {
            Some((_, path)) => format!("`{path}`"),
            None => {
                let (_, path) = path.split_once("crates/").expect("a crate");
                format!("`crates/{path}`")
            }
        };
        assert!(PROMISES.contains(&named), "missing in PROMISES.md: {named}");
    }
    assert!(found > 30, "{found} files");
}

/// Returns the source files in a folder and those in it.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            found.push(path);
        }
    }
    found
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
