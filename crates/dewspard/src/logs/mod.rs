/*!
Logs: short sentences, each with the fixed prefix of the part that speaks.

# Example

```
use dewspard::logs::{self, Format};

let root = logs::discard();
let log = logs::part(&root, "journal");
slog::info!(log, "partition loaded"; "partition" => 3);
assert_eq!("json".parse(), Ok(Format::Json));
```
*/

pub use self::batched::BatchedWriter;

use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    slog::{Drain, Level, Logger, o},
    std::{io, str::FromStr, sync::Mutex},
};

mod batched;

/// How log lines look.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    JsonSchema,
    PartialEq,
    Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// For reading on a terminal.
    #[default]
    Terminal,
    /// One JSON object a line.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "terminal" => Ok(Format::Terminal),
            "json" => Ok(Format::Json),
            _ => Err(format!("`{text}` is neither terminal nor json")),
        }
    }
}

/// How many lines may wait to be written; those beyond are dropped and
/// counted, so that a reader that stalls never holds up the node.
const MAX_WAITING_LINES: usize = 4_096;

/// Makes a root logger that writes JSON lines to standard output.
pub fn to_stdout(level: Level) -> Logger {
    let drain = slog_json::Json::new(BatchedWriter::new(io::stdout()))
        .add_default_keys()
        .set_flush(false)
        .build();
    finish(Mutex::new(drain).fuse(), level)
}

/// Makes the root logger, which writes to standard error.
pub fn root(format: Format, level: Level) -> Logger {
    match format {
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build();
            finish(drain.fuse(), level)
        }
        Format::Json => {
            let drain = slog_json::Json::default(io::stderr());
            finish(Mutex::new(drain).fuse(), level)
        }
    }
}

/// Makes a root logger that writes nothing.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Makes the logger of one part, whose lines carry its prefix.
pub fn part(root: &Logger, part: &'static str) -> Logger {
    root.new(o!("part" => part))
}

fn finish<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(MAX_WAITING_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain.filter_level(level).fuse(), o!())
}
