/*!
Settings: one YAML file per node, checked as a whole before anything starts.

Unknown fields are refused, and every problem is reported at once with the
path of its field. Each field carries its unit; `docs/SETTINGS.md` lists them
with their defaults and bounds, and a test compares that page with the types.

# Example

```
use dewspard::settings::Settings;

let error = Settings::from_yaml("
node: athens-1
hall: hall-1
callers: {address: 127.0.0.1:8080, max_deadline_ms: 0}
api: {address: 127.0.0.1:8080}
peers: {address: 127.0.0.1:8082, ca_file: a, certificate_file: b, key_file: c}
platform: {url: 'http://127.0.0.1:2379', vm_list_url: 'http://127.0.0.1:1'}
").unwrap_err();
assert_eq!(
    error.to_string(),
    "settings are not valid:\n\
     - field `callers.max_deadline_ms` is 0, but must be 1 to 600000\n\
     - field `api.address` is 127.0.0.1:8080, which \
     `callers.address` has already\n\
     - field `api.operators` is empty: name an operator, or set \
     `api.allow_anonymous`",
);
```
*/

use {
    crate::logs::Format,
    displaydoc::Display,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// Why settings were refused.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// settings file `{path}` can't be read: {error}
    Unreadable {
        /// The file's path.
        path: String,
        /// What went wrong.
        error: io::Error,
    },
    /// settings are not valid:{0}
    Invalid(Problems),
}

impl std::error::Error for Error {}

/// Everything that is wrong with some settings.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct Problems(Vec<String>);

impl std::fmt::Display for Problems {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|problem| write!(f, "\n- {problem}"))
    }
}

impl Problems {
    pub(crate) fn add(&mut self, field: &str, problem: &str) {
        self.0.push(format!("field `{field}` {problem}"));
    }

    pub(crate) fn check(
        &mut self,
        field: &str,
        value: u64,
        least: u64,
        most: u64,
    ) {
        if value < least || value > most {
            let problem = format!("is {value}, but must be {least} to {most}");
            self.add(field, &problem);
        }
    }

    pub(crate) fn check_level(&mut self, log: &Log) {
        if log.slog_level().is_none() {
            let problem = "must be error, warning, info or debug";
            self.add("log.level", problem);
        }
    }

    pub(crate) fn into_result(self) -> Result<(), Error> {
        if self.0.is_empty() { Ok(()) } else { Err(Error::Invalid(self)) }
    }
}

/// A node's settings.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name, unique among the entry VMs.
    pub node: String,
    /// The data hall that the node is in.
    pub hall: String,
    /// Where callers reach the node.
    pub callers: Callers,
    /// Where operators reach the node.
    pub api: Api,
    /// Where other nodes reach the node.
    pub peers: Peers,
    /// Where the node reaches the platform.
    pub platform: Platform,
    /// What the node logs.
    #[serde(default)]
    pub log: Log,
    /// How many threads serve; 0 takes one per core.
    #[serde(default)]
    pub threads: usize,
}

/// Where callers reach the node.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// The address to listen at.
    pub address: SocketAddr,
    /// The largest request body, in bytes (default 1048576, 1 to 67108864).
    #[serde(default = "mebibyte")]
    pub max_body_bytes: u64,
    /// The largest head of a request, in bytes (default 131072, 8192 to
    /// 1048576).
    #[serde(default = "hundred_and_28_kibibytes")]
    pub max_head_bytes: u64,
    /// How many connections callers may keep open (default 4096, 1 to
    /// 1048576).
    #[serde(default = "four_kibi")]
    pub max_connections: u64,
    /// How much memory the requests of all callers may take, in bytes (default
    /// 134217728, 1048576 to 1099511627776).
    #[serde(default = "hundred_and_28_mebibytes")]
    pub max_memory_bytes: u64,
    /// The largest answer body, in bytes (default 8388608, 1 to 67108864).
    #[serde(default = "eight_mebibytes")]
    pub max_answer_bytes: u64,
    /// The deadline of a request that names none, in milliseconds (default
    /// 10000, 1 to 600000).
    #[serde(default = "ten_seconds_ms")]
    pub default_deadline_ms: u64,
    /// The latest deadline that a request may name, in milliseconds (default
    /// 30000, 1 to 600000).
    #[serde(default = "thirty_seconds_ms")]
    pub max_deadline_ms: u64,
    /// How many requests of one partner may wait for one service (default
    /// 1000, 1 to 100000).
    #[serde(default = "thousand")]
    pub max_waiting: u64,
    /// How long the node goes on accepting callers after it stopped being
    /// ready, in milliseconds (default 3000, 0 to 600000).
    #[serde(default = "three_seconds_ms")]
    pub stop_delay_ms: u64,
}

/// Where operators reach the node.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Api {
    /// The address to listen at.
    pub address: SocketAddr,
    /// How many connections operators may keep open (default 256, 1 to
    /// 1048576).
    #[serde(default = "two_hundred_and_56")]
    pub max_connections: u64,
    /// Who may write.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Whether anyone may write (default false); for trials on one machine.
    #[serde(default)]
    pub allow_anonymous: bool,
}

/// Someone who may write desired state.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The operator's name, as logs show it.
    pub name: String,
    /// The SHA-256 of the operator's token, in hexadecimal.
    pub token_sha256: String,
    /// The partner whose resources alone it may write; none means all.
    #[serde(default)]
    pub partner: Option<String>,
}

/// Where other nodes reach the node.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// The address to listen at; its IP is what other nodes are told.
    pub address: SocketAddr,
    /// The file with the certificate authority of all nodes, in PEM.
    pub ca_file: PathBuf,
    /// The file with the node's certificate, in PEM; it must name the node.
    pub certificate_file: PathBuf,
    /// The file with the certificate's private key, in PEM.
    pub key_file: PathBuf,
    /// The time between two rounds of probes, in milliseconds (default 500,
    /// 50 to 10000).
    #[serde(default = "half_second_ms")]
    pub probe_interval_ms: u64,
}

/// Where the node reaches the platform.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The URL of the key-value service.
    pub url: String,
    /// The URL of the VM list.
    pub vm_list_url: String,
    /// What every key starts with (default `/dewspar/`).
    #[serde(default = "root")]
    pub root: String,
    /// How long a call may take, in milliseconds (default 2000, 10 to
    /// 60000).
    #[serde(default = "two_seconds_ms")]
    pub call_timeout_ms: u64,
    /// How long the node's lease lasts, in milliseconds (default 10000, 2000
    /// to 600000).
    #[serde(default = "ten_seconds_ms")]
    pub lease_ttl_ms: u64,
    /// The time between two readings of the VM list, in milliseconds
    /// (default 1000, 100 to 60000).
    #[serde(default = "second_ms")]
    pub vm_list_interval_ms: u64,
}

/// What the node logs.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// How log lines look: `terminal` or `json` (default terminal).
    #[serde(default)]
    pub format: Format,
    /// The least important lines that are written: `error`, `warning`,
    /// `info` or `debug` (default info).
    #[serde(default = "info")]
    pub level: String,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: Format::default(), level: info() }
    }
}

impl Log {
    /// Returns the level for the logger.
    pub fn slog_level(&self) -> Option<slog::Level> {
        match self.level.as_str() {
            "error" => Some(slog::Level::Error),
            "warning" => Some(slog::Level::Warning),
            "info" => Some(slog::Level::Info),
            "debug" => Some(slog::Level::Debug),
            _ => None,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreadable`] when there is no such file, and
    /// [`Error::Invalid`] with every problem in it.
    pub fn from_file(path: &Path) -> Result<Settings, Error> {
        Settings::from_yaml(&read_file(path)?)
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] with every problem.
    pub fn from_yaml(text: &str) -> Result<Settings, Error> {
        let settings: Settings = read_yaml(text)?;
        settings.problems().into_result()?;
        Ok(settings)
    }

    fn problems(&self) -> Problems {
        let mut problems = Problems::default();
        self.check_names(&mut problems);
        self.check_callers(&mut problems);
        self.check_addresses(&mut problems);
        self.check_operators(&mut problems);
        self.check_platform(&mut problems);
        problems.check_level(&self.log);
        problems
    }

    fn check_names(&self, problems: &mut Problems) {
        for (field, value) in [("node", &self.node), ("hall", &self.hall)] {
            let valid = |c: char| c.is_ascii_alphanumeric() || c == '-';
            if value.is_empty() || !value.chars().all(valid) {
                let problem = "must be letters, digits and `-`";
                problems.add(field, problem);
            }
        }
    }

    fn check_callers(&self, problems: &mut Problems) {
        let callers = &self.callers;
        let most = 64 * mebibyte();
        problems.check(
            "callers.max_body_bytes",
            callers.max_body_bytes,
            1,
            most,
        );
        for (field, value, least, most) in [
            (
                "callers.max_head_bytes",
                callers.max_head_bytes,
                8_192,
                1_048_576,
            ),
            ("callers.max_connections", callers.max_connections, 1, 1_048_576),
            (
                "callers.max_memory_bytes",
                callers.max_memory_bytes,
                mebibyte(),
                1_099_511_627_776,
            ),
            ("api.max_connections", self.api.max_connections, 1, 1_048_576),
        ] {
            problems.check(field, value, least, most);
        }
        problems.check(
            "callers.max_answer_bytes",
            callers.max_answer_bytes,
            1,
            most,
        );
        problems.check(
            "callers.default_deadline_ms",
            callers.default_deadline_ms,
            1,
            600_000,
        );
        problems.check(
            "callers.max_deadline_ms",
            callers.max_deadline_ms,
            1,
            600_000,
        );
        problems.check("callers.max_waiting", callers.max_waiting, 1, 100_000);
        problems.check(
            "callers.stop_delay_ms",
            callers.stop_delay_ms,
            0,
            600_000,
        );
    }

    fn check_addresses(&self, problems: &mut Problems) {
        let fields = [
            ("callers.address", self.callers.address),
            ("api.address", self.api.address),
            // QUIC runs over UDP, whose ports are others.
        ];
        let (first, second) = (fields[0], fields[1]);
        if first.1 == second.1 && first.1.port() != 0 {
            let problem =
                format!("is {}, which `{}` has already", second.1, first.0);
            problems.add(second.0, &problem);
        }
    }

    fn check_operators(&self, problems: &mut Problems) {
        if self.api.operators.is_empty() && !self.api.allow_anonymous {
            let problem = "is empty: name an operator, or set \
                           `api.allow_anonymous`";
            problems.add("api.operators", problem);
        }
        for (index, operator) in self.api.operators.iter().enumerate() {
            let digest = &operator.token_sha256;
            let hex = digest.chars().all(|c| c.is_ascii_hexdigit());
            if digest.len() != 64 || !hex {
                let field = format!("api.operators[{index}].token_sha256");
                problems.add(&field, "must be 64 hexadecimal digits");
            }
        }
    }

    fn check_platform(&self, problems: &mut Problems) {
        let platform = &self.platform;
        for (field, url) in [
            ("platform.url", &platform.url),
            ("platform.vm_list_url", &platform.vm_list_url),
        ] {
            if !url.starts_with("http://") {
                problems.add(field, "must start with `http://`");
            }
        }
        problems.check(
            "platform.call_timeout_ms",
            platform.call_timeout_ms,
            10,
            60_000,
        );
        problems.check(
            "platform.lease_ttl_ms",
            platform.lease_ttl_ms,
            2_000,
            600_000,
        );
        problems.check(
            "platform.vm_list_interval_ms",
            platform.vm_list_interval_ms,
            100,
            60_000,
        );
        problems.check(
            "peers.probe_interval_ms",
            self.peers.probe_interval_ms,
            50,
            10_000,
        );
    }
}

/// Reads a settings file whole.
pub(crate) fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| {
        let path = path.display().to_string();
        Error::Unreadable { path, error }
    })
}

/// Reads settings that aren't checked yet.
pub(crate) fn read_yaml<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let source = serde_norway::Deserializer::from_str(text);
    serde_path_to_error::deserialize(source).map_err(|error| {
        let mut problems = Problems::default();
        let path = error.path().to_string();
        let problem = format!("is refused: {}", error.inner());
        problems.add(&path, &problem);
        Error::Invalid(problems)
    })
}

fn mebibyte() -> u64 {
    1024 * 1024
}

fn hundred_and_28_kibibytes() -> u64 {
    128 * 1024
}

fn four_kibi() -> u64 {
    4 * 1024
}

fn two_hundred_and_56() -> u64 {
    256
}

fn hundred_and_28_mebibytes() -> u64 {
    128 * mebibyte()
}

fn eight_mebibytes() -> u64 {
    8 * mebibyte()
}

fn thousand() -> u64 {
    1_000
}

fn half_second_ms() -> u64 {
    500
}

fn second_ms() -> u64 {
    1_000
}

fn two_seconds_ms() -> u64 {
    2_000
}

fn three_seconds_ms() -> u64 {
    3_000
}

fn ten_seconds_ms() -> u64 {
    10_000
}

fn thirty_seconds_ms() -> u64 {
    30_000
}

fn info() -> String {
    "info".to_owned()
}

fn root() -> String {
    "/dewspar/".to_owned()
}
