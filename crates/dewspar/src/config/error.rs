use {crate::config::Kind, displaydoc::Display};

/// The reason that a document or a change was refused.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// document can't be read: {reason}
    Syntax {
        /// The decoder's message, with the position.
        reason: String,
    },
    /// {kind} `{name}`: field `{field}` {problem}
    Field {
        /// The resource's kind.
        kind: Kind,
        /// The resource's name.
        name: String,
        /// The path of the field, such as `spec.runners`.
        field: String,
        /// The problem, and what would be valid.
        problem: String,
    },
    /// {kind} `{name}` is at revision {current}, but the change expected {expected}
    Conflict {
        /// The resource's kind.
        kind: Kind,
        /// The resource's name.
        name: String,
        /// The revision that the writer expected.
        expected: u64,
        /// The revision in force.
        current: u64,
    },
    /// {kind} `{name}` doesn't exist
    NotFound {
        /// The resource's kind.
        kind: Kind,
        /// The resource's name.
        name: String,
    },
    /// {kind} `{name}` can't be deleted: {referrer} still refers to it
    InUse {
        /// The resource's kind.
        kind: Kind,
        /// The resource's name.
        name: String,
        /// The resource that refers to it.
        referrer: String,
    },
}

impl std::error::Error for Error {}
