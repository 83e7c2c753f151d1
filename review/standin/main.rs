//! Stand-ins for the platform, its workers and the callers, and the cases that
//! are played with them. Run from the repository's root.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't
//! run.

mod callers;
mod ends;
mod history;
mod http;
mod json;
mod long;
mod nodes;
mod platform;
mod record;
mod retry;
mod steps;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "ends" => ends::play(record, trouble),
        "long" => long::play(record, trouble),
        "retry" => retry::play(record, trouble),
        "steps" => steps::play(record, trouble),
        _ => Err(format!("no case is called {case}").into()),
    };
    match outcome {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            println!("the rule was broken:");
            for line in broken.iter().take(20) {
                println!("  {line}");
            }
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
