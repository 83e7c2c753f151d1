/*!
Writing desired state.

A change is validated against the newest snapshot, its new chunks are stored,
and the head is swapped last. A swap that collides is tried again on the newer
snapshot, where the change may be refused for good reason. A swap whose
answer was lost is read back by its token before the operator is told
anything.
*/

use {
    crate::{
        counters,
        view::keys,
        watcher::{ReadError, read_snapshot},
    },
    dewspar::config::{self, Change, Head, Snapshot},
    dewspar_platform::{Cas, Error as PlatformError, Expected, KeyValue},
    displaydoc::Display,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::sleep,
    uuid::Uuid,
};

/// How often a colliding swap is tried.
const TRIES: u32 = 16;

/// How often a call is made whose answers are lost and that does no harm when
/// it is made twice.
const TRIES_IF_LOST: u32 = 3;

/// How often a lost swap is read back.
const READ_BACKS: u32 = 5;

/// The pause between two attempts to read a lost swap back.
const READ_BACK_PAUSE: Duration = Duration::from_millis(200);

/// Why a change was not accepted.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// {0}
    Refused(config::Error),
    /// the change was not accepted: {0}
    Unavailable(PlatformError),
    /// nobody can say whether the change was accepted: {0}
    Unknown(PlatformError),
    /// the change was not accepted: too many others were accepted meanwhile
    Contended,
    /// the change was not accepted: this node can't read what is in force: {0}
    Unreadable(config::Error),
}

impl std::error::Error for Error {}

impl Error {
    fn counter(&self) -> &'static str {
        match self {
            Error::Refused(config::Error::Conflict { .. }) => "conflict",
            Error::Refused(_) => "refused",
            Error::Unavailable(_) => "unavailable",
            Error::Unknown(_) => "unknown",
            Error::Contended => "contended",
            Error::Unreadable(_) => "unreadable",
        }
    }
}

/// Writes changes; all are accepted, or none.
///
/// Returns the snapshot that they became part of.
///
/// # Errors
///
/// Returns an [`Error`] that says whether the change may have been accepted.
pub async fn write<K: KeyValue>(
    platform: &K,
    changes: &[Change],
) -> Result<Snapshot, Error> {
    let result = write_uncounted(platform, changes).await;
    let label = result.as_ref().map_or_else(Error::counter, |_| "accepted");
    counters::count_by(counters::CONFIG_WRITES, "result", label);
    result
}

async fn write_uncounted<K: KeyValue>(
    platform: &K,
    changes: &[Change],
) -> Result<Snapshot, Error> {
    let mut chunks = BTreeMap::new();
    let mut unreadable = None;
    for _ in 0..TRIES {
        let (version, head) = read_head(platform).await?;
        let read = read_snapshot(platform, &head, &mut chunks).await;
        let snapshot = match read {
            Ok(snapshot) => snapshot,
            Err(ReadError::Platform(error)) => {
                if error.may_have_taken_effect() {
                    // A read whose answer was lost is just read again.
                    continue;
                }
                return Err(Error::Unavailable(error));
            }
            // Still in force, so it isn't that a chunk is gone: it may have
            // fields of a newer version, which the operator has to hear.
            Err(ReadError::Config(error)) if unreadable == Some(version) => {
                return Err(Error::Unreadable(error));
            }
            // A chunk may be gone because the head is no longer in force.
            Err(ReadError::Config(_)) => {
                unreadable = Some(version);
                continue;
            }
        };
        let next = snapshot.apply(changes).map_err(Error::Refused)?;
        match try_swap(platform, version, &head, &next).await? {
            Swap::Accepted => return Ok(next),
            Swap::Collided => {}
        }
    }
    Err(Error::Contended)
}

enum Swap {
    Accepted,
    Collided,
}

async fn try_swap<K: KeyValue>(
    platform: &K,
    version: u64,
    head: &Head,
    next: &Snapshot,
) -> Result<Swap, Error> {
    let token = Uuid::new_v4().simple().to_string();
    let (next_head, fresh) = head.advance(next, &token);
    for chunk in &fresh {
        let key = format!("{}{}", keys::CHUNK, chunk.name());
        // The name fixes the content, so a repeated write changes nothing.
        let store = || platform.swap(&key, Expected::Any, chunk.body(), None);
        again_if_lost(store).await.map_err(Error::Unavailable)?;
    }
    // OK because a head holds only numbers and strings.
    let value = serde_json::to_vec(&next_head).expect("a head is JSON");
    let expected = Expected::from_version(version);
    let swapped =
        platform.swap(keys::CONFIG_HEAD, expected, &value, None).await;
    match swapped {
        Ok(Cas::Swapped(_)) => {
            forget(platform, head, &next_head).await;
            Ok(Swap::Accepted)
        }
        Ok(Cas::Conflict(_)) => Ok(Swap::Collided),
        Err(error) if !error.may_have_taken_effect() => {
            Err(Error::Unavailable(error))
        }
        Err(error) => read_back(platform, version, &token, error).await,
    }
}

/// Finds out whether a swap took effect whose answer was lost.
async fn read_back<K: KeyValue>(
    platform: &K,
    version: u64,
    token: &str,
    lost: PlatformError,
) -> Result<Swap, Error> {
    for _ in 0..READ_BACKS {
        sleep(READ_BACK_PAUSE).await;
        let Ok((now, head)) = read_head(platform).await else { continue };
        if head.contains(token) {
            return Ok(Swap::Accepted);
        }
        // While the head is unchanged the swap may still be on its way.
        if now != version {
            return Ok(Swap::Collided);
        }
    }
    Err(Error::Unknown(lost))
}

/// Deletes chunks that nobody can need; what is left over does no harm.
async fn forget<K: KeyValue>(platform: &K, head: &Head, next: &Head) {
    for name in head.unreferenced_chunks(next) {
        let _ = platform.delete(&format!("{}{name}", keys::CHUNK)).await;
    }
}

async fn read_head<K: KeyValue>(platform: &K) -> Result<(u64, Head), Error> {
    let read = || platform.get(keys::CONFIG_HEAD);
    let entry = again_if_lost(read).await.map_err(Error::Unavailable)?;
    let Some(entry) = entry else { return Ok((0, Head::default())) };
    let head = serde_json::from_slice(&entry.value).map_err(|e| {
        Error::Refused(config::Error::Syntax { reason: e.to_string() })
    })?;
    Ok((entry.version, head))
}

/// Makes a call that does no harm when it is made twice, and makes it again
/// while its answer is lost.
async fn again_if_lost<T, F>(call: impl Fn() -> F) -> Result<T, PlatformError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    for _ in 1..TRIES_IF_LOST {
        match call().await {
            Err(error) if error.may_have_taken_effect() => {}
            result => return result,
        }
    }
    call().await
}
