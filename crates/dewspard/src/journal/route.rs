use {
    super::{BATCH, Entry},
    crate::{
        membership::StandingReader,
        peer::{Answer, Endpoint, FilingAnswer, FilingItem, Question},
    },
    dewspar::member::ranked,
    std::{sync::Arc, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// How long a node waits for another to write an entry.
const ASK_LIMIT: Duration = Duration::from_millis(1_000);

/// Returns the key under which a partition's writer is ranked.
fn rank_key(partition: u32) -> String {
    format!("journal/{partition}")
}

/// The task that brings entries of one partition to its writer.
pub(super) struct Route {
    pub(super) node: String,
    pub(super) partition: u32,
    pub(super) here: mpsc::Sender<Entry>,
    pub(super) standing: StandingReader,
    pub(super) endpoint: Endpoint,
}

impl Route {
    pub(super) async fn run(self, mut inbox: mpsc::UnboundedReceiver<Entry>) {
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
