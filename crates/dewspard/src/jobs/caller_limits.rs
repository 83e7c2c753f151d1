/*!
The settings of what callers may make a node hold.
*/

use {
    crate::settings::Problems,
    dewspar::inbound::InboundLimits,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

pub(super) const BYTES_PER_MB: u64 = 1_000_000;

/// Returns a number as a size in memory, the largest one if it doesn't fit.
pub(super) fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// What callers may make the node hold.
///
/// A caller that exceeds a limit is refused before its job is stored; at the
/// limits for all callers, those give way that have been sending one request for
/// longest.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes (default 131072, 8192 to
    /// 1048576).
    pub max_head_bytes: u64,
    /// The largest body of a request, in bytes (default 1048576, 1 to
    /// 67108864).
    pub max_body_bytes: u64,
    /// How long a body may take to arrive if the request names no deadline, in
    /// milliseconds (default 10000, 100 to 600000).
    pub max_body_ms: u64,
    /// How many connections callers may keep open; without it, a quarter
    /// of `machine.max_descriptors`, and no more than a quarter of
    /// `machine.memory_mb` bears at 56 KiB each.
    pub max_connections: Option<u64>,
    /// How much memory the requests of all callers may take, in megabytes;
    /// without it, a quarter of `machine.memory_mb`, and less while the node's
    /// own work takes more than half.
    pub max_memory_mb: Option<u64>,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            max_head_bytes: 128 * 1024,
            max_body_bytes: 1024 * 1024,
            max_body_ms: 10_000,
            max_connections: None,
            max_memory_mb: None,
        }
    }
}

impl CallerLimits {
    /// Returns these limits, and others where none are set.
    pub(super) fn or(&self, others: InboundLimits) -> InboundLimits {
        let CallerLimits { max_connections, max_memory_mb, .. } = *self;
        InboundLimits {
            max_connections: max_connections
                .map_or(others.max_connections, saturating_usize),
            max_bytes: max_memory_mb.map_or(others.max_bytes, |memory_mb| {
                saturating_usize(memory_mb.saturating_mul(BYTES_PER_MB))
            }),
        }
    }

    /// Adds a problem for each limit that is out of bounds.
    pub(super) fn check(&self, problems: &mut Problems) {
        for (field, value, least, most) in [
            ("max_head_bytes", Some(self.max_head_bytes), 8_192, 1_048_576),
            ("max_body_bytes", Some(self.max_body_bytes), 1, 67_108_864),
            ("max_body_ms", Some(self.max_body_ms), 100, 600_000),
            ("max_connections", self.max_connections, 1, 1_048_576),
            ("max_memory_mb", self.max_memory_mb, 1, 1_048_576),
        ] {
            if let Some(value) = value {
                let field = format!("caller_limits.{field}");
                problems.check(&field, value, least, most);
            }
        }
    }
}
