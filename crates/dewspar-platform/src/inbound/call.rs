/*!
An open connection, the calls on it, and the bytes that these hold.
*/

use {
    super::{LimitReason, account::Account},
    std::{error::Error as StdError, future::Future, sync::Arc},
};

/// An open connection; it is no longer counted once this is dropped.
pub struct Connection(Arc<Account>);

impl Connection {
    pub(super) fn new(account: Arc<Account>) -> Connection {
        Connection(account)
    }

    /// Returns a handle that begins calls, for the service of the connection.
    pub fn calls(&self) -> Calls {
        Calls(Arc::clone(&self.0))
    }

    /// Serves the connection until it ends, or until it must be closed.
    pub async fn run<E>(self, serving: impl Future<Output = Result<(), E>>)
    where
        E: Into<Box<dyn StdError + Send + Sync>>,
    {
        let ended = tokio::select! {
            ended = serving => ended,
            () = self.0.closed() => return,
        };
        let Err(error) = ended else { return };
        let error = error.into();
        let error = error.downcast_ref::<hyper::Error>();
        if error.is_some_and(hyper::Error::is_parse_too_large) {
            self.0.note(LimitReason::LongHead);
        }
    }

    /// Waits until the connection must be closed.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Notes that the connection made progress, for one whose stream isn't an
    /// [`InboundStream`](super::InboundStream).
    pub fn note_progress(&self) {
        self.0.note_progress();
    }

    /// Marks the connection as served: it doesn't give way any more.
    pub fn serve(&self) {
        self.0.begin_serving();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// Begins the calls of one connection.
#[derive(Clone)]
pub struct Calls(Arc<Account>);

impl Calls {
    /// Begins a call, whose head has arrived as a whole.
    pub fn begin(&self) -> Call {
        Call::new(Arc::clone(&self.0))
    }
}

/// A request on a connection, from its head to its answer.
pub struct Call {
    pub(super) account: Arc<Account>,
    is_served: bool,
}

impl Call {
    fn new(account: Arc<Account>) -> Call {
        account.begin_call();
        Call { account, is_served: false }
    }

    /// Marks the request as served: its connection doesn't give way any more.
    pub fn serve(&mut self) {
        if !self.is_served {
            self.is_served = true;
            self.account.begin_serving();
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.account.end_call(self.is_served);
    }
}

/// Bytes that a connection holds; released when dropped.
pub(super) struct Held {
    account: Arc<Account>,
    bytes: usize,
}

impl Held {
    pub(super) fn new(account: Arc<Account>, bytes: usize) -> Held {
        account.hold(bytes);
        Held { account, bytes }
    }

    /// Counts more bytes, or fewer, as being held.
    pub(super) fn resize(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.account.hold(bytes - self.bytes);
        } else {
            self.account.release(self.bytes - bytes);
        }
        self.bytes = bytes;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.account.release(self.bytes);
    }
}
