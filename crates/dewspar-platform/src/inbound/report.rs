/*!
What the connections of a listener took, for logs and metrics.
*/

/// Why a connection was closed or a request refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitReason {
    /// Too many connections are open.
    Connections,
    /// All connections together hold too many bytes.
    Memory,
    /// The connection made no progress for too long.
    Stalled,
    /// The head of a request is too long.
    LongHead,
    /// The body of a request is too long.
    LongBody,
    /// The body of a request didn't arrive in time.
    LateBody,
}

impl LimitReason {
    /// All reasons.
    pub const ALL: [LimitReason; 6] = [
        LimitReason::Connections,
        LimitReason::Memory,
        LimitReason::Stalled,
        LimitReason::LongHead,
        LimitReason::LongBody,
        LimitReason::LateBody,
    ];

    /// Returns the name of the reason, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            LimitReason::Connections => "too_many_connections",
            LimitReason::Memory => "no_memory",
            LimitReason::Stalled => "stalled",
            LimitReason::LongHead => "long_head",
            LimitReason::LongBody => "long_body",
            LimitReason::LateBody => "late_body",
        }
    }
}

/// What the connections of a listener took since the last report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InboundReport {
    /// How many connections are open.
    pub connections: usize,
    /// How many were open at most.
    pub most_connections: usize,
    /// How many bytes all of them hold.
    pub held_bytes: usize,
    /// How many bytes they held at most.
    pub most_held_bytes: usize,
    /// How many bytes they may hold at the moment.
    pub capacity_bytes: usize,
    /// The size of the largest head, in bytes.
    pub largest_head_bytes: usize,
    /// The size of the largest body, in bytes.
    pub largest_body_bytes: usize,
    /// How often each limit closed a connection or refused a request, for those
    /// that did.
    pub limited: Vec<(LimitReason, u64)>,
}
