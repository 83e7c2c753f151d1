//! Clients whose number of connections to an address is bounded.

use {
    dewspar_platform::{Client, Error, Urgency, empty_request},
    hyper::Method,
    std::{
        net::SocketAddr,
        num::NonZeroUsize,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        task::yield_now,
        time::sleep,
    },
};

/// How long a call may take, in milliseconds; no call here takes as long
/// unless its test says so.
const TIMEOUT_MS: u64 = 5_000;

/// A server that answers each request once it has a permit for it.
struct Server {
    address: SocketAddr,
    /// The permits for answers.
    answers: Arc<Semaphore>,
    /// The paths that were requested, in order.
    paths: Arc<Mutex<Vec<String>>>,
    /// How many connections were accepted.
    accepted: Arc<Mutex<usize>>,
}

impl Server {
    /// Starts a server that closes each connection after so many answers,
    /// without saying so beforehand.
    async fn start(answers_a_connection: usize) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let answers = Arc::new(Semaphore::new(0));
        let (paths, accepted) = (Arc::default(), Arc::default());
        let server = Server { address, answers, paths, accepted };
        let permits = Arc::clone(&server.answers);
        let paths = Arc::clone(&server.paths);
        let accepted = Arc::clone(&server.accepted);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *accepted.lock().unwrap() += 1;
                let (permits, paths) = (permits.clone(), paths.clone());
                tokio::spawn(async move {
                    serve(stream, answers_a_connection, permits, paths).await
                });
            }
        });
        server
    }

    fn answer(&self, requests: usize) {
        self.answers.add_permits(requests);
    }

    fn paths(&self) -> Vec<String> {
        self.paths.lock().unwrap().clone()
    }

    async fn call(&self, client: &Client, path: &str) -> Result<(), Error> {
        let url = format!("http://{}/{path}", self.address);
        let request = empty_request("test", Method::GET, &url)?;
        client.send("test", request).await.map(drop)
    }
}

/// Answers the requests of one connection, which have no bodies.
async fn serve(
    mut stream: TcpStream,
    answers: usize,
    permits: Arc<Semaphore>,
    paths: Arc<Mutex<Vec<String>>>,
) {
    for _ in 0..answers {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let Ok(byte) = stream.read_u8().await else { return };
            head.push(byte);
        }
        let head = String::from_utf8(head).unwrap();
        let path = head.split(' ').nth(1).unwrap().to_owned();
        paths.lock().unwrap().push(path);
        permits.acquire().await.unwrap().forget();
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}

fn client(limit: usize) -> Client {
    let limit = NonZeroUsize::new(limit).unwrap();
    Client::new(TIMEOUT_MS).with_connection_limit(limit)
}

/// Lets all other tasks run until each of them waits for the network.
async fn settle() {
    for _ in 0..100 {
        yield_now().await;
        sleep(Duration::from_micros(200)).await;
    }
}

/// Guards against a connection for each call of a burst.
#[tokio::test]
async fn a_burst_of_calls_shares_the_connections_that_are_allowed() {
    let server = Arc::new(Server::start(usize::MAX).await);
    let client = client(3);
    server.answer(100);
    let calls: Vec<_> = (0..100)
        .map(|number| {
            let (server, client) = (server.clone(), client.clone());
            let path = number.to_string();
            tokio::spawn(async move { server.call(&client, &path).await })
        })
        .collect();
    for call in calls {
        assert_eq!(call.await.unwrap(), Ok(()));
    }
    assert_eq!(*server.accepted.lock().unwrap(), 3);
}

/// Guards against a lapse of a lease behind calls that could have waited.
#[tokio::test]
async fn the_most_urgent_call_is_sent_first() {
    let server = Arc::new(Server::start(usize::MAX).await);
    let client = client(1);
    let call = |path: &str, urgency| {
        let (server, path) = (server.clone(), path.to_owned());
        let client = client.with_urgency(urgency);
        tokio::spawn(async move { server.call(&client, &path).await })
    };
    let mut calls = vec![call("first", Urgency::Other)];
    settle().await;
    for (path, urgency) in [
        ("other", Urgency::Other),
        ("start-1", Urgency::Start),
        ("start-2", Urgency::Start),
        ("stop", Urgency::Stop),
        ("renewal", Urgency::Renewal),
    ] {
        calls.push(call(path, urgency));
        settle().await;
    }
    assert_eq!(server.paths(), ["/first"], "only one call is under way");
    server.answer(calls.len());
    for call in calls {
        assert_eq!(call.await.unwrap(), Ok(()));
    }
    let order =
        ["/first", "/renewal", "/stop", "/start-1", "/start-2", "/other"];
    assert_eq!(server.paths(), order);
}

/// Guards against a call that counts as possibly done although it never left,
/// and against a connection that is lost with the calls that waited for it.
#[tokio::test]
async fn a_call_that_got_no_connection_did_nothing() {
    let server = Arc::new(Server::start(usize::MAX).await);
    let client = client(1);
    let waiting = {
        let (server, client) = (server.clone(), client.clone());
        tokio::spawn(async move { server.call(&client, "slow").await })
    };
    settle().await;
    let hasty = client.with_timeout_ms(20);
    let refused = server.call(&hasty, "hasty").await;
    assert!(matches!(refused, Err(Error::Unavailable { .. })), "{refused:?}");
    server.answer(2);
    assert_eq!(waiting.await.unwrap(), Ok(()));
    assert_eq!(server.call(&client, "next").await, Ok(()));
    assert_eq!(server.paths(), ["/slow", "/next"]);
}

/// Guards against a connection that stays in use after its call was given up.
#[tokio::test]
async fn a_call_without_an_answer_gives_up_its_connection() {
    let server = Server::start(usize::MAX).await;
    let client = client(1);
    let hasty = client.with_timeout_ms(20);
    for _ in 0..3 {
        let lost = server.call(&hasty, "lost").await;
        assert!(matches!(lost, Err(Error::Lost { .. })), "{lost:?}");
    }
    // Of these, the calls that were given up take as many as were sent.
    server.answer(4);
    assert_eq!(server.call(&client, "next").await, Ok(()));
    assert_eq!(client.given_up(), 3);
}

/// Guards against calls that fail because a server has closed an idle
/// connection.
#[tokio::test]
async fn a_connection_that_was_closed_while_idle_is_replaced() {
    let server = Server::start(1).await;
    let client = client(1);
    server.answer(3);
    for path in ["a", "b", "c"] {
        assert_eq!(server.call(&client, path).await, Ok(()));
        settle().await;
    }
    assert_eq!(*server.accepted.lock().unwrap(), 3);
}
