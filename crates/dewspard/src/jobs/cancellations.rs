/*!
Reads of the stored cancellations apart from the feed, while the feed is
behind.
*/

use {
    super::{
        event::Event,
        holder::Holder,
        intake::FeedOrigin,
        keys,
        progress::{FeedEvent, parse_feed},
    },
    crate::{clock, counters},
    dewspar::{
        poll::PollInterval,
        schedule::Now,
        staleness::{StateUse, StateView},
    },
    dewspar_platform::{Fleet, JobWorkers, KeyValue, Purpose},
};

/// The pace of reads. An entry takes some 100 bytes, and there is one for each
/// cancelled job of which a run may still be active.
const READ_PACE: PollInterval =
    PollInterval { min_ms: 200, max_ms: 1_000, share_percent: 50 };

/// A finished read.
#[derive(Debug)]
pub(super) struct CancellationsRead {
    requested_ms: u64,
    /// What was read, with the store's revision; `None` if the read failed.
    found: Option<(u64, Vec<FeedEvent>)>,
}

/// Whether cancellations are being read, and when they may be read again.
#[derive(Debug, Default)]
pub(super) struct CancellationReads {
    is_reading: bool,
    next_ms: u64,
}

impl CancellationReads {
    /// Begins a read, if one may begin now.
    fn begin(&mut self, now_ms: u64) -> bool {
        let begins = !self.is_reading && now_ms >= self.next_ms;
        self.is_reading |= begins;
        begins
    }

    /// Notes that the read that was requested at `requested_ms` is finished.
    fn finish(&mut self, requested_ms: u64, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(requested_ms);
        self.is_reading = false;
        self.next_ms = now_ms + READ_PACE.pause_ms(0, took_ms);
    }
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Begins to read the stored cancellations, if those that are known are
    /// too stale.
    pub(super) fn read_cancellations(&mut self, now: Now) {
        if self.scheduler.cancellations_use(now) == StateUse::Use
            || !self.cancellation_reads.begin(now.steady_ms)
        {
            return;
        }
        counters::count(counters::CANCELLATION_READS);
        let store = self.candidate.store.with_purpose(Purpose::Feed);
        let sender = self.sender.clone();
        let log = self.candidate.log.clone();
        tokio::spawn(async move {
            let requested_ms = clock::now_ms();
            let found = match store.list(keys::CANCELLED).await {
                Ok((revision, stored)) => {
                    Some((revision, parse_feed(&stored, &log)))
                }
                Err(error) => {
                    counters::platform_failure(&error);
                    None
                }
            };
            let read = CancellationsRead { requested_ms, found };
            // If the holder has stopped, the result isn't needed.
            let _ = sender.send(Event::CancellationsRead(read)).await;
        });
    }

    /// Applies cancellations that were read.
    pub(super) fn apply_cancellations(
        &mut self,
        read: CancellationsRead,
        now: Now,
    ) {
        let CancellationsRead { requested_ms, found } = read;
        self.cancellation_reads.finish(requested_ms, now.steady_ms);
        let Some((revision, cancelled)) = found else { return };
        self.apply_feed(cancelled, FeedOrigin::Feed);
        let view = StateView { revision, current_ms: requested_ms };
        self.scheduler.note_cancellations(view);
    }
}
