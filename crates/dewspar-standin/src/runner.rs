/*!
A target: a runner of one service, with few slots.

It answers each request with a JSON object that names the request it belongs
to, so that a caller can tell its own answer from another's. Over its slots it
refuses with status 503 and the header `dewspar-not-run`, which means that
the request was certainly not run.
*/

use {
    crate::{
        faults::{Fate, Faults},
        recorder::Recorder,
        server::{self, Body, Server},
    },
    dewspar::history::Event,
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::Incoming,
        header::{self, HeaderValue},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// The length that an answer announces which is to break off.
const MORE_THAN_COMES: u64 = 100_000;

/// The header in which a runner says that it did not run a request.
pub const NOT_RUN: &str = "dewspar-not-run";

/// A running runner; it stops, with its connections, when it is dropped.
#[derive(Debug)]
pub struct Runner {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    name: String,
    vm: String,
    slots: u32,
    service_time: Duration,
    in_flight: AtomicU32,
    most_in_flight: AtomicU32,
    refused: AtomicU64,
    done: AtomicU64,
    running: Mutex<Vec<String>>,
    faults: Faults,
    recorder: Recorder,
    record_runs: bool,
}

/// What a runner is and how it behaves.
#[derive(Clone, Debug)]
pub struct Options {
    name: String,
    vm: String,
    slots: u32,
    service_time: Duration,
    faults: Faults,
    recorder: Recorder,
    record_runs: bool,
}

impl Options {
    /// Makes options for a runner with 8 slots that answers at once.
    pub fn new(name: &str, vm: &str) -> Options {
        Options {
            name: name.to_owned(),
            vm: vm.to_owned(),
            slots: 8,
            service_time: Duration::ZERO,
            faults: Faults::new(0),
            recorder: Recorder::default(),
            record_runs: true,
        }
    }

    /// Sets whether it writes down what it ran (default true).
    pub fn record_runs(mut self, record_runs: bool) -> Options {
        self.record_runs = record_runs;
        self
    }

    /// Sets how many requests it takes at a time.
    pub fn slots(mut self, slots: u32) -> Options {
        self.slots = slots;
        self
    }

    /// Sets how long each request takes.
    pub fn service_time(mut self, service_time: Duration) -> Options {
        self.service_time = service_time;
        self
    }

    /// Sets what goes wrong.
    pub fn faults(mut self, faults: Faults) -> Options {
        self.faults = faults;
        self
    }

    /// Sets where it writes down what it ran.
    pub fn recorder(mut self, recorder: Recorder) -> Options {
        self.recorder = recorder;
        self
    }

    /// Starts the runner at `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(self, address: SocketAddr) -> io::Result<Runner> {
        let shared = Arc::new(Shared {
            name: self.name,
            vm: self.vm,
            slots: self.slots,
            service_time: self.service_time,
            in_flight: AtomicU32::new(0),
            most_in_flight: AtomicU32::new(0),
            refused: AtomicU64::new(0),
            done: AtomicU64::new(0),
            running: Mutex::default(),
            faults: self.faults,
            recorder: self.recorder,
            record_runs: self.record_runs,
        });
        let served = Arc::clone(&shared);
        let server = Server::start(address, move |request| {
            answer(Arc::clone(&served), request)
        })
        .await?;
        Ok(Runner { server, shared })
    }
}

impl Runner {
    /// Returns the address that it serves at.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns how many requests it runs now.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the identifiers of the requests that it runs now.
    pub fn requests_in_flight(&self) -> Vec<String> {
        self.shared.running().clone()
    }

    /// Returns the most requests that it ever ran at a time.
    pub fn most_in_flight(&self) -> u32 {
        self.shared.most_in_flight.load(Ordering::SeqCst)
    }

    /// Returns how many requests it refused for want of a slot.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::SeqCst)
    }

    /// Returns how many requests it ran to their end.
    pub fn done(&self) -> u64 {
        self.shared.done.load(Ordering::SeqCst)
    }
}

impl Shared {
    fn running(&self) -> MutexGuard<'_, Vec<String>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names a request as running for as long as it lives.
struct Running<'a> {
    shared: &'a Shared,
    id: String,
}

impl<'a> Running<'a> {
    fn new(shared: &'a Shared, id: &str) -> Running<'a> {
        shared.running().push(id.to_owned());
        Running { shared, id: id.to_owned() }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut running = self.shared.running();
        if let Some(place) = running.iter().position(|id| *id == self.id) {
            running.swap_remove(place);
        }
    }
}

/// Counts a request in flight for as long as it lives.
struct InFlight<'a>(&'a Shared);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let now = shared.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
    let _in_flight = InFlight(&shared);
    if now > shared.slots {
        shared.refused.fetch_add(1, Ordering::SeqCst);
        return Some(not_run("slots"));
    }
    shared.most_in_flight.fetch_max(now, Ordering::SeqCst);
    let fate = shared.faults.fate();
    if fate == Fate::Refuse {
        let text = "this runner fails everything";
        return Some(server::whole(StatusCode::INTERNAL_SERVER_ERROR, text));
    }
    let id = text_of(request.headers(), "x-request-id").unwrap_or_default();
    let key = text_of(request.headers(), "idempotency-key");
    // The body is read whole before the run starts: half a filing isn't run.
    let body = server::body_of(request).await?;
    let _running = Running::new(&shared, &id);
    if shared.record_runs {
        shared.recorder.record(Event::Run {
            request: id.clone(),
            key,
            runner: shared.name.clone(),
            vm: Some(shared.vm.clone()),
        });
    }
    let delay = shared.service_time + shared.faults.delay();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    shared.done.fetch_add(1, Ordering::SeqCst);
    if fate == Fate::LoseAnswer {
        return None;
    }
    let mut response = server::json(&serde_json::json!({
        "request": id,
        "runner": shared.name,
        "vm": shared.vm,
        "bytes": body.len(),
    }));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if shared.faults.cut() {
        // More is announced than comes, so the connection breaks off.
        let announced = HeaderValue::from(MORE_THAN_COMES);
        response.headers_mut().insert(header::CONTENT_LENGTH, announced);
    }
    Some(response)
}

fn not_run(reason: &'static str) -> Response<Body> {
    let text = "no slot is free";
    let mut response = server::whole(StatusCode::SERVICE_UNAVAILABLE, text);
    let reason = HeaderValue::from_static(reason);
    response.headers_mut().insert(NOT_RUN, reason);
    response
}

fn text_of(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
