/*!
Settings of a node that runs jobs: one YAML file, checked as a whole.

# Example

```
use dewspard::jobs::JobSettings;

let error = JobSettings::from_yaml("
node: athens-1
hall: hall-1
callers_address: 127.0.0.1:8080
readiness_address: 127.0.0.1:8081
platform: {store: 127.0.0.1:2379, vm_service: 127.0.0.1:2380}
timing: {config_apply_ms: 10}
").unwrap_err();
assert_eq!(
    error.to_string(),
    "settings are not valid:\n\
     - field `timing.config_apply_ms` is 10, but must be 500 to 600000",
);
```
*/

pub use super::caller_limits::CallerLimits;

use {
    super::caller_limits::{BYTES_PER_MB, saturating_usize},
    crate::settings::{Error, Log, Problems, read_file, read_yaml},
    dewspar::{
        inbound::InboundLimits,
        schedule::{InvalidPolicy, Policy},
        staleness::StalenessLimits,
    },
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::{
        net::{IpAddr, SocketAddr},
        path::Path,
    },
};

/// How long an order to start may be on its way to its worker, in
/// milliseconds: several times the timeout of one attempt.
const ORDER_TIME_MS: u64 = 500;

/// The time after which no task of a cancelled job starts any more where the
/// platform sets none, in milliseconds.
const DEFAULT_CANCEL_MS: u64 = 3_000;

/// The age of the known cancellations above which they are read from the
/// store, in milliseconds: several intervals of the checks that show that the
/// feed is current, and early enough for some reads before starts must wait.
const CHECK_CANCELLATIONS_AFTER_MS: u64 = 800;

/// The settings of a node that runs jobs.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSettings {
    /// The node's name, unique among the entry VMs.
    pub node: String,
    /// The data hall that the node is in.
    pub hall: String,
    /// The names of all data halls.
    #[serde(default)]
    pub halls: Vec<String>,
    /// Which losses must be tolerated.
    #[serde(default)]
    pub tolerate: Tolerate,
    /// The address at which callers reach the node.
    pub callers_address: SocketAddr,
    /// The address at which the load balancer checks whether the node takes
    /// callers.
    pub readiness_address: SocketAddr,
    /// The address at which metrics are served; without it, none are served.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// The address at which the node takes orders to relay to workers for the
    /// node that schedules; without it, the node relays none.
    #[serde(default)]
    pub relay_address: Option<SocketAddr>,
    /// The address and ports for other nodes, as `ip`, `first_port` and
    /// `last_port`; without them, the node forwards no calls to the store for
    /// others.
    #[serde(default)]
    pub internal: Option<InternalPorts>,
    /// The addresses of the platform.
    pub platform: PlatformAddresses,
    /// The entry VM's resources.
    #[serde(default)]
    pub machine: Machine,
    /// What callers may make the node hold.
    #[serde(default)]
    pub caller_limits: CallerLimits,
    /// Time limits set by the platform and its operator.
    #[serde(default)]
    pub timing: Timing,
    /// The scheduler's policy.
    #[serde(default)]
    pub policy: Policy,
    /// What the node logs.
    #[serde(default)]
    pub log: Log,
}

/// The entry VM's resources; stronger nodes are preferred for scheduling.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Machine {
    /// CPU capacity, in thousandths of a core.
    pub cpu_millis: f64,
    /// Bandwidth of the network link, in megabits per second.
    pub link_mbps: f64,
    /// The memory that the node may use, in megabytes; 256 without it.
    pub memory_mb: Option<u64>,
    /// How many descriptors the node may open; 4,096 without it.
    pub max_descriptors: Option<u64>,
}

impl Default for Machine {
    fn default() -> Machine {
        Machine {
            cpu_millis: 1_000.0,
            link_mbps: 1_000.0,
            memory_mb: None,
            max_descriptors: None,
        }
    }
}

/// The memory of an entry VM where the settings name none, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 256;

/// The descriptors of an entry VM where the settings name none.
const DEFAULT_MAX_DESCRIPTORS: u64 = 4_096;

/// The link bandwidth that a thousandth of a core needs for scheduling, in
/// megabits per second: enough for some 500 orders and their answers per
/// thousandth, with room to spare.
const LINK_MBPS_PER_CPU_MILLI: f64 = 0.2;

/// How many bytes of a list a thousandth of a core reads and processes per
/// millisecond: a list of 1,100 workers with 330 kB takes half a core some 66
/// ms.
const LIST_BYTES_PER_CPU_MILLI_MS: f64 = 10.0;

/// The slowest link assumed in time estimates, in megabits per second. A
/// setting of 0 means that the bandwidth is unknown, and must not make a call
/// wait forever.
const MIN_LINK_MBPS: f64 = 0.5;

impl Machine {
    /// Returns the memory that the node may use, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let memory_mb = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        saturating_usize(memory_mb.saturating_mul(BYTES_PER_MB))
    }

    /// Returns how many descriptors the node may open.
    pub fn descriptors(&self) -> usize {
        saturating_usize(
            self.max_descriptors.unwrap_or(DEFAULT_MAX_DESCRIPTORS),
        )
    }

    /// Returns the VM's scheduling capacity, relative to other nodes.
    pub fn strength(&self) -> u64 {
        let by_link = self.link_mbps / LINK_MBPS_PER_CPU_MILLI;
        // OK to convert: a float goes to the nearest value that fits.
        self.cpu_millis.min(by_link).max(1.0) as u64
    }

    /// Returns how long the VM takes to read this many bytes of lists, in
    /// milliseconds: the transfer over its link, then the processing.
    pub fn list_read_ms(&self, bytes: u64) -> u64 {
        let bytes_per_ms =
            LIST_BYTES_PER_CPU_MILLI_MS * self.cpu_millis.max(1.0);
        // OK to truncate: a fraction of a millisecond doesn't matter.
        self.transfer_ms(bytes) + (bytes as f64 / bytes_per_ms) as u64
    }

    /// Returns how long the link takes to transfer this many bytes, in
    /// milliseconds.
    pub fn transfer_ms(&self, bytes: u64) -> u64 {
        // One megabit per second is a thousand bits per millisecond.
        let bits_per_ms = self.link_mbps.max(MIN_LINK_MBPS) * 1e3;
        // OK to truncate: a fraction of a millisecond doesn't matter.
        (bytes as f64 * 8.0 / bits_per_ms) as u64
    }
}

/// The address and the range of ports that only other nodes use. The node
/// chooses from them what no other setting names.
#[derive(
    Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize,
)]
#[serde(deny_unknown_fields)]
pub struct InternalPorts {
    /// The IP address.
    pub ip: IpAddr,
    /// The first port of the range.
    pub first_port: u16,
    /// The last port of the range.
    pub last_port: u16,
}

/// The losses that must be tolerated.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize,
)]
#[serde(deny_unknown_fields, default)]
pub struct Tolerate {
    /// How many data halls may be lost at once; without it, or with 0, no
    /// capacity is planned for the loss of a hall.
    pub halls: Option<usize>,
}

/// The addresses of the platform.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformAddresses {
    /// The address of the metadata store.
    pub store: SocketAddr,
    /// The address of the VM service.
    pub vm_service: SocketAddr,
    /// The address of the adviser that decides which workers may run a step,
    /// if there is one.
    #[serde(default)]
    pub adviser: Option<SocketAddr>,
    /// The prefix of all of this program's keys in the store.
    #[serde(default = "default_root")]
    pub root: String,
}

fn default_root() -> String {
    "dewspar/".to_owned()
}

/// The shortest time for which a finished job must be kept, in milliseconds. A
/// write that got no answer may be done seconds later: a delayed one that
/// accepts the job has to find that the job is over.
const MIN_KEPT_MS: u64 = 10_000;

/// Time limits set by the platform and its operator.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How soon after it was written a configuration must be in force, in
    /// milliseconds.
    pub config_apply_ms: u64,
    /// The longest lease that a worker grants, in milliseconds.
    pub max_lease_ms: u64,
    /// How long callers can query a finished job, in milliseconds.
    pub kept_ms: u64,
    /// How long a node may take to stop after it was told to, in milliseconds.
    pub stop_grace_ms: u64,
    /// How long a worker may take to stop a task, in milliseconds.
    pub stop_timeout_ms: u64,
    /// The minimum time between orders of two different holders for the same
    /// VM, in milliseconds.
    pub duty_gap_ms: u64,
    /// How long a long-running task may be down before it counts as
    /// missing, in milliseconds.
    pub notice_ms: u64,
    /// How long a serving task may exceed its target beside best-effort tasks,
    /// in milliseconds.
    pub disturbance_ms: u64,
    /// The shortest lease that the store grants, in milliseconds.
    pub min_store_lease_ms: u64,
    /// How soon after the operator asked for it nothing more starts in a data
    /// hall that is to be emptied, in milliseconds; without it, any delay is
    /// allowed.
    pub evacuate_ms: Option<u64>,
    /// How much longer that may take while the store refuses some nodes, in
    /// milliseconds.
    pub max_stretch_ms: Option<u64>,
    /// How soon after its cancellation was acknowledged no task of a job
    /// starts any more, in milliseconds; 3,000 without it.
    pub cancel_ms: Option<u64>,
    /// How many times as long a task takes away from its data; without it, a
    /// place near the data is preferred as if it were twice, and runs are
    /// expected to take as long everywhere.
    pub remote_factor: Option<f64>,
}

impl Timing {
    /// Returns how old the operator's requests may be for tasks to start, in
    /// milliseconds; `None` for any age.
    ///
    /// A hall may have been asked to be emptied at any time since.
    pub fn max_operator_view_age_ms(&self) -> Option<u64> {
        let allowed_ms = self.evacuate_ms? + self.max_stretch_ms.unwrap_or(0);
        Some(allowed_ms.saturating_sub(ORDER_TIME_MS))
    }

    /// Returns how stale the known cancellations may be for tasks to start.
    ///
    /// A job may have been cancelled at any time since.
    pub fn cancellation_limits(&self) -> StalenessLimits {
        let allowed_ms = self.cancel_ms.unwrap_or(DEFAULT_CANCEL_MS);
        let wait_after_ms = allowed_ms.saturating_sub(ORDER_TIME_MS);
        let check_after_ms = CHECK_CANCELLATIONS_AFTER_MS.min(wait_after_ms);
        StalenessLimits { check_after_ms, wait_after_ms }
    }
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            config_apply_ms: 2_000,
            max_lease_ms: 10_000,
            kept_ms: 120_000,
            stop_grace_ms: 6_000,
            stop_timeout_ms: 900,
            duty_gap_ms: 3_000,
            notice_ms: 4_500,
            disturbance_ms: 4_000,
            min_store_lease_ms: 1_000,
            evacuate_ms: None,
            max_stretch_ms: None,
            cancel_ms: None,
            remote_factor: None,
        }
    }
}

impl JobSettings {
    /// Returns the address at which the node forwards calls to the store for
    /// others: the first port of the internal range that nothing else uses.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        let InternalPorts { ip, first_port, last_port } = self.internal?;
        let taken = [self.metrics_address, self.relay_address];
        let mut ports = first_port..=last_port;
        let port = ports.find(|port| {
            // The kernel chooses a free one for port 0.
            *port == 0 || !taken.contains(&Some(SocketAddr::from((ip, *port))))
        })?;
        Some(SocketAddr::from((ip, port)))
    }

    /// Returns what callers may take, on this machine.
    pub fn inbound_limits(&self) -> InboundLimits {
        let machine = &self.machine;
        let derived = InboundLimits::of_machine(
            machine.memory_bytes(),
            machine.descriptors(),
        );
        self.caller_limits.or(derived)
    }

    /// Returns how many connections other nodes may keep open: a quarter of the
    /// descriptors.
    pub fn max_peer_connections(&self) -> usize {
        self.machine.descriptors() / 4
    }

    /// Returns the settings of a node for trials on this machine, with ports
    /// chosen by the kernel and adapters provided by the caller.
    pub fn loopback(node: &str) -> JobSettings {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        JobSettings {
            node: node.to_owned(),
            hall: "hall-1".to_owned(),
            halls: Vec::new(),
            tolerate: Tolerate::default(),
            callers_address: any_port,
            readiness_address: any_port,
            metrics_address: None,
            relay_address: None,
            internal: None,
            platform: PlatformAddresses {
                store: any_port,
                vm_service: any_port,
                adviser: None,
                root: default_root(),
            },
            machine: Machine::default(),
            caller_limits: CallerLimits::default(),
            timing: Timing::default(),
            policy: Policy::default(),
            log: Log::default(),
        }
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names every invalid field.
    pub fn from_file(path: &Path) -> Result<JobSettings, Error> {
        JobSettings::from_yaml(&read_file(path)?)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names every invalid field.
    pub fn from_yaml(yaml: &str) -> Result<JobSettings, Error> {
        let settings: JobSettings = read_yaml(yaml)?;
        let mut problems = Problems::default();
        if settings.node.is_empty() {
            problems.add("node", "is empty");
        }
        for (field, value) in [
            ("machine.cpu_millis", settings.machine.cpu_millis),
            ("machine.link_mbps", settings.machine.link_mbps),
        ] {
            if !value.is_finite() || value <= 0.0 {
                problems.add(field, "must be above 0");
            }
        }
        settings.check_limits(&mut problems);
        let Timing {
            config_apply_ms,
            max_lease_ms,
            kept_ms,
            stop_grace_ms,
            stop_timeout_ms,
            duty_gap_ms,
            notice_ms,
            disturbance_ms,
            min_store_lease_ms,
            evacuate_ms,
            max_stretch_ms,
            cancel_ms,
            remote_factor,
        } = settings.timing;
        if remote_factor.is_some_and(|f| !f.is_finite() || f < 1.0) {
            problems.add("timing.remote_factor", "must be at least 1");
        }
        let mut check = |field: &str, value, least, most| {
            problems.check(&format!("timing.{field}"), value, least, most);
        };
        check("config_apply_ms", config_apply_ms, 500, 600_000);
        check("max_lease_ms", max_lease_ms, 1_000, 600_000);
        check("kept_ms", kept_ms, MIN_KEPT_MS, 86_400_000);
        check("stop_grace_ms", stop_grace_ms, 1_000, 600_000);
        check("stop_timeout_ms", stop_timeout_ms, 1, 600_000);
        check("duty_gap_ms", duty_gap_ms, 0, 600_000);
        check("notice_ms", notice_ms, 100, 600_000);
        check("disturbance_ms", disturbance_ms, 100, 600_000);
        check("min_store_lease_ms", min_store_lease_ms, 1, 600_000);
        if let Some(evacuate_ms) = evacuate_ms {
            check("evacuate_ms", evacuate_ms, 500, 600_000);
        }
        if let Some(max_stretch_ms) = max_stretch_ms {
            check("max_stretch_ms", max_stretch_ms, 0, 600_000);
        }
        if let Some(cancel_ms) = cancel_ms {
            check("cancel_ms", cancel_ms, 1_000, 600_000);
        }
        if let Err(invalid) = settings.policy.check() {
            let InvalidPolicy { field, value, least, most } = invalid;
            problems.check(&format!("policy.{field}"), value, least, most);
        }
        problems.check_level(&settings.log);
        problems.into_result()?;
        Ok(settings)
    }

    fn check_limits(&self, problems: &mut Problems) {
        let Machine { memory_mb, max_descriptors, .. } = self.machine;
        for (field, value, least) in [
            ("machine.memory_mb", memory_mb, 32),
            ("machine.max_descriptors", max_descriptors, 64),
        ] {
            if let Some(value) = value {
                problems.check(field, value, least, 1_048_576);
            }
        }
        self.caller_limits.check(problems);
    }
}
