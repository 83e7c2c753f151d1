/*!
The holder's connection to one relay.

Orders that are given to a link while it writes go out in the next message
together, each with its age: what lies in the connection while the relay stands
still is over when it wakes. Each waits for its own answer, and not for long: a relay answers each
order once its own call has ended, so an order without an answer from a relay
that has said nothing else since means that the relay or the way to it is
silent. The link is then given up as a whole.
*/

use {
    super::wire::{
        self, Answer, FrameSink, Frames, FromRelay, Order, OrderKind,
        TARGET_MESSAGE_BYTES, ToRelay, VERSION,
    },
    crate::clock,
    dewspar::relay::RelayNode,
    dewspar_platform::{Purpose, Traffic},
    futures_util::{SinkExt, StreamExt},
    socket2::SockRef,
    std::{
        collections::HashMap,
        io,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{Notify, mpsc, oneshot},
        time::{sleep, timeout},
    },
};

/// How long a connection to a relay may take to open, and the relay to say that
/// it carries: several times the way there and back within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a relay may take to answer the first message: as for the connection
/// itself, which is opened by its system even while it stands still.
const WELCOME_TIMEOUT_MS: u64 = 300;

/// How long sent bytes may stay unacknowledged by the relay's kernel, as for
/// workers: three transmissions on a near link.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a link that is no longer used stays open for answers: longer than
/// any order takes.
const RETIRE_DELAY: Duration = Duration::from_secs(3);

/// How far apart two orders without an answer must be to say that a relay is
/// silent, in milliseconds: longer than it takes to read what has come.
const MIN_SILENCE_MS: u64 = 50;

/// How many workers in a row a relay must fail to reach that the holder reaches
/// itself to forward no longer: one or two may have been away for a moment.
const MAX_UNREACHED: u32 = 3;

/// How many orders go into one message at most.
const MAX_ORDERS_PER_MESSAGE: usize = 512;

/// An order on its way into a message.
#[derive(Debug)]
pub(super) struct OutgoingOrder {
    pub(super) order: Order,
    /// When it was given to the link, on the steady clock.
    pub(super) queued_ms: u64,
    /// What a start gives its task.
    pub(super) payload: Option<Arc<str>>,
}

/// Why a relay gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct NoAnswer;

/// A connection to one relay.
#[derive(Debug)]
pub(super) struct RelayLink {
    pub(super) node: RelayNode,
    outgoing: mpsc::UnboundedSender<OutgoingOrder>,
    in_flight: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
    next_id: AtomicU64,
    /// When the relay last sent anything, on the steady clock.
    last_heard_ms: AtomicU64,
    /// When an order first had no answer since then; 0 for none.
    first_unanswered_ms: AtomicU64,
    /// How many workers it failed to reach since it last reached one, though
    /// this node does.
    unreached: AtomicU32,
    is_open: AtomicBool,
    given_up: Notify,
}

impl RelayLink {
    /// Connects to a relay.
    pub(super) async fn open(
        node: RelayNode,
        holder: &str,
        lease_revision: u64,
        traffic: Traffic,
    ) -> io::Result<Arc<RelayLink>> {
        let connecting = TcpStream::connect(&node.address);
        let stream = timeout(CONNECT_TIMEOUT, connecting).await??;
        stream.set_nodelay(true)?;
        #[cfg(target_os = "linux")]
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let (read, write) = stream.into_split();
        let (mut sink, mut frames) = (wire::sink(write), wire::frames(read));
        let hello_sent_ms = clock::now_ms();
        let hello = ToRelay::Hello {
            version: VERSION,
            node: holder.to_owned(),
            lease_revision,
            at_ms: hello_sent_ms,
        };
        sink.send(wire::encode(&hello)).await?;
        wait_for_welcome(&mut frames, hello_sent_ms).await?;
        let (outgoing, orders) = mpsc::unbounded_channel();
        let link = Arc::new(RelayLink {
            node,
            outgoing,
            in_flight: Mutex::default(),
            next_id: AtomicU64::new(1),
            last_heard_ms: AtomicU64::new(clock::now_ms()),
            first_unanswered_ms: AtomicU64::new(0),
            unreached: AtomicU32::new(0),
            is_open: AtomicBool::new(true),
            given_up: Notify::new(),
        });
        tokio::spawn(write_orders(
            sink,
            orders,
            link.clone(),
            traffic.clone(),
        ));
        tokio::spawn(read_answers(frames, link.clone(), traffic));
        Ok(link)
    }

    /// Returns whether new orders may be sent.
    pub(super) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    /// Sends nothing new; what is under way may still be answered.
    pub(super) fn close(&self) {
        self.is_open.store(false, Ordering::Relaxed);
    }

    /// Notes that it has reached a worker.
    pub(super) fn note_reached(&self) {
        self.unreached.store(0, Ordering::Relaxed);
    }

    /// Notes that it didn't reach a worker that this node does; a relay of which
    /// that holds for all is of no use.
    pub(super) fn note_unreached(&self) {
        let before = self.unreached.fetch_add(1, Ordering::Relaxed);
        if before + 1 >= MAX_UNREACHED {
            self.close();
        }
    }

    /// Sends nothing new, and ends the link once what is under way is over.
    pub(super) fn retire(self: &Arc<RelayLink>) {
        self.close();
        let link = self.clone();
        tokio::spawn(async move {
            sleep(RETIRE_DELAY).await;
            link.give_up();
        });
    }

    /// Ends the link: whatever is under way has no answer.
    pub(super) fn give_up(&self) {
        self.close();
        self.lock().clear();
        self.given_up.notify_waiters();
        self.given_up.notify_one();
    }

    /// Has an order carried, and waits for its answer for so long.
    pub(super) async fn forward(
        &self,
        worker: &str,
        address: &str,
        kind: OrderKind,
        payload: Option<Arc<str>>,
        limit: Duration,
    ) -> Result<Answer, NoAnswer> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        self.lock().insert(id, sender);
        let order = Order {
            id,
            worker: worker.to_owned(),
            address: address.to_owned(),
            age_ms: 0,
            limit_ms: limit.as_millis() as u64,
            what: kind,
        };
        let sent_ms = clock::now_ms();
        let outgoing = OutgoingOrder { order, queued_ms: sent_ms, payload };
        if self.outgoing.send(outgoing).is_err() {
            self.lock().remove(&id);
            return Err(NoAnswer);
        }
        match timeout(limit, answer).await {
            Ok(answer) => answer.map_err(|_| NoAnswer),
            Err(_) => {
                self.lock().remove(&id);
                if self.note_unanswered(sent_ms) {
                    self.give_up();
                }
                Err(NoAnswer)
            }
        }
    }

    /// Notes an order without an answer; returns whether the relay is silent.
    ///
    /// It takes two, some time apart: a single answer may be late, and after
    /// this node itself stood still, every order's time is over before any of
    /// the answers that have come is read.
    fn note_unanswered(&self, sent_ms: u64) -> bool {
        if self.last_heard_ms.load(Ordering::Relaxed) >= sent_ms {
            return false;
        }
        let now_ms = clock::now_ms();
        let first = self.first_unanswered_ms.compare_exchange(
            0,
            now_ms,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        first.is_err_and(|first_ms| now_ms >= first_ms + MIN_SILENCE_MS)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Answer>>> {
        // OK after a panic: each change is one insertion or removal.
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits until a relay shows that it is awake: what is sent before it wakes
/// would lie there, and it couldn't tell for how long.
async fn wait_for_welcome(
    frames: &mut Frames,
    hello_sent_ms: u64,
) -> io::Result<()> {
    let limit = Duration::from_millis(WELCOME_TIMEOUT_MS);
    let frame = timeout(limit, frames.next()).await?;
    let frame = frame.ok_or(io::ErrorKind::UnexpectedEof)??;
    let FromRelay::Welcome = wire::decode(&frame)? else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    // This node may have been suspended itself meanwhile.
    if clock::now_ms() > hello_sent_ms + WELCOME_TIMEOUT_MS {
        return Err(io::ErrorKind::TimedOut.into());
    }
    Ok(())
}

/// Writes orders, those that came meanwhile in one message.
async fn write_orders(
    mut sink: FrameSink,
    mut orders: mpsc::UnboundedReceiver<OutgoingOrder>,
    link: Arc<RelayLink>,
    traffic: Traffic,
) {
    loop {
        let first = tokio::select! {
            order = orders.recv() => order,
            () = link.given_up.notified() => None,
        };
        let Some(first) = first else { return };
        let mut message = MessageBuilder::new(clock::now_ms());
        message.add(first);
        while !message.is_full() {
            let Ok(order) = orders.try_recv() else { break };
            message.add(order);
        }
        let frame = message.encode();
        traffic.note(Purpose::Relays, frame.len() as u64, 0);
        if sink.send(frame).await.is_err() {
            link.give_up();
            return;
        }
    }
}

/// Orders that go out together.
struct MessageBuilder {
    at_ms: u64,
    payloads: Vec<Arc<str>>,
    orders: Vec<Order>,
    bytes: usize,
}

impl MessageBuilder {
    fn new(at_ms: u64) -> MessageBuilder {
        MessageBuilder {
            at_ms,
            payloads: Vec::new(),
            orders: Vec::new(),
            bytes: 0,
        }
    }

    fn is_full(&self) -> bool {
        self.orders.len() >= MAX_ORDERS_PER_MESSAGE
            || self.bytes >= TARGET_MESSAGE_BYTES
    }

    fn add(&mut self, outgoing: OutgoingOrder) {
        let OutgoingOrder { mut order, queued_ms, payload } = outgoing;
        order.age_ms = self.at_ms.saturating_sub(queued_ms);
        if let (OrderKind::Start(start), Some(payload)) =
            (&mut order.what, payload)
        {
            start.payload = self.payload_index(payload);
        }
        self.bytes += order.estimated_bytes();
        self.orders.push(order);
    }

    /// Returns the payload's position; tasks of a job share one.
    fn payload_index(&mut self, payload: Arc<str>) -> u32 {
        // The tasks of a job are ordered one after the other.
        let known =
            self.payloads.iter().rposition(|p| Arc::ptr_eq(p, &payload));
        let position = known.unwrap_or_else(|| {
            self.bytes += payload.len();
            self.payloads.push(payload);
            self.payloads.len() - 1
        });
        // OK to convert: a message has some hundred orders.
        position as u32
    }

    fn encode(self) -> bytes::Bytes {
        let payloads = self.payloads.iter().map(|p| p.to_string()).collect();
        let (at_ms, orders) = (self.at_ms, self.orders);
        wire::encode(&ToRelay::Orders { at_ms, payloads, orders })
    }
}

/// Hands answers to those who wait for them, until the link ends.
async fn read_answers(
    mut frames: Frames,
    link: Arc<RelayLink>,
    traffic: Traffic,
) {
    loop {
        let frame = tokio::select! {
            frame = frames.next() => frame,
            () = link.given_up.notified() => return,
        };
        let Some(Ok(frame)) = frame else { break };
        link.last_heard_ms.store(clock::now_ms(), Ordering::Relaxed);
        link.first_unanswered_ms.store(0, Ordering::Relaxed);
        traffic.note(Purpose::Relays, 0, frame.len() as u64);
        match wire::decode(&frame) {
            Ok(FromRelay::Answers(answers)) => {
                let mut in_flight = link.lock();
                for answered in answers {
                    if let Some(sender) = in_flight.remove(&answered.id) {
                        // Whoever no longer waits has taken it for lost.
                        let _ = sender.send(answered.answer);
                    }
                }
            }
            Ok(FromRelay::Leaving) => link.close(),
            // It says so once, before the link is used.
            Ok(FromRelay::Welcome) => {}
            Err(_) => break,
        }
    }
    link.give_up();
}
