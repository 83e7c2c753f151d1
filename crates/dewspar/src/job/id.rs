use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// The number of hexadecimal digits in a job's identifier.
const JOB_ID_DIGITS: usize = 16;

/// The reason that a text isn't a valid identifier.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum InvalidId {
    /// `{0}` isn't 16 hex digits
    Job(String),
    /// `{0}` isn't JOB.ROUND.STEP.INDEX
    Task(String),
}

impl std::error::Error for InvalidId {}

/// A job's identifier, chosen by the caller: 16 hexadecimal digits.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct JobId(u64);

impl JobId {
    /// Returns a number below 1,000 that depends only on the identifier and
    /// the salt, so that all nodes conclude the same from it. The numbers of
    /// many identifiers are spread evenly, however these were chosen.
    pub fn permille(self, salt: u64) -> u64 {
        // The finalizer of the generator SplitMix64.
        let mut mixed = self.0 ^ salt.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        mixed = mixed.wrapping_add(0x9E37_79B9_7F4A_7C15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) % 1_000
    }
}

impl FromStr for JobId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<JobId, InvalidId> {
        let invalid = || InvalidId::Job(text.to_owned());
        // Accepts only the spelling that `Display` writes, so that each job
        // has exactly one identifier.
        let digit = |b: &u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != JOB_ID_DIGITS || !text.as_bytes().iter().all(digit) {
            return Err(invalid());
        }
        u64::from_str_radix(text, 16).map(JobId).map_err(|_| invalid())
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl TryFrom<String> for JobId {
    type Error = InvalidId;

    fn try_from(text: String) -> Result<JobId, InvalidId> {
        text.parse()
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> String {
        id.to_string()
    }
}

/// A task's identifier: job, round of a repeated job, step and index.
///
/// Its text form is `JOB.ROUND.STEP.INDEX`.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The repetition of the job, from 0; always 0 for a job that runs once.
    pub round: u32,
    /// The step's position in the job, from 0.
    pub step: u32,
    /// The task's position in the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskId { job, round, step, index } = self;
        write!(f, "{job}.{round}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<TaskId, InvalidId> {
        let invalid = || InvalidId::Task(text.to_owned());
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(invalid)?.parse()?;
        let mut number = || -> Result<u32, InvalidId> {
            let part = parts.next().ok_or_else(invalid)?;
            part.parse().map_err(|_| invalid())
        };
        let (round, step, index) = (number()?, number()?, number()?);
        match parts.next() {
            None => Ok(TaskId { job, round, step, index }),
            Some(_) => Err(invalid()),
        }
    }
}
