use displaydoc::Display;

/// Why a call to the platform gave no result.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// {call}: the platform is unavailable, and nothing was done: {reason}
    Unavailable {
        /// The call that was made.
        call: &'static str,
        /// What went wrong.
        reason: String,
    },
    /// {call}: the platform never accepts this, and nothing was done: {reason}
    Rejected {
        /// The call that was made.
        call: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// {call}: the answer was lost, and the call may have taken effect: {reason}
    Lost {
        /// The call that was made.
        call: &'static str,
        /// What went wrong.
        reason: String,
    },
    /// {call}: the history from there is gone, and the whole must be read
    HistoryGone {
        /// The call that was made.
        call: &'static str,
    },
    /// {call}: the platform answered what can't be read: {reason}
    Malformed {
        /// The call that was made.
        call: &'static str,
        /// What is wrong with the answer.
        reason: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the call may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Error::Unavailable { .. }
            | Error::Rejected { .. }
            | Error::HistoryGone { .. } => false,
            Error::Lost { .. } | Error::Malformed { .. } => true,
        }
    }

    /// Returns a short name of the reason, for counters.
    pub fn reason_name(&self) -> &'static str {
        match self {
            Error::Unavailable { .. } => "unavailable",
            Error::Rejected { .. } => "rejected",
            Error::Lost { .. } => "lost",
            Error::HistoryGone { .. } => "history_gone",
            Error::Malformed { .. } => "malformed",
        }
    }
}
