/*!
Reads of the store that answer several requests.
*/

use {
    crate::{Answer, Error},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        sync::watch,
        time::{Duration, Instant, sleep_until},
    },
};

/// The largest number of different reads that are shared at a time.
const MAX_READS: usize = 64;

/// The result of a read, with its fingerprint.
///
/// Not `Debug`, since what is read may hold keys.
#[derive(Clone)]
pub(super) struct SharedResult {
    pub(super) answer: Result<Answer, Error>,
    pub(super) fingerprint: String,
}

type Waiting = watch::Receiver<Option<Arc<SharedResult>>>;

/// The reads that are shared, by URL.
#[derive(Clone, Default)]
pub(super) struct SharedReads(Arc<Mutex<HashMap<String, SharedRead>>>);

#[derive(Default)]
struct SharedRead {
    /// The read that hasn't been sent yet, for the requests that wait for it.
    next: Option<Waiting>,
    last_sent: Option<Instant>,
}

impl SharedReads {
    /// Waits for the result of a read that is sent after this call; two reads
    /// of one URL are at least `interval` apart. Returns `None` if too many
    /// different reads are shared already.
    pub(super) async fn read<F, R>(
        &self,
        url: &str,
        interval: Duration,
        send: F,
    ) -> Option<Arc<SharedResult>>
    where
        F: FnOnce() -> R + Send + 'static,
        R: Future<Output = SharedResult> + Send,
    {
        let mut result = self.join(url, interval, send)?;
        let found = result.wait_for(Option::is_some).await.ok()?;
        found.clone()
    }

    /// Joins the requests that wait for the next read, and starts that read if
    /// this is the first one.
    fn join<F, R>(
        &self,
        url: &str,
        interval: Duration,
        send: F,
    ) -> Option<Waiting>
    where
        F: FnOnce() -> R + Send + 'static,
        R: Future<Output = SharedResult> + Send,
    {
        let mut reads = self.lock();
        if reads.len() >= MAX_READS && !reads.contains_key(url) {
            reads.retain(|_, read| read.next.is_some());
            if reads.len() >= MAX_READS {
                return None;
            }
        }
        let read = reads.entry(url.to_owned()).or_default();
        if let Some(next) = &read.next {
            return Some(next.clone());
        }
        let (sender, receiver) = watch::channel(None);
        read.next = Some(receiver.clone());
        let send_at = read.last_sent.map(|sent| sent + interval);
        let (reads, url) = (self.clone(), url.to_owned());
        tokio::spawn(async move {
            if let Some(send_at) = send_at {
                sleep_until(send_at).await;
            }
            reads.note_sent(&url);
            let result = send().await;
            sender.send_replace(Some(Arc::new(result)));
        });
        Some(receiver)
    }

    fn note_sent(&self, url: &str) {
        let mut reads = self.lock();
        let read = reads.entry(url.to_owned()).or_default();
        read.next = None;
        read.last_sent = Some(Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, SharedRead>> {
        // OK after a panic: each change of it is complete.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
