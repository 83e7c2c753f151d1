/*!
The filings journal: one task for each partition that this node writes.

The node ranked first for a partition writes it; the others send it their
entries. That saves collisions and nothing more: any node may write, and the
swap at the platform decides. All entries that arrive while a write is under
way ride on the next one.

When the platform is out, intents are refused at once as not written, so that
callers are told at once that nothing was run. Outcomes go on waiting until
they can be written.
*/

use {
    crate::{
        clock, counters,
        membership::StandingReader,
        peer::{
            Answer, Endpoint, FilingAnswer, FilingItem, Question, Standing,
        },
    },
    dewspar::{
        member::ranked,
        once::{Actor, Filing, Journal, Key, Outcome, Ticket, Write},
    },
    dewspar_platform::{Cas, Error, Expected, KeyValue, Versioned},
    slog::{Logger, info, warn},
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, sleep, sleep_until},
    },
};

/// How long a node waits for another to write an entry.
const ASK_LIMIT: Duration = Duration::from_millis(1_000);

/// How many entries are taken in before a write.
const BATCH: usize = 4_096;

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

/// The pause between two attempts to have an outcome written.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Returns the key under which a partition's writer is ranked.
fn rank_key(partition: u32) -> String {
    format!("journal/{partition}")
}

/// The key of a partition's head.
fn head_key(partition: u32) -> String {
    format!("journal/{partition:02}/head")
}

/// The key of a partition's segment.
fn segment_key(partition: u32, name: &str) -> String {
    format!("journal/{partition:02}/segment/{name}")
}

/// What an intent came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Intended {
    /// It is written: the filing may be run by this actor.
    Written(Actor),
    /// The journal says something else of the key.
    Standing(Standing),
    /// It was not written, for now.
    NotWritten,
}

type Entry = (FilingItem, oneshot::Sender<FilingAnswer>);

/// The way to the journal, wherever it is written; clones share it.
#[derive(Clone, Debug)]
pub struct Filings {
    node: String,
    incarnation: u64,
    attempts: Arc<AtomicU64>,
    partitions: Arc<[mpsc::Sender<Entry>]>,
    routes: Arc<[mpsc::UnboundedSender<Entry>]>,
    standing: StandingReader,
}

impl Filings {
    /// Starts the tasks of every partition.
    pub fn start<K: KeyValue>(
        platform: K,
        node: &str,
        incarnation: u64,
        standing: StandingReader,
        endpoint: Endpoint,
        log: Logger,
    ) -> Filings {
        let partitions: Arc<[_]> = (0..dewspar::once::PARTITIONS)
            .map(|partition| {
                let (entries, inbox) = mpsc::channel(BATCH);
                let writer = Writer {
                    platform: platform.clone(),
                    partition,
                    seed: incarnation,
                    replies: HashMap::new(),
                    log: log.clone(),
                };
                tokio::spawn(writer.run(inbox));
                entries
            })
            .collect();
        let routes = (0..dewspar::once::PARTITIONS)
            .map(|partition| {
                let (entries, inbox) = mpsc::unbounded_channel();
                let route = Route {
                    node: node.to_owned(),
                    partition,
                    here: partitions[partition as usize].clone(),
                    standing: standing.clone(),
                    endpoint: endpoint.clone(),
                };
                tokio::spawn(route.run(inbox));
                entries
            })
            .collect();
        Filings {
            node: node.to_owned(),
            incarnation,
            attempts: Arc::new(AtomicU64::new(1)),
            partitions,
            routes,
            standing,
        }
    }

    /// Writes an intent to run the filing.
    pub async fn intend(&self, filing: Filing) -> Intended {
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let actor = Actor::new(&self.node, self.incarnation, attempt);
        let item = FilingItem::Intend { filing, actor: actor.clone() };
        let partition = filing.key().partition();
        match self.route(partition, item).await {
            FilingAnswer::Written => Intended::Written(actor),
            // The writer's answer was lost, and another found the intent.
            FilingAnswer::Standing(Standing::Intended(by)) if by == actor => {
                Intended::Written(actor)
            }
            FilingAnswer::Standing(standing) => Intended::Standing(standing),
            FilingAnswer::NotWritten => {
                // It may be written yet; the outcome then tells the truth.
                self.settle(filing.key(), actor, Outcome::NotRun);
                Intended::NotWritten
            }
        }
    }

    /// Has an outcome written, however long that takes.
    ///
    /// Returns a handle that ends when it has been.
    pub fn settle(
        &self,
        key: Key,
        actor: Actor,
        outcome: Outcome,
    ) -> tokio::task::JoinHandle<()> {
        let filings = self.clone();
        tokio::spawn(async move {
            let started = clock::now_ms();
            let lasts_ms = dewspar::once::RETENTION_MS;
            while clock::now_ms() < started + lasts_ms {
                let actor = actor.clone();
                let item = FilingItem::Settle { key, actor, outcome };
                let answer = filings.route(key.partition(), item).await;
                if answer != FilingAnswer::NotWritten {
                    return;
                }
                sleep(SETTLE_PAUSE).await;
            }
        })
    }

    /// Returns whether the actor's process still lives, and so may yet say
    /// what became of its attempt.
    pub fn is_live(&self, actor: &Actor) -> bool {
        let standing = self.standing.borrow();
        standing.has(actor.node(), actor.incarnation())
    }

    /// Writes entries that a peer sent; answers in their order.
    pub async fn write_here(
        &self,
        partition: u32,
        items: Vec<FilingItem>,
    ) -> Vec<FilingAnswer> {
        let Some(writer) = self.partitions.get(partition as usize) else {
            return vec![FilingAnswer::NotWritten; items.len()];
        };
        let mut answers = Vec::with_capacity(items.len());
        for item in items {
            let (reply, answer) = oneshot::channel();
            let _ = writer.send((item, reply)).await;
            answers.push(answer);
        }
        let mut written = Vec::with_capacity(answers.len());
        for answer in answers {
            written.push(answer.await.unwrap_or(FilingAnswer::NotWritten));
        }
        written
    }

    async fn route(&self, partition: u32, item: FilingItem) -> FilingAnswer {
        let (reply, answer) = oneshot::channel();
        let Some(route) = self.routes.get(partition as usize) else {
            return FilingAnswer::NotWritten;
        };
        let _ = route.send((item, reply));
        answer.await.unwrap_or(FilingAnswer::NotWritten)
    }
}

/// The task that brings entries of one partition to its writer.
struct Route {
    node: String,
    partition: u32,
    here: mpsc::Sender<Entry>,
    standing: StandingReader,
    endpoint: Endpoint,
}

impl Route {
    async fn run(self, mut inbox: mpsc::UnboundedReceiver<Entry>) {
        let route = Arc::new(self);
        let mut batch = Vec::new();
        while inbox.recv_many(&mut batch, BATCH).await > 0 {
            let entries = std::mem::take(&mut batch);
            tokio::spawn(Arc::clone(&route).bring(entries));
        }
    }

    /// Brings entries to the writer ranked first, or else to the next.
    async fn bring(self: Arc<Self>, entries: Vec<Entry>) {
        let standing = self.standing.borrow().clone();
        let key = rank_key(self.partition);
        let order = ranked(&key, &standing.live());
        let (items, replies): (Vec<FilingItem>, Vec<_>) =
            entries.into_iter().unzip();
        for name in order.into_iter().take(2) {
            if name == self.node {
                self.bring_here(items, replies).await;
                return;
            }
            let Some(peer) = standing.members().get(name) else { continue };
            let question = Question::Filings {
                partition: self.partition,
                items: items.clone(),
            };
            let asked = self.endpoint.ask(peer, &question, ASK_LIMIT).await;
            if let Ok(Answer::Filings(answers)) = asked {
                for (reply, answer) in replies.into_iter().zip(answers) {
                    let _ = reply.send(answer);
                }
                return;
            }
            // The entries name their attempt, so another writer may be
            // given the same ones without harm.
        }
        self.bring_here(items, replies).await;
    }

    async fn bring_here(
        &self,
        items: Vec<FilingItem>,
        replies: Vec<oneshot::Sender<FilingAnswer>>,
    ) {
        for entry in items.into_iter().zip(replies) {
            let _ = self.here.send(entry).await;
        }
    }
}

/// The task that writes one partition.
struct Writer<K> {
    platform: K,
    partition: u32,
    seed: u64,
    replies: HashMap<Ticket, oneshot::Sender<FilingAnswer>>,
    log: Logger,
}

/// How a write came out.
enum Written {
    Yes(Vec<Ticket>),
    Collided,
    No(Error),
    Unsure(Error),
}

impl<K: KeyValue> Writer<K> {
    async fn run(mut self, mut inbox: mpsc::Receiver<Entry>) {
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
                journal.forget_old(clock::unix_ms());
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
                let admission = journal.admit(&filing, &actor, now_ms);
                if let dewspar::once::Admission::Queued(ticket) = admission {
                    self.replies.insert(ticket, reply);
                } else if let Some(standing) = Standing::of(admission) {
                    let _ = reply.send(FilingAnswer::Standing(standing));
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
                    self.answer_overtaken(journal);
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

    fn answer_overtaken(&mut self, journal: &mut Journal) {
        for overtaken in journal.overtaken() {
            let reply = self.replies.remove(&overtaken.ticket);
            let standing = Standing::of(overtaken.admission);
            if let (Some(reply), Some(standing)) = (reply, standing) {
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
