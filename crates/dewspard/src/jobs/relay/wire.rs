/*!
The messages between a holder and its relays.

Messages are length-prefixed frames, encoded with `postcard`. The payload that
tasks of a job share is written once per message.
*/

use {
    bytes::{Bytes, BytesMut},
    dewspar::{
        job::TaskId,
        schedule::{HoldOrder, HoldReport, OrderError, PaceOrder, StopOrder},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::io,
    tokio::{
        io::{AsyncRead, AsyncReadExt},
        net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
};

/// The version of these messages; relays serve only holders with the same
/// version.
pub(super) const VERSION: u32 = 5;

/// The longest message, in bytes: some thousands of orders with a payload of 4
/// kB each.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// The longest first message, in bytes: a node's name and a few numbers.
const MAX_HELLO_BYTES: usize = 4 * 1024;

/// The size at which a message is sent and a new one begun, in bytes: a
/// sixteenth of the longest, which leaves room for one more large order and
/// for what the size estimate leaves out.
pub(super) const TARGET_MESSAGE_BYTES: usize = 1024 * 1024;

/// The estimated size of an order, an answer or a reported run beside its
/// strings, in bytes: a dozen numbers.
const ITEM_OVERHEAD_BYTES: usize = 64;

/// Incoming frames.
pub(super) type Frames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Outgoing frames.
pub(super) type FrameSink = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// The messages that a holder sends.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum ToRelay {
    /// The first message.
    Hello {
        version: u32,
        node: String,
        /// The revision of the holder's lease.
        lease_revision: u64,
        /// When it was sent, on the holder's steady clock.
        at_ms: u64,
    },
    /// Orders to relay.
    Orders {
        /// When it was sent, on the holder's steady clock.
        at_ms: u64,
        /// The payloads of tasks, to which starts refer by index.
        payloads: Vec<String>,
        orders: Vec<Order>,
    },
}

/// An order to relay.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Order {
    /// Chosen by the holder and returned with the answer.
    pub(super) id: u64,
    /// The identifier of the worker's process.
    pub(super) worker: String,
    /// The worker's address.
    pub(super) address: String,
    /// Its age when its message was sent, in milliseconds.
    pub(super) age_ms: u64,
    /// How long the holder waits for its answer, in milliseconds.
    pub(super) limit_ms: u64,
    pub(super) what: OrderKind,
}

impl Order {
    /// Returns the estimated size in a message without the payload, in bytes.
    pub(super) fn estimated_bytes(&self) -> usize {
        let texts = self.worker.len() + self.address.len();
        let more = match &self.what {
            OrderKind::Start(s) => s.checkpoint.len() + s.ticket.len(),
            OrderKind::Stop(_) | OrderKind::Pace(_) | OrderKind::Hold(_) => 0,
        };
        ITEM_OVERHEAD_BYTES + texts + more
    }
}

/// The kinds of orders.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum OrderKind {
    Start(Start),
    Stop(StopOrder),
    Pace(PaceOrder),
    Hold(HoldOrder),
}

/// An order to start a task; the payload is stored separately in the message.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Start {
    pub(super) task: TaskId,
    pub(super) run: u64,
    /// The payload's index in the message.
    pub(super) payload: u32,
    pub(super) lease_until_ms: u64,
    pub(super) fence: u64,
    pub(super) checkpoint: String,
    pub(super) ticket: String,
}

/// The messages that a relay sends.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum FromRelay {
    /// The answer to the first message: the relay is running and takes orders.
    Welcome,
    /// Answers to orders, in any sequence.
    Answers(Vec<Answered>),
    /// The relay stops and takes no new orders.
    Leaving,
}

/// The answer to one order.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Answered {
    pub(super) id: u64,
    pub(super) answer: Answer,
}

/// The result of an order.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum Answer {
    /// It was executed; the worker's clock, in milliseconds.
    Done(u64),
    /// The worker's report in answer to a `hold` order.
    Report(HoldReport),
    /// It failed, or its result is unknown.
    Error(OrderError),
}

impl Answered {
    /// Returns the estimated size in a message, in bytes.
    pub(super) fn estimated_bytes(&self) -> usize {
        let Answer::Report(report) = &self.answer else {
            return ITEM_OVERHEAD_BYTES;
        };
        let active = report.active.iter().map(|run| run.checkpoint.len());
        let ended = report.ended.iter().map(|end| end.checkpoint.len());
        let runs = active.chain(ended).map(|text| ITEM_OVERHEAD_BYTES + text);
        ITEM_OVERHEAD_BYTES + runs.sum::<usize>()
    }
}

/// Returns a stream of incoming frames.
pub(super) fn frames(half: OwnedReadHalf) -> Frames {
    FramedRead::new(half, codec())
}

/// Reads the first message, and nothing behind it.
///
/// Only a message of the usual length is read: whoever sent it isn't known yet.
///
/// # Errors
///
/// Returns an [`io::ErrorKind::InvalidData`] error for a malformed message or
/// one that is too long, and the error of reading it otherwise.
pub(super) async fn read_hello(
    stream: &mut (impl AsyncRead + Unpin),
) -> io::Result<ToRelay> {
    // OK to convert: a length that doesn't fit is over the limit as well.
    let length = stream.read_u32().await? as usize;
    if length > MAX_HELLO_BYTES {
        let reason = format!("a first message of {length} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    let mut frame = BytesMut::zeroed(length);
    stream.read_exact(&mut frame).await?;
    decode(&frame)
}

/// Returns a sink for outgoing frames.
pub(super) fn sink(half: OwnedWriteHalf) -> FrameSink {
    FramedWrite::new(half, codec())
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Encodes a message.
pub(super) fn encode<T: Serialize>(message: &T) -> Bytes {
    // OK because these messages hold only what postcard can write.
    let bytes = postcard::to_stdvec(message).expect("plain data");
    Bytes::from(bytes)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an [`io::ErrorKind::InvalidData`] error for a malformed message.
pub(super) fn decode<T: DeserializeOwned>(frame: &BytesMut) -> io::Result<T> {
    postcard::from_bytes(frame).map_err(|error| {
        io::Error::new(io::ErrorKind::InvalidData, error.to_string())
    })
}
