use {
    super::account::Account,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A client's connection, which notes what arrives and what is sent.
pub struct InboundStream {
    stream: TcpStream,
    account: Arc<Account>,
}

impl InboundStream {
    pub(super) fn new(
        stream: TcpStream,
        account: Arc<Account>,
    ) -> InboundStream {
        InboundStream { stream, account }
    }

    /// Returns the plain connection, on which nothing is noted any more.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Notes what was sent of what is ready, and what waits.
    fn note_sent(&self, ready_bytes: usize, sent: &Poll<io::Result<usize>>) {
        let sent_bytes = match sent {
            Poll::Ready(Ok(bytes)) => *bytes,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        if sent_bytes > 0 {
            self.account.note_progress();
        }
        self.account.waits_to_be_sent(ready_bytes - sent_bytes);
    }
}

impl AsyncRead for InboundStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        self.account.offered(buffer.remaining());
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.account.received(bytes);
        }
        read
    }
}

impl AsyncWrite for InboundStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_sent(bytes.len(), &sent);
        sent
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = Pin::new(&mut self.stream);
        let sent = stream.poll_write_vectored(context, slices);
        let ready_bytes = slices.iter().map(|slice| slice.len()).sum();
        self.note_sent(ready_bytes, &sent);
        sent
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
