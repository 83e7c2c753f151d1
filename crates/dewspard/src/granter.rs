/*!
The granter: hands out slots of the services that this node is first for.

Which node that is follows from the roster alone, so no one is elected. A
node that stops being first forgets what it granted; its successor asks every
live node what it holds before it grants anything.
*/

use {
    crate::{
        clock, counters,
        dispatch::Dispatchers,
        membership::StandingReader,
        peer::{Answer, Endpoint, Question},
        view::ViewReader,
    },
    dewspar::{
        member::Member,
        slot::{Granter, Limits, Pressure, Reply, Sync},
    },
    slog::{Logger, info},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, sleep_until},
    },
};

/// How long the task sleeps when no want is parked, in milliseconds.
const QUIET_MS: u64 = 1_000;

/// The shortest time between two recalls to one node, in milliseconds.
const RECALL_GAP_MS: u64 = 1;

/// How long a node may take to say what it holds.
const ASK_LIMIT: Duration = Duration::from_millis(500);

/// How long a recall may take.
const RECALL_LIMIT: Duration = Duration::from_millis(500);

/// A holder's sync, with the place for the reply.
struct Asked {
    node: String,
    service: String,
    sync: Sync,
    reply: oneshot::Sender<Reply>,
}

enum Message {
    Asked(Asked),
    /// What a node holds of a service, if it said so.
    Stated {
        node: String,
        service: String,
        held: Option<Sync>,
    },
}

/// The way to the granter.
#[derive(Clone, Debug)]
pub struct Handle {
    messages: mpsc::Sender<Message>,
}

impl Handle {
    /// Passes a holder's sync on.
    pub async fn sync(
        &self,
        node: &str,
        service: &str,
        sync: Sync,
    ) -> Option<Reply> {
        let (reply, answer) = oneshot::channel();
        let (node, service) = (node.to_owned(), service.to_owned());
        let asked = Asked { node, service, sync, reply };
        self.messages.send(Message::Asked(asked)).await.ok()?;
        answer.await.ok()
    }
}

/// Returns the key under which a service's granter is ranked.
pub fn rank_key(service: &str) -> String {
    format!("slots/{service}")
}

/// A waiting granter's inbox.
pub struct Inbox(mpsc::Receiver<Message>, mpsc::WeakSender<Message>);

/// Makes the way to the granter, and the inbox that [`start`] needs.
pub fn prepare() -> (Handle, Inbox) {
    let (messages, inbox) = mpsc::channel(1024);
    let own = messages.downgrade();
    (Handle { messages }, Inbox(inbox, own))
}

/// What the granter needs.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node's name.
    pub own: String,
    /// The limits of grants.
    pub limits: Limits,
    /// The newest view.
    pub view: ViewReader,
    /// The newest standing of the roster.
    pub standing: StandingReader,
    /// The way to peers.
    pub endpoint: Endpoint,
    /// This node's own slots.
    pub dispatchers: Dispatchers,
    /// The logger.
    pub log: Logger,
}

impl Options {
    /// Asks a node what it holds of a service.
    async fn ask_holdings(
        &self,
        peer: Option<Member>,
        service: &str,
    ) -> Option<Sync> {
        let peer = peer?;
        if peer.name() == self.own {
            return Some(self.dispatchers.holdings(service));
        }
        let service = service.to_owned();
        let question = Question::Holdings { service };
        let asked = self.endpoint.ask(&peer, &question, ASK_LIMIT).await;
        match asked {
            Ok(Answer::Holdings(held)) => Some(held),
            _ => None,
        }
    }
}

/// Starts the granter.
pub fn start(inbox: Inbox, options: Options) {
    let Inbox(messages, own) = inbox;
    let task = Task {
        options,
        own,
        granters: BTreeMap::new(),
        asking: BTreeSet::new(),
        parked: HashMap::new(),
        recalled_ms: HashMap::new(),
    };
    tokio::spawn(task.run(messages));
}

struct Task {
    options: Options,
    own: mpsc::WeakSender<Message>,
    granters: BTreeMap<String, Granter>,
    // The nodes that are being asked what they hold, with the service.
    asking: BTreeSet<(String, String)>,
    // The wants that wait at a granter, by service and node.
    parked: HashMap<(String, String), oneshot::Sender<Reply>>,
    recalled_ms: HashMap<(String, String), u64>,
}

impl Task {
    async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        let mut view = self.options.view.clone();
        let mut standing = self.options.standing.clone();
        loop {
            let next_reply = self.next_reply();
            tokio::select! {
                () = sleep_until(next_reply) => self.reply_to_all_parked(),
                message = inbox.recv() => match message {
                    None => return,
                    Some(Message::Asked(asked)) => self.answer(asked),
                    Some(Message::Stated { node, service, held }) => {
                        self.stated(node, service, held);
                    }
                },
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.update_runners();
                    self.reply_to_all_parked();
                }
                changed = standing.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.retire();
                }
            }
        }
    }

    fn answer(&mut self, asked: Asked) {
        let Asked { node, service, sync, reply } = asked;
        if !self.options.standing.borrow().is_first(&rank_key(&service)) {
            let _ = reply.send(Reply::refused(&sync));
            return;
        }
        if !self.granters.contains_key(&service) {
            let granter = Granter::new(self.options.limits, clock::now_ms());
            info!(self.options.log, "granter: granting"; "service" => &service);
            self.granters.insert(service.clone(), granter);
            self.update_runners();
        }
        self.ask_unheard(&service);
        let Some(granter) = self.granters.get_mut(&service) else { return };
        let standing = self.options.standing.borrow().clone();
        let now_ms = clock::now_ms();
        let answer = granter.sync(&node, &sync, &standing.live(), now_ms);
        match answer {
            Some(answer) => {
                let _ = reply.send(answer);
            }
            // A want that is repeated takes the place of the former.
            None => {
                self.parked.insert((service.clone(), node), reply);
            }
        }
        self.reply_to_parked(&service, now_ms);
    }

    /// Sends the replies that are due, and recalls what others wait for.
    fn reply_to_parked(&mut self, service: &str, now_ms: u64) {
        let Some(granter) = self.granters.get_mut(service) else { return };
        for (node, answer) in granter.replies(now_ms) {
            let key = (service.to_owned(), node);
            if let Some(reply) = self.parked.remove(&key) {
                let _ = reply.send(answer);
            }
        }
        let holders: Vec<(String, Pressure)> = granter
            .recall_candidates(now_ms)
            .into_iter()
            .map(|(holder, pressure)| (holder.to_owned(), pressure))
            .collect();
        for (holder, pressure) in holders {
            self.recall(service, holder, pressure, now_ms);
        }
    }

    fn reply_to_all_parked(&mut self) {
        let now_ms = clock::now_ms();
        let services: Vec<String> = self.granters.keys().cloned().collect();
        for service in services {
            self.reply_to_parked(&service, now_ms);
        }
    }

    /// Returns when the next parked want must be answered.
    fn next_reply(&self) -> Instant {
        let granters = self.granters.values();
        let next_ms = granters.filter_map(Granter::next_reply_ms).min();
        let wait_ms = next_ms.map_or(QUIET_MS, |next_ms| {
            next_ms.saturating_sub(clock::now_ms())
        });
        Instant::now() + Duration::from_millis(wait_ms)
    }

    /// Asks the nodes that haven't said yet what they hold.
    fn ask_unheard(&mut self, service: &str) {
        let standing = self.options.standing.borrow().clone();
        let Some(granter) = self.granters.get(service) else { return };
        for node in granter.unreported(&standing.live()) {
            let key = (node.to_owned(), service.to_owned());
            if !self.asking.insert(key) {
                continue;
            }
            let options = self.options.clone();
            let peer = standing.members().get(node).cloned();
            let own = self.own.clone();
            let (node, service) = (node.to_owned(), service.to_owned());
            tokio::spawn(async move {
                let held = options.ask_holdings(peer, &service).await;
                if let Some(own) = own.upgrade() {
                    let stated = Message::Stated { node, service, held };
                    let _ = own.send(stated).await;
                }
            });
        }
    }

    fn stated(&mut self, node: String, service: String, held: Option<Sync>) {
        let standing = self.options.standing.borrow().clone();
        if let (Some(held), Some(granter)) =
            (held, self.granters.get_mut(&service))
        {
            let now_ms = clock::now_ms();
            granter.sync(&node, &held, &standing.live(), now_ms);
            self.reply_to_parked(&service, now_ms);
        }
        self.asking.remove(&(node, service));
    }

    /// Asks a holder for the slots that it doesn't use.
    fn recall(
        &mut self,
        service: &str,
        holder: String,
        pressure: Pressure,
        now_ms: u64,
    ) {
        let key = (service.to_owned(), holder.clone());
        let last_ms = self.recalled_ms.insert(key.clone(), now_ms);
        if let Some(last_ms) = last_ms
            && now_ms < last_ms + RECALL_GAP_MS
        {
            self.recalled_ms.insert(key, last_ms);
            return;
        }
        counters::count(counters::SLOT_RECALLS);
        let service = service.to_owned();
        if holder == self.options.own {
            self.options.dispatchers.recall(&service, pressure);
            return;
        }
        let standing = self.options.standing.borrow();
        let Some(peer) = standing.members().get(&holder).cloned() else {
            return;
        };
        let endpoint = self.options.endpoint.clone();
        tokio::spawn(async move {
            let question = Question::Recall { service, pressure };
            let asked = endpoint.ask(&peer, &question, RECALL_LIMIT).await;
            // A recall that is lost is repeated with the next want.
            let _: Option<Answer> = asked.ok();
        });
    }

    fn update_runners(&mut self) {
        let view = self.options.view.borrow().clone();
        for (service, granter) in &mut self.granters {
            let Some(spec) = view.config.value.service(service) else {
                granter.retain_runners(|_| false);
                continue;
            };
            let runners = crate::dispatch::runners(&view, service, spec);
            granter.retain_runners(|runner| runners.contains_key(runner));
            for runner in runners.keys() {
                granter.set_runner(runner, spec.slots);
            }
        }
    }

    fn retire(&mut self) {
        let standing = self.options.standing.borrow().clone();
        let log = &self.options.log;
        self.granters.retain(|service, _| {
            let first = standing.is_first(&rank_key(service));
            if !first {
                info!(log, "granter: no longer granting"; "service" => service);
            }
            first
        });
    }
}
