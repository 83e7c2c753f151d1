/*!
Reading the body of a request within bounds.
*/

use {
    super::{
        LimitReason,
        call::{Call, Held},
    },
    bytes::{Bytes, BytesMut},
    displaydoc::Display,
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep_until, timeout},
};

/// How much of a refused body is read at most so that its client gets the
/// answer, in bytes: unread bytes would reset the connection.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// How long that may take at most.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The bounds of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Its largest size, in bytes.
    pub max_bytes: usize,
    /// When all of it must have arrived.
    pub deadline: Instant,
}

/// Why a body was refused.
#[derive(Debug, Display)]
pub enum BodyRefusal {
    /// it is longer than {max_bytes} bytes
    TooLong {
        /// The largest size, in bytes.
        max_bytes: usize,
    },
    /// it didn't arrive in time
    Late,
    /// all requests together take too much memory
    NoRoom,
    /// {0}
    Broken(hyper::Error),
}

impl std::error::Error for BodyRefusal {}

/// The size up to which answers aren't counted, in bytes: they fit into the
/// buffers of their connection.
const UNCOUNTED_ANSWER_BYTES: usize = 4 * 1024;

/// Bytes that are counted until they are dropped.
struct HeldBytes<B> {
    bytes: B,
    _held: Held,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl Call {
    /// Reads a body as a whole, and marks the request as served from then on.
    /// The bytes are counted until the last clone of them is dropped.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyRefusal`] if the body exceeds a bound. A body whose
    /// announced length is over the bound is refused before any of it is read.
    pub async fn read_body(
        &mut self,
        body: &mut Incoming,
        limits: BodyLimits,
    ) -> Result<Bytes, BodyRefusal> {
        let read = self.read_within(body, limits).await;
        let reason = match &read {
            Ok(bytes) => {
                self.account.note_body(bytes.len());
                self.serve();
                return read;
            }
            Err(BodyRefusal::TooLong { .. }) => LimitReason::LongBody,
            Err(BodyRefusal::Late) => LimitReason::LateBody,
            // Counted where it was made to give way, or no limit.
            Err(BodyRefusal::NoRoom | BodyRefusal::Broken(_)) => return read,
        };
        self.account.note(reason);
        read
    }

    /// Reads what a client still sends of a refused body, within bounds, so that
    /// the answer reaches it.
    pub async fn discard(self, mut body: Incoming) {
        let reading = async {
            let mut bytes = 0;
            while bytes < MAX_DISCARDED_BYTES {
                let Some(Ok(frame)) = body.frame().await else { return };
                bytes += frame.data_ref().map_or(0, Bytes::len);
            }
        };
        // OK to ignore: the connection is closed in either case.
        let _ = timeout(DISCARD_TIMEOUT, reading).await;
    }

    /// Returns the body of an answer that counts until it has been sent, or its
    /// connection closed: a client may never read it.
    pub fn hold_answer(&self, bytes: Bytes) -> Bytes {
        if bytes.len() <= UNCOUNTED_ANSWER_BYTES {
            return bytes;
        }
        let held = Held::new(Arc::clone(&self.account), bytes.len());
        Bytes::from_owner(HeldBytes { bytes, _held: held })
    }

    async fn read_within(
        &self,
        body: &mut Incoming,
        limits: BodyLimits,
    ) -> Result<Bytes, BodyRefusal> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let max_bytes = limits.max_bytes;
        let announced = body.size_hint().exact();
        if announced.is_some_and(|length| length > max_bytes as u64) {
            return Err(BodyRefusal::TooLong { max_bytes });
        }
        let mut bytes = BytesMut::new();
        let mut held = Held::new(Arc::clone(&self.account), 0);
        let late = sleep_until(limits.deadline);
        tokio::pin!(late);
        loop {
            let frame = tokio::select! {
                biased;
                () = self.account.must_give_way() => {
                    return Err(BodyRefusal::NoRoom);
                }
                frame = body.frame() => frame,
                () = &mut late => return Err(BodyRefusal::Late),
            };
            let frame = match frame {
                Some(frame) => frame.map_err(BodyRefusal::Broken)?,
                None => break,
            };
            // Trailers mean nothing here.
            let Ok(data) = frame.into_data() else { continue };
            if data.len() > max_bytes - bytes.len() {
                return Err(BodyRefusal::TooLong { max_bytes });
            }
            // Copied, since a chunk keeps the buffer that it was read into.
            bytes.extend_from_slice(&data);
            held.resize(bytes.capacity());
        }
        let body = HeldBytes { bytes, _held: held };
        Ok(Bytes::from_owner(body))
    }
}
