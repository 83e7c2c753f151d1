//! A VM that is suspended wakes with messages of its peers that were sent before:
//! answers to its probes, and probes of theirs. They count from when they were
//! read, so a node that had slept for 10 s took what a peer had confirmed before
//! for just confirmed, and served on by a configuration that may have been
//! replaced seconds ago. What counts is when the question was asked; and of a
//! question that is read just after waking nobody knows when that was.
//!
//! In a file of its own: the suspension holds for the whole process.

use {
    dewspar::member::{Freshness, Member, Timing},
    dewspar_platform::{
        Error, Expected, KeyValue, UnreadableNotes, VmList, VmListing,
    },
    dewspar_standin::{certs::Authority, faults::Faults, store::Store},
    dewspard::{
        clock, logs,
        membership::{self, Leave, Options},
        peer::{Answer, Endpoint, Identity, Probe, Question},
        watcher,
    },
    std::{
        future::Future,
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot, watch},
        time::{sleep, timeout},
    },
};

/// How long anything may take before a test gives up on it.
const LIMIT: Duration = Duration::from_secs(60);

/// How often peers are probed, and how long an answer is waited for: so long
/// that an answer is heard also on a busy machine.
const PROBE_MS: u64 = 2_000;

/// How long the suspension is: much longer than what a peer has confirmed holds.
const SUSPENDED_MS: u64 = 10_000;

/// What the peer says that it has in force, which the node hasn't.
const NEWER_REVISION: u64 = 7;

/// Held by the test that is under way: both suspend the same process.
static UNDER_WAY: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

#[derive(Clone)]
struct NoVms;

impl VmList for NoVms {
    async fn list(&self, _: &str) -> Result<Option<VmListing>, Error> {
        Ok(None)
    }
}

/// What the peer does with the next probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mood {
    Refuses,
    Answers,
    /// Answers one probe once it may.
    Holds,
}

/// The peer, which answers as the test wants.
#[derive(Clone)]
struct Peer {
    mood: Arc<Mutex<Mood>>,
    holds: Arc<Notify>,
    may_answer: Arc<Notify>,
    snapshots: Arc<AtomicUsize>,
}

impl Peer {
    fn new() -> Peer {
        Peer {
            mood: Arc::new(Mutex::new(Mood::Refuses)),
            holds: Arc::default(),
            may_answer: Arc::default(),
            snapshots: Arc::default(),
        }
    }

    fn set(&self, mood: Mood) {
        *self.mood.lock().expect("a mood") = mood;
    }

    /// Returns what to do now; what is held is one probe.
    fn mood(&self) -> Mood {
        let mut mood = self.mood.lock().expect("a mood");
        let now = *mood;
        if now == Mood::Holds {
            *mood = Mood::Refuses;
        }
        now
    }

    async fn answer(&self, question: Question) -> Answer {
        match question {
            Question::Probe(_) => match self.mood() {
                Mood::Refuses => return Answer::Refused("asleep".to_owned()),
                Mood::Answers => {}
                Mood::Holds => {
                    self.holds.notify_one();
                    self.may_answer.notified().await;
                }
            },
            Question::Snapshot { .. } => {
                self.snapshots.fetch_add(1, Ordering::Relaxed);
                return Answer::Refused("none".to_owned());
            }
            _ => return Answer::Refused("not asked here".to_owned()),
        }
        Answer::Probe(just_confirmed("n2"))
    }
}

/// What a node says that reached the platform just now.
fn just_confirmed(node: &str) -> Probe {
    Probe {
        node: node.to_owned(),
        incarnation: 1,
        revision: NEWER_REVISION,
        confirmed_age_ms: Some(0),
        leaving: false,
        suspicions: Vec::new(),
        heard: Vec::new(),
    }
}

fn listen<H, F>(authority: &Authority, node: &str, handle: H) -> Endpoint
where
    H: Fn(Question) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let issued = authority.issue(node).expect("a certificate");
    let identity = Identity {
        ca: authority.certificate_pem().into_bytes(),
        certificate: issued.certificate_pem().as_bytes().to_vec(),
        key: issued.key_pem().as_bytes().to_vec(),
    };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let endpoint =
        Endpoint::start(address, &identity, handle, logs::discard());
    endpoint.expect("an endpoint")
}

fn address_of(endpoint: &Endpoint) -> String {
    endpoint.address().expect("an address").to_string()
}

/// A node whose platform is out, and a peer of it.
struct Site {
    node: membership::Handle,
    peer: Peer,
    _stop: watch::Sender<bool>,
    _leave: oneshot::Sender<()>,
}

impl Site {
    async fn start() -> Site {
        let authority = Authority::new().expect("an authority");
        let (faults, peer) = (Faults::new(1), Peer::new());
        let store = Store::new(faults.clone());
        let answering = peer.clone();
        let handle = move |question| {
            let peer = answering.clone();
            async move { peer.answer(question).await }
        };
        let at = address_of(&listen(&authority, "n2", handle));
        let member = Member::new("n2", 1, "hall-1").with_peer_address(&at);
        let entry = serde_json::to_vec(&member).expect("plain JSON");
        let put = store.swap("w/member/n2", Expected::Any, &entry, None);
        put.await.expect("a store");

        let (notes, log) = (UnreadableNotes::default(), logs::discard());
        let interval = Duration::from_secs(1);
        let watcher =
            watcher::start(store.clone(), NoVms, interval, notes, log);
        let refuse = |_| async { Answer::Refused("not here".to_owned()) };
        let endpoint = listen(&authority, "n1", refuse);
        let timing = Timing::default().probe_interval_ms(PROBE_MS);
        let options = Options::new(Member::new("n1", 1, "hall-1"));
        let (node, setup) = membership::prepare(options.timing(timing));
        let setup = setup.at(&address_of(&endpoint));
        let (stop, stopping) = watch::channel(false);
        let (leave, left) = oneshot::channel();
        let leaving = Leave { stopping, left };
        let log = logs::discard();
        membership::start(setup, store, watcher, endpoint, leaving, log);
        let site = Site { node, peer, _stop: stop, _leave: leave };
        site.until(|site| site.is_confirmed() && site.knows_peer()).await;
        faults.set_outage(true);
        site.sleep_until_cut_off().await;
        site
    }

    fn is_confirmed(&self) -> bool {
        let standing = self.node.standing.borrow();
        standing.freshness() == Freshness::Confirmed
    }

    fn knows_peer(&self) -> bool {
        self.node.standing.borrow().members().contains_key("n2")
    }

    /// Sleeps, and waits until the node knows that nothing is confirmed.
    async fn sleep_until_cut_off(&self) {
        clock::suppose_suspension(SUSPENDED_MS);
        self.until(|site| !site.is_confirmed()).await;
    }

    async fn until(&self, holds: impl Fn(&Site) -> bool) {
        let waiting = async {
            while !holds(self) {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(LIMIT, waiting).await.expect("in time");
    }

    /// The peer asks, with what it has confirmed.
    async fn hear_question(&self) {
        let answer = self.node.probed(just_confirmed("n2")).await;
        answer.expect("an answer");
    }

    /// Waits until all that was heard before is in the node's standing: it is
    /// published before the next question is taken.
    async fn taken_in(&self) {
        let mut stranger = just_confirmed("n9");
        stranger.confirmed_age_ms = None;
        stranger.revision = 0;
        self.node.probed(stranger).await.expect("an answer");
    }
}

#[tokio::test]
async fn a_question_that_is_read_on_waking_confirms_nothing() {
    let _alone = UNDER_WAY.lock().await;
    let site = Site::start().await;
    clock::suppose_suspension(SUSPENDED_MS);
    site.hear_question().await;
    site.taken_in().await;
    assert!(!site.is_confirmed(), "by a question of before");

    // Those that come later do.
    let asked = async {
        while !site.is_confirmed() {
            site.hear_question().await;
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(LIMIT, asked).await.expect("in time");
}

#[tokio::test]
async fn an_answer_counts_from_when_it_was_asked_for() {
    let _alone = UNDER_WAY.lock().await;
    let site = Site::start().await;
    site.peer.set(Mood::Holds);
    let held = timeout(LIMIT, site.peer.holds.notified()).await;
    held.expect("a probe");
    clock::suppose_suspension(SUSPENDED_MS);
    site.peer.may_answer.notify_one();
    // It says of a newer configuration, which the node asks for at once.
    site.until(|site| site.peer.snapshots.load(Ordering::Relaxed) > 0).await;
    site.taken_in().await;
    assert!(!site.is_confirmed(), "by an answer of before");

    // Those to later questions do.
    site.peer.set(Mood::Answers);
    site.until(|site| site.is_confirmed()).await;
}
