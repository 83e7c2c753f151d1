/*!
Many connections that send the same, and then stay open.
*/

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::watch,
        task::JoinSet,
        time::{Instant, sleep, timeout},
    },
};

/// About how much a connection writes at once, in bytes, so that all of them
/// make progress beside each other.
const WRITE_BYTES: usize = 16 * 1024;

/// How long a connection waits before it tries to connect again: a full queue
/// of new connections isn't what these tests are about.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The pause between two new connections, so that no queue of new connections
/// overflows: the kernel would drop some of them and try again later.
const CONNECT_PAUSE: Duration = Duration::from_millis(1);

/// What each connection sends.
#[derive(Clone, Debug, Default)]
pub struct Sends {
    /// What it sends once.
    pub first: Vec<u8>,
    /// How many bytes it reads after that, before it sends more.
    pub greeting_bytes: usize,
    /// What it sends after that, again and again.
    pub repeated: Vec<u8>,
    /// How often it sends that.
    pub times: usize,
}

/// How many bytes are missing from a body that stops just short of its end.
const MISSING_BYTES: usize = 10;

impl Sends {
    /// Returns a body that stops just short of this length, behind a head that
    /// announces it.
    pub fn body_that_stops(head: &str, length: usize) -> Sends {
        Sends {
            first: head.as_bytes().to_vec(),
            repeated: vec![b'x'; length - MISSING_BYTES],
            times: 1,
            ..Sends::default()
        }
    }

    /// Returns as many chunks of a body as stay just short of this length.
    pub fn chunks_without_an_end(
        head: &str,
        chunk_bytes: usize,
        length: usize,
    ) -> Sends {
        let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
        chunk.extend(vec![b'x'; chunk_bytes]);
        chunk.extend(b"\r\n");
        Sends {
            first: head.as_bytes().to_vec(),
            repeated: chunk,
            times: (length - MISSING_BYTES) / chunk_bytes,
            ..Sends::default()
        }
    }

    /// Returns a head whose last field doesn't end.
    pub fn head_without_an_end(request_line: &str) -> Sends {
        Sends {
            first: format!("{request_line}\r\nHost: a\r\nX-Long: ")
                .into_bytes(),
            repeated: vec![b'x'; 390_000],
            times: 1,
            ..Sends::default()
        }
    }

    /// Returns empty lines without a request.
    pub fn empty_lines() -> Sends {
        let repeated = b"\r\n".to_vec();
        Sends { repeated, times: 195_000, ..Sends::default() }
    }

    /// Returns what is sent after the first bytes, in writes of a bounded size.
    fn writes(&self) -> impl Iterator<Item = Vec<u8>> {
        let at_once = (WRITE_BYTES / self.repeated.len().max(1)).max(1);
        let full = self.repeated.repeat(at_once);
        let rest = self.repeated.repeat(self.times % at_once);
        std::iter::repeat_n(full, self.times / at_once)
            .chain([rest])
            .filter(|bytes| !bytes.is_empty())
    }
}

/// Open connections; they are closed with it.
pub struct Crowd {
    // Dropping them ends the connections.
    _connections: JoinSet<()>,
    _open: watch::Sender<()>,
    unsent: watch::Receiver<usize>,
}

impl Crowd {
    /// Opens a crowd, each connection of which sends beside the others.
    pub fn open(at: SocketAddr, connections: usize, sends: &Sends) -> Crowd {
        let (open, _) = watch::channel(());
        let (sending, unsent) = watch::channel(connections);
        let mut set = JoinSet::new();
        for number in 0..connections {
            // OK to convert: crowds are small.
            let pause = CONNECT_PAUSE * number as u32;
            let (sends, mut open) = (sends.clone(), open.subscribe());
            let sending = sending.clone();
            set.spawn(async move {
                sleep(pause).await;
                let stream = send(at, &sends).await;
                sending.send_modify(|unsent| *unsent -= 1);
                // It ends when the crowd does.
                let _ = open.changed().await;
                drop(stream);
            });
        }
        Crowd { _connections: set, _open: open, unsent }
    }

    /// Waits until each connection has sent all, or was closed, or the time is
    /// up: a process may also leave what arrives unread.
    pub async fn wait_until_sent(mut self, max_wait: Duration) -> Crowd {
        let unsent = self.unsent.wait_for(|unsent| *unsent == 0);
        if timeout(max_wait, unsent).await.is_err() {
            let unsent = *self.unsent.borrow();
            println!("{unsent} connections are still sending");
        }
        self
    }
}

/// Sends all, or until the connection is closed; returns it if it is open.
async fn send(at: SocketAddr, sends: &Sends) -> Option<TcpStream> {
    let began = Instant::now();
    let mut stream = loop {
        match TcpStream::connect(at).await {
            Ok(stream) => break stream,
            // A process that is out of descriptors may refuse them for long.
            Err(_) if began.elapsed() > Duration::from_secs(10) => {
                return None;
            }
            Err(_) => sleep(CONNECT_RETRY_DELAY).await,
        }
    };
    if stream.write_all(&sends.first).await.is_err() {
        return None;
    }
    let mut greeting = vec![0; sends.greeting_bytes];
    if stream.read_exact(&mut greeting).await.is_err() {
        return None;
    }
    for bytes in sends.writes() {
        if stream.write_all(&bytes).await.is_err() {
            return None;
        }
        tokio::task::yield_now().await;
    }
    // Only a look: an answer stays unread.
    let mut unread = [0; 1];
    let closed = timeout(Duration::ZERO, stream.read(&mut unread)).await;
    match closed {
        Ok(Ok(0) | Err(_)) => None,
        _ => Some(stream),
    }
}
