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
        clock,
        membership::StandingReader,
        peer::{Endpoint, FilingAnswer, FilingItem},
    },
    dewspar::once::{Actor, Filing, Key, KeyStatus, Outcome},
    dewspar_platform::KeyValue,
    route::Route,
    slog::Logger,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::sleep,
    },
    writer::Writer,
};

mod route;
mod writer;

/// How many entries are taken in before a write.
const BATCH: usize = 4_096;

/// The pause between two attempts to have an outcome written.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// What an intent came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Intended {
    /// It is written: the filing may be run by this actor.
    Written(Actor),
    /// The journal says something else of the key.
    Standing(KeyStatus),
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
                    replies: std::collections::HashMap::new(),
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
            FilingAnswer::Standing(KeyStatus::Intended(by)) if by == actor => {
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
