/*!
Load: callers that send requests, check their answers and write them down.

Each caller has one connection at a time and sends one request after another,
to the nodes in turn as the platform's balancer would. An answer must name the
request that it belongs to.
*/

use {
    bytes::Bytes,
    dewspar::{
        history::{Event, Told},
        once::Key,
    },
    dewspar_standin::recorder::Recorder,
    hdrhistogram::Histogram,
    http_body_util::{BodyExt, Full},
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::HeaderValue,
    },
    hyper_util::rt::TokioIo,
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde_json::Value,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::TcpStream,
        sync::watch,
        task::JoinSet,
        time::{Instant, sleep, timeout},
    },
};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(15);

/// The pause after a node couldn't be reached.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// How many times a caller repeats a request that was not run.
const MOST_REPEATS: u32 = 20;

/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// What callers send.
#[derive(Clone, Debug)]
pub struct Options {
    services: Vec<String>,
    callers: usize,
    filings_percent: u32,
    pause: Duration,
    seed: u64,
    recorder: Option<Recorder>,
    body: Bytes,
}

impl Options {
    /// Makes options for requests to these services.
    pub fn new(services: &[String]) -> Options {
        Options {
            services: services.to_vec(),
            callers: 8,
            filings_percent: 30,
            pause: Duration::ZERO,
            seed: 1,
            recorder: None,
            body: Bytes::from_static(b"amendment of article 4"),
        }
    }

    /// Sets how many callers there are.
    pub fn callers(mut self, callers: usize) -> Options {
        self.callers = callers;
        self
    }

    /// Sets how many of a hundred requests are filings.
    pub fn filings_percent(mut self, percent: u32) -> Options {
        self.filings_percent = percent;
        self
    }

    /// Sets how long each caller pauses between two requests.
    pub fn pause(mut self, pause: Duration) -> Options {
        self.pause = pause;
        self
    }

    /// Sets the seed of what happens by chance.
    pub fn seed(mut self, seed: u64) -> Options {
        self.seed = seed;
        self
    }

    /// Sets where requests and answers are written down.
    pub fn recorder(mut self, recorder: Recorder) -> Options {
        self.recorder = Some(recorder);
        self
    }
}

/// What callers got.
#[derive(Clone, Debug)]
pub struct Results {
    /// Times of answered requests, in microseconds.
    pub times_us: Histogram<u64>,
    /// Requests that ran.
    pub ran: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests of which nobody knows.
    pub unknown: u64,
    /// Connections that broke before an answer.
    pub broken: u64,
    /// How often each problem was told.
    pub problems: BTreeMap<String, u64>,
    /// How long the load went on.
    pub elapsed: Duration,
}

impl Default for Results {
    fn default() -> Results {
        // OK because the bounds are in order and two digits are few; three
        // would cost each caller a quarter of a megabyte.
        let times_us = Histogram::new_with_bounds(1, LONGEST_US, 2)
            .expect("valid bounds");
        Results {
            times_us,
            ran: 0,
            not_run: 0,
            unknown: 0,
            broken: 0,
            problems: BTreeMap::new(),
            elapsed: Duration::ZERO,
        }
    }
}

impl Results {
    /// Returns how many requests ran in a second.
    pub fn per_second(&self) -> f64 {
        self.ran as f64 / self.elapsed.as_secs_f64().max(1e-9)
    }

    /// Returns the time within which this share of requests was answered, in
    /// microseconds.
    pub fn quantile_us(&self, share: f64) -> u64 {
        self.times_us.value_at_quantile(share)
    }

    fn add(&mut self, other: &Results) {
        // OK because both histograms grow as they need to.
        self.times_us.add(&other.times_us).expect("same bounds");
        self.ran += other.ran;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.broken += other.broken;
        for (problem, count) in &other.problems {
            *self.problems.entry(problem.clone()).or_default() += count;
        }
    }
}

/// Callers at work.
#[derive(Debug)]
pub struct Load {
    stop: watch::Sender<bool>,
    callers: JoinSet<Results>,
    started: Instant,
}

impl Load {
    /// Starts callers that send to these nodes.
    ///
    /// The list may change while they work, as the balancer's does.
    pub fn start(
        options: &Options,
        nodes: watch::Receiver<Vec<SocketAddr>>,
    ) -> Load {
        let (stop, stopped) = watch::channel(false);
        let numbers = Arc::new(AtomicU64::new(1));
        let mut callers = JoinSet::new();
        for index in 0..options.callers {
            let seed = options.seed ^ (index as u64) << 32;
            let caller = Caller {
                options: options.clone(),
                nodes: nodes.clone(),
                numbers: Arc::clone(&numbers),
                random: StdRng::seed_from_u64(seed),
                connection: None,
                results: Results::default(),
            };
            callers.spawn(caller.run(stopped.clone()));
        }
        Load { stop, callers, started: Instant::now() }
    }

    /// Lets every caller finish its request, and returns what they got.
    pub async fn finish(mut self) -> Results {
        let elapsed = self.started.elapsed();
        let _ = self.stop.send(true);
        let mut total = Results { elapsed, ..Results::default() };
        while let Some(results) = self.callers.join_next().await {
            if let Ok(results) = results {
                total.add(&results);
            }
        }
        total
    }
}

/// One request, as often as it is sent.
struct Sending {
    service: String,
    key: Option<Key>,
}

/// What became of one attempt.
enum Heard {
    Ran,
    NotRun { again_in: Duration },
    Unknown,
    Broken,
}

struct Caller {
    options: Options,
    nodes: watch::Receiver<Vec<SocketAddr>>,
    numbers: Arc<AtomicU64>,
    random: StdRng,
    connection: Option<(SocketAddr, SendRequest<Full<Bytes>>)>,
    results: Results,
}

impl Caller {
    async fn run(mut self, stopped: watch::Receiver<bool>) -> Results {
        while !*stopped.borrow() {
            let sending = self.next_request();
            self.send_until_settled(&sending, &stopped).await;
            if !self.options.pause.is_zero() {
                sleep(self.options.pause).await;
            }
        }
        self.results
    }

    fn next_request(&mut self) -> Sending {
        let which = self.random.random_range(0..self.options.services.len());
        let service = self.options.services[which].clone();
        let filing =
            self.random.random_range(0..100) < self.options.filings_percent;
        let key = filing.then(|| Key::at(unix_ms(), self.random.random()));
        Sending { service, key }
    }

    /// Sends a request, and again while it was certainly not run.
    async fn send_until_settled(
        &mut self,
        sending: &Sending,
        stopped: &watch::Receiver<bool>,
    ) {
        for _ in 0..MOST_REPEATS {
            let since = Instant::now();
            match self.send(sending).await {
                Heard::Ran => {
                    let us = since.elapsed().as_micros();
                    let us = u64::try_from(us).unwrap_or(u64::MAX);
                    self.results.times_us.saturating_record(us.max(1));
                    self.results.ran += 1;
                    return;
                }
                Heard::NotRun { again_in } => {
                    self.results.not_run += 1;
                    if *stopped.borrow() {
                        return;
                    }
                    sleep(again_in).await;
                }
                Heard::Unknown => {
                    self.results.unknown += 1;
                    return;
                }
                Heard::Broken => {
                    self.results.broken += 1;
                    sleep(RECONNECT_PAUSE).await;
                    // A filing is asked for again under its own key; the
                    // node says what became of it.
                    if *stopped.borrow() {
                        return;
                    }
                }
            }
        }
    }

    async fn send(&mut self, sending: &Sending) -> Heard {
        let Some(mut connection) = self.connect().await else {
            return Heard::Broken;
        };
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        self.record(|| Event::Sent {
            request: id.clone(),
            key: sending.key.map(|key| key.to_string()),
        });
        let request = self.request(sending, &id);
        let exchanged =
            timeout(PATIENCE, exchange(&mut connection.1, request)).await;
        let Ok(Some((status, told, retry_ms, body))) = exchanged else {
            return Heard::Broken;
        };
        self.connection = Some(connection);
        // Of a filing that ran before, the answer may no longer be kept.
        let kept = !body.is_empty() || sending.key.is_none();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let cut = status.is_success() && body.is_null() && kept;
        self.note_problem(status, &body);
        self.record(|| Event::Answered {
            request: id.clone(),
            told,
            body_of: answer_of(&body, sending, &id),
            whole: !cut,
        });
        match told {
            Told::Ran => Heard::Ran,
            Told::Unknown => Heard::Unknown,
            Told::NotRun => {
                let again_in = Duration::from_millis(retry_ms);
                Heard::NotRun { again_in }
            }
        }
    }

    fn request(&self, sending: &Sending, id: &str) -> Request<Full<Bytes>> {
        let body = match sending.key {
            Some(_) => Full::new(self.options.body.clone()),
            None => Full::default(),
        };
        let mut request = Request::new(body);
        let path = format!("/{}/item", sending.service);
        // OK because services' names are valid in a path.
        *request.uri_mut() = path.parse().expect("a path");
        let headers = request.headers_mut();
        headers.insert("host", HeaderValue::from_static("dewspar"));
        // OK because an identifier has only letters and digits.
        let id = HeaderValue::from_str(id).expect("a header's value");
        headers.insert("x-request-id", id);
        if let Some(key) = sending.key {
            // OK because a key prints as a UUID.
            let key = HeaderValue::from_str(&key.to_string());
            headers.insert("idempotency-key", key.expect("a UUID"));
            *request.method_mut() = Method::POST;
        }
        request
    }

    async fn connect(
        &mut self,
    ) -> Option<(SocketAddr, SendRequest<Full<Bytes>>)> {
        let nodes = self.nodes.borrow().clone();
        if let Some(connection) = self.connection.take()
            && nodes.contains(&connection.0)
            && connection.1.is_ready()
        {
            return Some(connection);
        }
        if nodes.is_empty() {
            return None;
        }
        let node = nodes[self.random.random_range(0..nodes.len())];
        let stream = TcpStream::connect(node).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some((node, sender))
    }

    fn note_problem(&mut self, status: StatusCode, body: &Value) {
        if let Some(problem) = body["type"].as_str() {
            let name = problem.rsplit(':').next().unwrap_or(problem);
            let name = format!("{} {name}", status.as_u16());
            *self.results.problems.entry(name).or_default() += 1;
        }
    }

    fn record(&self, event: impl FnOnce() -> Event) {
        if let Some(recorder) = &self.options.recorder {
            recorder.record(event());
        }
    }
}

/// Returns the request that an answer's body names, if it must name one.
///
/// A filing that ran before is answered with the first answer, which names
/// the attempt that ran.
fn answer_of(body: &Value, sending: &Sending, id: &str) -> Option<String> {
    let named = body["request"].as_str()?.to_owned();
    if sending.key.is_some() && named != id {
        return None;
    }
    Some(named)
}

type Exchanged = (StatusCode, Told, u64, Bytes);

async fn exchange(
    connection: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Option<Exchanged> {
    let response = connection.send_request(request).await.ok()?;
    let status = response.status();
    let told = told(&response);
    let retry_ms = retry_ms(&response);
    let body = response.into_body().collect().await.ok()?;
    Some((status, told, retry_ms, body.to_bytes()))
}

fn told(response: &Response<Incoming>) -> Told {
    let header = response.headers().get("dewspar-outcome");
    match header.map(HeaderValue::as_bytes) {
        Some(b"not-run") => Told::NotRun,
        Some(b"unknown") => Told::Unknown,
        // A bare target, asked directly, has no such header.
        _ => Told::Ran,
    }
}

fn retry_ms(response: &Response<Incoming>) -> u64 {
    let header = response.headers().get("retry-after");
    let seconds = header.and_then(|value| value.to_str().ok()?.parse().ok());
    // Callers of a test are less patient than the header's whole seconds.
    seconds.map_or(10, |seconds: u64| (seconds * 100).min(500))
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
