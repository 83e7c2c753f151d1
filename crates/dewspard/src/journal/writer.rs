use {
    super::{BATCH, Entry},
    crate::{
        clock, counters,
        peer::{FilingAnswer, FilingItem},
    },
    dewspar::once::{Admission, Journal, Ticket, Write},
    dewspar_platform::{Cas, Error, Expected, KeyValue, Versioned},
    slog::{Logger, info, warn},
    std::{collections::HashMap, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, sleep, sleep_until},
    },
};

/// The time between two writes of one partition, when writes are frequent.
///
/// Two partitions at this gap make at most 182 writes a second, all nodes and
/// filings together; segments come on top, one for each 64 KB of entries.
const WRITE_GAP: Duration = Duration::from_millis(11);

/// How many writes may come without that gap after a quiet time.
const BURST: u32 = 8;

/// The pause after the platform failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// How often old keys are forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// The key of a partition's head.
fn head_key(partition: u32) -> String {
    format!("journal/{partition:02}/head")
}

/// The key of a partition's segment.
fn segment_key(partition: u32, name: &str) -> String {
    format!("journal/{partition:02}/segment/{name}")
}

/// The task that writes one partition.
pub(super) struct Writer<K> {
    pub(super) platform: K,
    pub(super) partition: u32,
    pub(super) seed: u64,
    pub(super) replies: HashMap<Ticket, oneshot::Sender<FilingAnswer>>,
    pub(super) log: Logger,
}

/// How a write came out.
enum Written {
    Yes(Vec<Ticket>),
    Collided,
    No(Error),
    Unsure(Error),
}

impl<K: KeyValue> Writer<K> {
    pub(super) async fn run(mut self, mut inbox: mpsc::Receiver<Entry>) {
        let mut batch = Vec::new();
        // Nothing is read before the first entry: most nodes write nothing.
        while inbox.recv_many(&mut batch, BATCH).await > 0 {
            match self.load().await {
                Ok(journal) => {
                    self.take_in_first(journal, batch, &mut inbox).await;
                    batch = Vec::new();
                }
                Err(error) => {
                    self.fail(&error);
                    refuse(std::mem::take(&mut batch));
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Writes until something leaves the journal's state in doubt; it is
    /// then read again from the start.
    async fn take_in_first(
        &mut self,
        mut journal: Journal,
        batch: Vec<Entry>,
        inbox: &mut mpsc::Receiver<Entry>,
    ) {
        let mut pace = Pace::new();
        let mut batch = batch;
        let mut forget_at = Instant::now() + FORGET_INTERVAL;
        loop {
            for entry in batch.drain(..) {
                self.take_in(&mut journal, entry);
            }
            if let Err(error) = self.write(&mut journal).await {
                self.fail(&error);
                refuse_all(&mut self.replies);
                sleep(FAILURE_PAUSE).await;
                return;
            }
            if Instant::now() >= forget_at {
                journal.forget_expired(clock::unix_ms());
                forget_at = Instant::now() + FORGET_INTERVAL;
            }
            pace.wait().await;
            if journal.waiting() > 0 {
                while batch.len() < BATCH
                    && let Ok(entry) = inbox.try_recv()
                {
                    batch.push(entry);
                }
            } else if inbox.recv_many(&mut batch, BATCH).await == 0 {
                return;
            }
        }
    }

    fn take_in(&mut self, journal: &mut Journal, entry: Entry) {
        let (item, reply) = entry;
        let now_ms = clock::unix_ms();
        match item {
            FilingItem::Settle { key, actor, outcome } => {
                let ticket = journal.settle(key, &actor, outcome, now_ms);
                self.replies.insert(ticket, reply);
            }
            FilingItem::Intend { filing, actor } => {
                match journal.admit(&filing, &actor, now_ms) {
                    Admission::Queued(ticket) => {
                        self.replies.insert(ticket, reply);
                    }
                    Admission::Blocked(standing) => {
                        let _ = reply.send(FilingAnswer::Standing(standing));
                    }
                }
            }
        }
    }

    /// Makes the next write, and more after collisions.
    async fn write(&mut self, journal: &mut Journal) -> Result<(), Error> {
        while let Some(write) = journal.next_write(clock::unix_ms()) {
            match self.swap(journal, &write).await {
                Written::Yes(tickets) => {
                    count_write("written");
                    counters::add(
                        counters::JOURNAL_ENTRIES,
                        tickets.len() as u64,
                    );
                    self.answer_written(&tickets);
                    self.forget_segments(&write).await;
                    return Ok(());
                }
                Written::Collided => {
                    count_write("collided");
                    self.answer_superseded(journal);
                }
                Written::No(error) => {
                    count_write("failed");
                    return Err(error);
                }
                Written::Unsure(error) => {
                    count_write("unsure");
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    async fn swap(&self, journal: &mut Journal, write: &Write) -> Written {
        if let Some((segment, body)) = write.sealed() {
            let key = segment_key(self.partition, segment.name());
            // Content names the key, so a repeated write changes nothing.
            let stored =
                self.platform.swap(&key, Expected::Any, body, None).await;
            if let Err(error) = stored {
                journal.not_written(write.token());
                return Written::No(error);
            }
        }
        let key = head_key(self.partition);
        let expected = Expected::from_version(write.expected_version());
        let swapped =
            self.platform.swap(&key, expected, write.value(), None).await;
        match swapped {
            Ok(Cas::Swapped(version)) => {
                Written::Yes(journal.written(write.token(), version))
            }
            Ok(Cas::Conflict(current)) => {
                self.after_conflict(journal, write, current).await
            }
            Err(error) if !error.may_have_taken_effect() => {
                journal.not_written(write.token());
                Written::No(error)
            }
            Err(error) => self.read_back(journal, write, error).await,
        }
    }

    /// Takes in what another node wrote first.
    ///
    /// It may also be this write itself, sent twice by a layer below.
    async fn after_conflict(
        &self,
        journal: &mut Journal,
        write: &Write,
        current: Option<Versioned>,
    ) -> Written {
        let (version, value) = match &current {
            None => (0, None),
            Some(entry) => (entry.version, Some(&entry.value[..])),
        };
        match journal.read_back(write.token(), version, value) {
            Ok(Some(tickets)) => return Written::Yes(tickets),
            Ok(None) => journal.not_written(write.token()),
            Err(error) => {
                warn!(self.log, "journal: journal can't be read"; "error" => %error);
                return Written::No(malformed(&error));
            }
        }
        match self.load_into(journal, current).await {
            Ok(()) => Written::Collided,
            Err(error) => Written::No(error),
        }
    }

    /// Finds out whether a write landed whose answer was lost.
    async fn read_back(
        &self,
        journal: &mut Journal,
        write: &Write,
        lost: Error,
    ) -> Written {
        let key = head_key(self.partition);
        let Ok(current) = self.platform.get(&key).await else {
            return Written::Unsure(lost);
        };
        let version = current.as_ref().map_or(0, |entry| entry.version);
        if version == write.expected_version() {
            // It may still be on its way: only a write of our own, at the
            // version it expects, can shut it out.
            return Written::Unsure(lost);
        }
        self.after_conflict(journal, write, current).await
    }

    async fn load(&self) -> Result<Journal, Error> {
        // A token must never repeat, not even after a second load.
        let seed = self.seed.wrapping_add(clock::incarnation());
        let mut journal = Journal::with_seed(self.partition, seed);
        let key = head_key(self.partition);
        let current = self.platform.get(&key).await?;
        self.load_into(&mut journal, current).await?;
        info!(self.log, "journal: journal read"; "partition" => self.partition,
            "keys" => journal.known_keys());
        Ok(journal)
    }

    async fn load_into(
        &self,
        journal: &mut Journal,
        current: Option<Versioned>,
    ) -> Result<(), Error> {
        let (version, value) = match &current {
            None => (0, None),
            Some(entry) => (entry.version, Some(&entry.value[..])),
        };
        let segments =
            journal.load(version, value).map_err(|e| malformed(&e))?;
        for segment in segments {
            let key = segment_key(self.partition, segment.name());
            let entry = self.platform.get(&key).await?;
            let Some(entry) = entry else {
                // A segment is only deleted when its head no longer names
                // it: this head is an old one.
                let reason = "a segment is gone".to_owned();
                return Err(Error::Unavailable { call: "read", reason });
            };
            journal.load_segment(&entry.value).map_err(|e| malformed(&e))?;
        }
        Ok(())
    }

    fn answer_written(&mut self, tickets: &[Ticket]) {
        for ticket in tickets {
            if let Some(reply) = self.replies.remove(ticket) {
                let _ = reply.send(FilingAnswer::Written);
            }
        }
    }

    fn answer_superseded(&mut self, journal: &mut Journal) {
        for superseded in journal.take_superseded() {
            if let Some(reply) = self.replies.remove(&superseded.ticket) {
                let standing = superseded.status;
                let _ = reply.send(FilingAnswer::Standing(standing));
            }
        }
    }

    async fn forget_segments(&self, write: &Write) {
        for segment in write.dropped() {
            let key = segment_key(self.partition, segment.name());
            // One that is left over does no harm.
            let _ = self.platform.delete(&key).await;
        }
    }

    fn fail(&self, error: &Error) {
        counters::platform_failure(error);
        warn!(self.log, "journal: journal not written";
            "partition" => self.partition, "error" => %error);
    }
}

fn count_write(result: &'static str) {
    counters::count_by(counters::JOURNAL_WRITES, "result", result);
}

fn malformed(error: &dewspar::once::Error) -> Error {
    Error::Malformed { call: "read", reason: error.to_string() }
}

fn refuse(entries: Vec<Entry>) {
    for (_, reply) in entries {
        let _ = reply.send(FilingAnswer::NotWritten);
    }
}

fn refuse_all(replies: &mut HashMap<Ticket, oneshot::Sender<FilingAnswer>>) {
    for (_, reply) in replies.drain() {
        let _ = reply.send(FilingAnswer::NotWritten);
    }
}

/// Keeps writes apart once they are frequent.
struct Pace {
    credit: u32,
    last: Instant,
}

impl Pace {
    fn new() -> Pace {
        Pace { credit: BURST, last: Instant::now() }
    }

    async fn wait(&mut self) {
        let passed = self.last.elapsed().as_micros() / WRITE_GAP.as_micros();
        let earned = u32::try_from(passed).unwrap_or(BURST);
        self.credit = (self.credit + earned).min(BURST);
        if self.credit > 0 {
            self.credit -= 1;
        } else {
            sleep_until(self.last + WRITE_GAP).await;
        }
        self.last = Instant::now();
    }
}
