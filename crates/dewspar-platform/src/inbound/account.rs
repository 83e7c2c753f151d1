/*!
What one connection holds and does, noted without locks: it is written with
every read.
*/

use {
    super::{CONNECTION_BYTES, LimitReason, Shared},
    dewspar::inbound::{Activity, ConnectionUse},
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
    },
    tokio::sync::Notify,
};

/// The size of a read buffer that is counted with its connection, in bytes.
const USUAL_BUFFER_BYTES: usize = 8 * 1024;

/// That no request is being received.
const NEVER_MS: u64 = u64::MAX;

/// What a connection holds and does.
pub(super) struct Account {
    id: u64,
    shared: Arc<Shared>,
    held_bytes: AtomicUsize,
    /// The part of `held_bytes` that the read buffer takes beyond the usual size.
    buffer_bytes: AtomicUsize,
    /// The part of `held_bytes` that waits to be sent.
    unsent_bytes: AtomicUsize,
    /// The part of `held_bytes` that has arrived of the next request's head.
    head_bytes: AtomicUsize,
    /// How many calls are between their head and their answer.
    calls: AtomicU32,
    /// How many of them are being served.
    serving: AtomicU32,
    /// Since when a request has been arriving.
    receiving_since_ms: AtomicU64,
    progress_ms: AtomicU64,
    /// Whether it must give way: the body that is being read is refused, or the
    /// connection closed.
    gives_way: AtomicBool,
    is_closed: AtomicBool,
    changed: Notify,
}

impl Account {
    pub(super) fn new(id: u64, shared: Arc<Shared>) -> Account {
        let now_ms = shared.now_ms();
        Account {
            id,
            shared,
            held_bytes: AtomicUsize::new(0),
            buffer_bytes: AtomicUsize::new(0),
            unsent_bytes: AtomicUsize::new(0),
            head_bytes: AtomicUsize::new(0),
            calls: AtomicU32::new(0),
            serving: AtomicU32::new(0),
            receiving_since_ms: AtomicU64::new(NEVER_MS),
            progress_ms: AtomicU64::new(now_ms),
            gives_way: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            changed: Notify::new(),
        }
    }

    fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns how much of what it holds is dropped in a moment: all of it if it
    /// is closed, and its requests if it gives way.
    pub(super) fn leaving_bytes(&self) -> usize {
        if self.is_closed.load(Ordering::Relaxed) {
            return self.held_bytes();
        }
        self.held_bytes().saturating_sub(self.lingering_bytes())
    }

    /// Returns how much it holds until its client has the answer, once it gives
    /// way: its buffers.
    pub(super) fn lingering_bytes(&self) -> usize {
        let buffer_bytes = self.buffer_bytes.load(Ordering::Relaxed);
        let unsent_bytes = self.unsent_bytes.load(Ordering::Relaxed);
        CONNECTION_BYTES + buffer_bytes + unsent_bytes
    }

    pub(super) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    pub(super) fn hold(&self, bytes: usize) {
        self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.shared.hold(bytes);
    }

    pub(super) fn release(&self, bytes: usize) {
        self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.shared.release(bytes);
    }

    pub(super) fn note(&self, reason: LimitReason) {
        self.shared.note(reason);
    }

    pub(super) fn note_body(&self, bytes: usize) {
        let largest = &self.shared.largest_body_bytes;
        largest.fetch_max(bytes, Ordering::Relaxed);
    }

    /// Notes the size of the buffer that the next bytes are read into. It grows
    /// with what arrives at once, and is kept between requests.
    pub(super) fn offered(&self, bytes: usize) {
        let bytes = bytes.saturating_sub(USUAL_BUFFER_BYTES);
        let before = self.buffer_bytes.fetch_max(bytes, Ordering::Relaxed);
        if bytes > before {
            self.hold(bytes - before);
        }
    }

    /// Notes that bytes have arrived.
    pub(super) fn received(&self, bytes: usize) {
        self.note_progress();
        // A body is counted where it is kept.
        if self.calls.load(Ordering::Relaxed) == 0 {
            let since = &self.receiving_since_ms;
            let _ = since.compare_exchange(
                NEVER_MS,
                self.shared.now_ms(),
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
            self.head_bytes.fetch_add(bytes, Ordering::Relaxed);
            self.hold(bytes);
        }
    }

    /// Notes that the connection made progress.
    pub(super) fn note_progress(&self) {
        self.progress_ms.store(self.shared.now_ms(), Ordering::Relaxed);
    }

    /// Notes how much waits in the buffers of the connection to be sent.
    pub(super) fn waits_to_be_sent(&self, bytes: usize) {
        let before = self.unsent_bytes.swap(bytes, Ordering::Relaxed);
        if bytes > before {
            self.hold(bytes - before);
        } else {
            self.release(before - bytes);
        }
    }

    pub(super) fn begin_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let head_bytes = self.head_bytes.swap(0, Ordering::Relaxed);
        self.release(head_bytes);
        let largest = &self.shared.largest_head_bytes;
        largest.fetch_max(head_bytes, Ordering::Relaxed);
    }

    pub(super) fn begin_serving(&self) {
        self.serving.fetch_add(1, Ordering::Relaxed);
        self.receiving_since_ms.store(NEVER_MS, Ordering::Relaxed);
    }

    pub(super) fn end_call(&self, was_served: bool) {
        if was_served {
            self.serving.fetch_sub(1, Ordering::Relaxed);
        }
        let others = self.calls.fetch_sub(1, Ordering::Relaxed) - 1;
        if others == 0 && !self.is_closed.load(Ordering::Relaxed) {
            // Its bodies are gone, so nothing more has to give way.
            self.gives_way.store(false, Ordering::Relaxed);
        }
        self.receiving_since_ms.store(NEVER_MS, Ordering::Relaxed);
        self.note_progress();
    }

    /// Returns what the connection takes.
    pub(super) fn connection_use(&self, now_ms: u64) -> ConnectionUse {
        let since_ms = self.receiving_since_ms.load(Ordering::Relaxed);
        let is_serving = self.serving.load(Ordering::Relaxed) > 0;
        let (activity, age_ms) = if is_serving {
            (Activity::Serving, 0)
        } else if since_ms != NEVER_MS {
            (Activity::Receiving, now_ms.saturating_sub(since_ms))
        } else {
            (Activity::Idle, self.without_progress_ms(now_ms))
        };
        let held_bytes = self.held_bytes();
        ConnectionUse { id: self.id, activity, held_bytes, age_ms }
    }

    pub(super) fn without_progress_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.progress_ms.load(Ordering::Relaxed))
    }

    pub(super) fn gives_way(&self) -> bool {
        self.gives_way.load(Ordering::Relaxed)
    }

    /// Makes it give way: a body that is being read is refused, so that the
    /// client learns why; without one, the connection is closed.
    pub(super) fn give_way(&self) {
        self.gives_way.store(true, Ordering::Relaxed);
        if self.calls.load(Ordering::Relaxed) == 0 {
            self.is_closed.store(true, Ordering::Relaxed);
        }
        self.changed.notify_waiters();
    }

    /// Closes the connection.
    pub(super) fn close(&self) {
        self.gives_way.store(true, Ordering::Relaxed);
        self.is_closed.store(true, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Waits until the connection must be closed.
    pub(super) async fn closed(&self) {
        self.wait_for(&self.is_closed).await;
    }

    /// Waits until it must give way.
    pub(super) async fn must_give_way(&self) {
        self.wait_for(&self.gives_way).await;
    }

    async fn wait_for(&self, flag: &AtomicBool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Before the look, so that no change in between is missed.
            changed.as_mut().enable();
            if flag.load(Ordering::Relaxed) {
                return;
            }
            changed.await;
        }
    }

    /// Ends the account of a connection; bodies that are still in use stay
    /// counted.
    pub(super) fn end(&self) {
        let head_bytes = self.head_bytes.swap(0, Ordering::Relaxed);
        let buffer_bytes = self.buffer_bytes.swap(0, Ordering::Relaxed);
        let unsent_bytes = self.unsent_bytes.swap(0, Ordering::Relaxed);
        let buffer_bytes = CONNECTION_BYTES + buffer_bytes + unsent_bytes;
        self.release(buffer_bytes + head_bytes);
        self.shared.remove(self.id);
    }
}
