/*!
The relay: it receives orders, calls the workers, and sends the answers back,
batched while there are many.
*/

use {
    super::super::holder::wait_for_stop,
    super::wire::{
        self, Answer, Answered, FrameSink, FromRelay, Order, OrderKind, Start,
        TARGET_MESSAGE_BYTES, ToRelay, VERSION,
    },
    crate::{clock, counters, inbound_reports},
    dewspar::{
        inbound::InboundLimits,
        relay::Lateness,
        schedule::{Incarnation, OrderError, StartOrder, WorkerId},
    },
    dewspar_platform::{
        JobWorkers,
        inbound::{Connection, Inbound, InboundStream},
    },
    futures_util::{SinkExt, StreamExt},
    slog::{Logger, info},
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        time::{Instant, sleep_until, timeout},
    },
};

/// The largest number of in-flight orders of one holder: eight times the
/// largest order window of a holder with a single relay.
const MAX_IN_FLIGHT: usize = 8_192;

/// The shortest interval between two messages of answers, which batches the
/// answers of that interval: each message costs the holder a wake-up and a
/// system call, and 200 a second from each of a dozen relays take a tenth of
/// its time.
const ANSWER_BATCH_INTERVAL: Duration = Duration::from_millis(5);

/// How long after the holder stopped waiting for it an order is still
/// executed, in milliseconds. A saturated link of 2 Mbit/s buffers 250 kB for
/// that long, and the orders that it delivers this late are still part of the
/// holder's plan. Suspensions last seconds.
const LATE_ORDER_GRACE_MS: u64 = 1_000;

/// What connections may take: some lost holders, whose connections are still
/// open, beside the current one.
const LIMITS: InboundLimits =
    InboundLimits { max_connections: 64, max_bytes: 2 * 1024 * 1024 };

/// How long a connection may take to send its first message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// The revision of the latest lease that any holder has presented.
#[derive(Clone, Debug, Default)]
struct LatestLease(Arc<AtomicU64>);

impl LatestLease {
    /// Records a lease's revision; returns whether there is no later one.
    fn note(&self, revision: u64) -> bool {
        self.0.fetch_max(revision, Ordering::Relaxed) <= revision
    }
}

/// Relays orders for whoever holds the scheduler lease, until the node stops.
pub(in super::super) async fn serve<W: JobWorkers>(
    listener: TcpListener,
    workers: W,
    stopping: watch::Receiver<bool>,
    log: Logger,
) {
    let latest = LatestLease::default();
    let inbound = Inbound::with_fixed_memory(LIMITS, HELLO_TIMEOUT);
    tokio::spawn(inbound.clone().supervise());
    tokio::spawn(inbound_reports::log(inbound.clone(), "relay", log.clone()));
    loop {
        let (stream, connection, _) = inbound.accept(&listener).await;
        let holder = HolderConnection {
            workers: workers.clone(),
            latest: latest.clone(),
            stopping: stopping.clone(),
            in_flight: Arc::default(),
            log: log.clone(),
        };
        tokio::spawn(holder.run(stream, connection));
    }
}

/// One holder's connection.
struct HolderConnection<W> {
    workers: W,
    latest: LatestLease,
    stopping: watch::Receiver<bool>,
    in_flight: Arc<AtomicUsize>,
    log: Logger,
}

impl<W: JobWorkers> HolderConnection<W> {
    async fn run(self, stream: InboundStream, connection: Connection) {
        let log = self.log.clone();
        let ended = tokio::select! {
            ended = self.serve_orders(stream, &connection) => ended,
            () = connection.closed() => Ok("it sent no first message"),
        };
        let reason = match &ended {
            Ok(reason) => (*reason).to_owned(),
            Err(error) => error.to_string(),
        };
        info!(log, "relay: carries no longer"; "reason" => reason);
    }

    /// Serves orders until the connection ends; returns the reason for the
    /// end.
    async fn serve_orders(
        mut self,
        mut stream: InboundStream,
        connection: &Connection,
    ) -> io::Result<&'static str> {
        let hello = wire::read_hello(&mut stream);
        let Ok(hello) = timeout(HELLO_TIMEOUT, hello).await else {
            return Ok("the first message didn't arrive in time");
        };
        let ToRelay::Hello { version, node, lease_revision, at_ms } = hello?
        else {
            return Ok("the first message is no hello");
        };
        if version != VERSION {
            return Ok("the holder uses another protocol version");
        }
        if !self.latest.note(lease_revision) {
            return Ok("a later holder connected before");
        }
        connection.serve();
        info!(self.log, "relay: carries for a holder"; "holder" => node,
            "lease_revision" => lease_revision);
        let (read, write) = stream.into_stream().into_split();
        let mut frames = wire::frames(read);
        let mut lateness = Lateness::new(at_ms, clock::now_ms());
        let mut sink = wire::sink(write);
        sink.send(wire::encode(&FromRelay::Welcome)).await?;
        let (answers, answered) = mpsc::unbounded_channel();
        tokio::spawn(send_answers(sink, answered, self.stopping.clone()));
        loop {
            let frame = tokio::select! {
                frame = frames.next() => frame,
                () = answers.closed() => return Ok("answers can't be sent"),
            };
            let Some(frame) = frame else {
                return Ok("the holder closed the connection");
            };
            let message = wire::decode(&frame?)?;
            // Workers refuse a former holder's orders in any case.
            if !self.latest.note(lease_revision) {
                return Ok("a later holder has connected");
            }
            let ToRelay::Orders { at_ms, payloads, orders } = message else {
                return Ok("the holder sent a second hello");
            };
            let now_ms = clock::now_ms();
            let late_ms = lateness.of(at_ms, now_ms);
            let remaining_ms = |order: &Order| {
                let age_ms = order.age_ms.saturating_add(late_ms);
                let limit_ms =
                    order.limit_ms.saturating_add(LATE_ORDER_GRACE_MS);
                limit_ms.saturating_sub(age_ms)
            };
            // Everything sent before this message has expired as well, and the
            // estimate of the holder's clock may no longer be right.
            if orders.iter().all(|order| remaining_ms(order) == 0) {
                return Ok("all orders of the message have expired");
            }
            let payloads: Vec<Arc<str>> =
                payloads.into_iter().map(Arc::from).collect();
            for order in orders {
                let until_ms = now_ms.saturating_add(remaining_ms(&order));
                self.dispatch(order, until_ms, &payloads, &answers);
            }
        }
    }

    /// Executes an order concurrently with all others, unless the holder gave
    /// it up long ago.
    fn dispatch(
        &mut self,
        order: Order,
        until_ms: u64,
        payloads: &[Arc<str>],
        answers: &mpsc::UnboundedSender<Answered>,
    ) {
        let answers = answers.clone();
        let id = order.id;
        if self.in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
            counters::count(counters::RELAY_REFUSALS);
            let answer = Answer::Error(OrderError::NotSent);
            // The holder may be gone.
            let _ = answers.send(Answered { id, answer });
            return;
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let call = Call::new(order, payloads);
        let in_flight = self.in_flight.clone();
        let workers = self.workers.clone();
        tokio::spawn(async move {
            let expired = clock::now_ms() >= until_ms;
            let answer = if expired {
                Answer::Error(OrderError::NotSent)
            } else {
                call.execute(&workers).await
            };
            in_flight.fetch_sub(1, Ordering::Relaxed);
            // The holder may be gone.
            let _ = answers.send(Answered { id, answer });
        });
    }
}

/// An order with its payload.
struct Call {
    worker: WorkerId,
    address: String,
    kind: OrderKind,
    payload: Option<Arc<str>>,
}

impl Call {
    fn new(order: Order, payloads: &[Arc<str>]) -> Call {
        let payload = match &order.what {
            OrderKind::Start(start) => {
                payloads.get(start.payload as usize).cloned()
            }
            _ => None,
        };
        Call {
            worker: WorkerId::new(&order.worker),
            address: order.address,
            kind: order.what,
            payload,
        }
    }

    async fn execute<W: JobWorkers>(self, workers: &W) -> Answer {
        let Call { worker, address, kind, payload } = self;
        let done = match kind {
            OrderKind::Start(start) => {
                let Some(payload) = payload else {
                    return Answer::Error(OrderError::NotSent);
                };
                let order = start_order(start, payload);
                workers.start(&address, &worker, &order).await
            }
            OrderKind::Stop(order) => {
                workers.stop(&address, &worker, &order).await
            }
            OrderKind::Pace(order) => {
                workers.pace(&address, &worker, &order).await
            }
            OrderKind::Hold(order) => {
                let held = workers.hold(&address, &worker, &order).await;
                return held.map_or_else(Answer::Error, Answer::Report);
            }
        };
        done.map_or_else(Answer::Error, Answer::Done)
    }
}

fn start_order(start: Start, payload: Arc<str>) -> StartOrder {
    StartOrder {
        task: start.task,
        run: start.run,
        payload,
        lease_until_ms: start.lease_until_ms,
        fence: start.fence,
        checkpoint: start.checkpoint,
        ticket: start.ticket,
        // Orders that require a process aren't relayed.
        process: Incarnation::UNKNOWN,
        is_for_process_only: false,
    }
}

/// Sends answers as they come: the first at once, and those that follow within
/// the interval together. Announces when the node stops.
async fn send_answers(
    mut sink: FrameSink,
    mut answered: mpsc::UnboundedReceiver<Answered>,
    mut stopping: watch::Receiver<bool>,
) {
    let mut next_send_at = Instant::now();
    let mut leaving_sent = false;
    loop {
        let first = tokio::select! {
            answer = answered.recv() => answer,
            () = wait_for_stop(&mut stopping), if !leaving_sent => {
                leaving_sent = true;
                let leaving = wire::encode(&FromRelay::Leaving);
                if sink.send(leaving).await.is_err() {
                    return;
                }
                continue;
            }
        };
        let Some(first) = first else { return };
        sleep_until(next_send_at).await;
        let mut bytes = first.estimated_bytes();
        let mut answers = vec![first];
        while bytes < TARGET_MESSAGE_BYTES {
            let Ok(answer) = answered.try_recv() else { break };
            bytes += answer.estimated_bytes();
            answers.push(answer);
        }
        let message = wire::encode(&FromRelay::Answers(answers));
        if sink.send(message).await.is_err() {
            return;
        }
        next_send_at = Instant::now() + ANSWER_BATCH_INTERVAL;
    }
}
