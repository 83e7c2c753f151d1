/*!
The holder's connection to one relay.

Orders that arrive while the link is writing go out together in the next
message, each with its age, so that a relay that was suspended can tell which
of them have expired when it resumes. Each order waits for its own answer for a
limited time: a relay answers each order once its own call has ended. If an
order gets no answer and the relay has sent nothing else since, the relay or
the network path to it is silent, and the link as a whole is abandoned.
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

/// How long a connection to a relay may take to open: several times the
/// round-trip time within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a relay may take to answer the first message, in milliseconds. The
/// same as for opening the connection, because the relay's kernel accepts
/// connections even while the relay itself is suspended.
const WELCOME_TIMEOUT_MS: u64 = 300;

/// How long sent bytes may stay unacknowledged by the relay's kernel: three
/// transmissions on a nearby link, as for workers.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a link that is no longer used stays open for answers: longer than
/// any order takes.
const RETIRE_DELAY: Duration = Duration::from_secs(3);

/// How far apart two unanswered orders must be for the relay to count as
/// silent, in milliseconds: longer than it takes to read answers that have
/// already arrived.
const MIN_SILENCE_MS: u64 = 50;

/// How many workers in a row, all reachable by the holder, a relay must fail
/// to reach before it is no longer used: one or two may have been briefly
/// away.
const MAX_UNREACHED: u32 = 3;

/// The largest number of orders in one message.
const MAX_ORDERS_PER_MESSAGE: usize = 512;

/// An order that waits to be put into a message.
#[derive(Debug)]
pub(super) struct OutgoingOrder {
    pub(super) order: Order,
    /// When it was queued on the link, on the steady clock.
    pub(super) queued_ms: u64,
    /// The task's payload, for a start.
    pub(super) payload: Option<Arc<str>>,
}

/// The relay gave no answer.
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
    /// When an order first went unanswered since then; 0 for none.
    first_unanswered_ms: AtomicU64,
    /// How many workers the relay failed to reach since it last reached one,
    /// though this node reaches them.
    unreached: AtomicU32,
    is_open: AtomicBool,
    abandoned: Notify,
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
            abandoned: Notify::new(),
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

    /// Stops sending new orders; in-flight orders may still be answered.
    pub(super) fn close(&self) {
        self.is_open.store(false, Ordering::Relaxed);
    }

    /// Records that the relay reached a worker.
    pub(super) fn note_reached(&self) {
        self.unreached.store(0, Ordering::Relaxed);
    }

    /// Records that the relay didn't reach a worker that this node reaches.
    /// After [`MAX_UNREACHED`] in a row, the link is closed.
    pub(super) fn note_unreached(&self) {
        let before = self.unreached.fetch_add(1, Ordering::Relaxed);
        if before + 1 >= MAX_UNREACHED {
            self.close();
        }
    }

    /// Stops sending new orders, and ends the link once in-flight orders have
    /// had time to be answered.
    pub(super) fn retire(self: &Arc<RelayLink>) {
        self.close();
        let link = self.clone();
        tokio::spawn(async move {
            sleep(RETIRE_DELAY).await;
            link.abandon();
        });
    }

    /// Ends the link; all in-flight orders stay unanswered.
    pub(super) fn abandon(&self) {
        self.close();
        self.lock().clear();
        self.abandoned.notify_waiters();
        self.abandoned.notify_one();
    }

    /// Sends an order to the relay, and waits for its answer for at most
    /// `limit`.
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
                    self.abandon();
                }
                Err(NoAnswer)
            }
        }
    }

    /// Records an unanswered order; returns whether the relay is silent.
    ///
    /// It takes two such orders, some time apart: a single answer may be late,
    /// and after this node itself was suspended, every order times out before
    /// any of the answers that have arrived is read.
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

/// Waits until a relay shows that it is running. Orders sent to a suspended
/// relay would wait in the connection, and it couldn't tell for how long.
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
    // This node itself may have been suspended meanwhile.
    if clock::now_ms() > hello_sent_ms + WELCOME_TIMEOUT_MS {
        return Err(io::ErrorKind::TimedOut.into());
    }
    Ok(())
}

/// Writes queued orders, batching those that are ready into one message.
async fn write_orders(
    mut sink: FrameSink,
    mut orders: mpsc::UnboundedReceiver<OutgoingOrder>,
    link: Arc<RelayLink>,
    traffic: Traffic,
) {
    loop {
        let first = tokio::select! {
            order = orders.recv() => order,
            () = link.abandoned.notified() => None,
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
            link.abandon();
            return;
        }
    }
}

/// A message of orders under construction.
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

    /// Returns the index of the payload in the message; tasks of a job share
    /// one.
    fn payload_index(&mut self, payload: Arc<str>) -> u32 {
        // The tasks of a job are ordered one after the other, so a match is
        // near the end.
        let known =
            self.payloads.iter().rposition(|p| Arc::ptr_eq(p, &payload));
        let position = known.unwrap_or_else(|| {
            self.bytes += payload.len();
            self.payloads.push(payload);
            self.payloads.len() - 1
        });
        // OK to convert: a message has at most some hundred orders.
        position as u32
    }

    fn encode(self) -> bytes::Bytes {
        let payloads = self.payloads.iter().map(|p| p.to_string()).collect();
        let (at_ms, orders) = (self.at_ms, self.orders);
        wire::encode(&ToRelay::Orders { at_ms, payloads, orders })
    }
}

/// Passes answers to the calls that wait for them, until the link ends.
async fn read_answers(
    mut frames: Frames,
    link: Arc<RelayLink>,
    traffic: Traffic,
) {
    loop {
        let frame = tokio::select! {
            frame = frames.next() => frame,
            () = link.abandoned.notified() => return,
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
                        // The call may have timed out meanwhile.
                        let _ = sender.send(answered.answer);
                    }
                }
            }
            Ok(FromRelay::Leaving) => link.close(),
            // Sent only once, before the link is used.
            Ok(FromRelay::Welcome) => {}
            Err(_) => break,
        }
    }
    link.abandon();
}
