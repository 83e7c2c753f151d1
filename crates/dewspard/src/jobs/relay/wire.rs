/*!
The messages between a holder and its relays.

Frames with their length before them, written with `postcard`. What several
orders of a message have in common, the text that the tasks of a job are given,
stands in it once.
*/

use {
    bytes::{Bytes, BytesMut},
    dewspar::{
        job::TaskId,
        schedule::{HoldOrder, HoldReport, OrderError, PaceOrder, StopOrder},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::io,
    tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
};

/// The version of these messages; relays carry only for holders with the same.
pub(super) const VERSION: u32 = 3;

/// The longest message, in bytes: some thousands of orders with a payload of
/// 4 kB each.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// How much a message holds before what follows goes into another, in bytes: a
/// sixteenth of the longest, so that what is left out of account and one large
/// order more find room.
pub(super) const TARGET_MESSAGE_BYTES: usize = 1024 * 1024;

/// What an order or a run in an answer takes beside its texts, in bytes: a dozen
/// numbers.
const ITEM_OVERHEAD_BYTES: usize = 64;

/// Incoming frames.
pub(super) type Frames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Outgoing frames.
pub(super) type FrameSink = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// What a holder sends.
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
    /// Orders to carry.
    Orders {
        /// When it was sent, on the holder's steady clock.
        at_ms: u64,
        /// What tasks are given, as starts refer to it.
        payloads: Vec<String>,
        orders: Vec<Order>,
    },
}

/// An order to carry.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Order {
    /// Chosen by the holder, to be given back with the answer.
    pub(super) id: u64,
    /// The worker's life.
    pub(super) worker: String,
    /// Where it takes orders.
    pub(super) address: String,
    /// How old it was when its message was sent.
    pub(super) age_ms: u64,
    /// For how long the holder waits for its answer.
    pub(super) limit_ms: u64,
    pub(super) what: OrderKind,
}

impl Order {
    /// Returns about how long it is in a message, without a payload, in bytes.
    pub(super) fn estimated_bytes(&self) -> usize {
        let texts = self.worker.len() + self.address.len();
        let more = match &self.what {
            OrderKind::Start(s) => s.checkpoint.len() + s.ticket.len(),
            OrderKind::Stop(_) | OrderKind::Pace(_) | OrderKind::Hold(_) => 0,
        };
        ITEM_OVERHEAD_BYTES + texts + more
    }
}

/// What an order is.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum OrderKind {
    Start(Start),
    Stop(StopOrder),
    Pace(PaceOrder),
    Hold(HoldOrder),
}

/// An order to start, with its payload apart.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Start {
    pub(super) task: TaskId,
    pub(super) run: u64,
    /// The payload's position in the message.
    pub(super) payload: u32,
    pub(super) lease_until_ms: u64,
    pub(super) fence: u64,
    pub(super) checkpoint: String,
    pub(super) ticket: String,
}

/// What a relay sends.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum FromRelay {
    /// The answer to the first message: the relay is awake, and takes orders.
    Welcome,
    /// Answers to orders, in any order.
    Answers(Vec<Answered>),
    /// The relay stops: nothing new is to be sent.
    Leaving,
}

/// The answer to one order.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Answered {
    pub(super) id: u64,
    pub(super) answer: Answer,
}

/// What became of an order.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum Answer {
    /// It was carried out; the worker's clock, in milliseconds.
    Done(u64),
    /// What a question found.
    Report(HoldReport),
    /// It has no result.
    Error(OrderError),
}

impl Answered {
    /// Returns about how long it is in a message, in bytes.
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

/// Reads frames.
pub(super) fn frames(half: OwnedReadHalf) -> Frames {
    FramedRead::new(half, codec())
}

/// Writes frames.
pub(super) fn sink(half: OwnedWriteHalf) -> FrameSink {
    FramedWrite::new(half, codec())
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Writes a message.
pub(super) fn encode<T: Serialize>(message: &T) -> Bytes {
    // OK because these messages hold only what postcard can write.
    let bytes = postcard::to_stdvec(message).expect("plain data");
    Bytes::from(bytes)
}

/// Reads a message.
pub(super) fn decode<T: DeserializeOwned>(frame: &BytesMut) -> io::Result<T> {
    postcard::from_bytes(frame).map_err(|error| {
        io::Error::new(io::ErrorKind::InvalidData, error.to_string())
    })
}
