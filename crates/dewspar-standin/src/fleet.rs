/*!
A VM list, with a worker for each VM, in one process.

The list lags: what happens to a VM shows in it a while later. A worker
starts runners for services and timers for jobs, fenced by their epochs, and
reboots when asked. Faults are ordered per VM, in the process through
[`Fleet`] or over HTTP by `POST /vms/{name}/{order}` at the list's address.
*/

mod worker;

use {
    self::worker::answer_worker,
    crate::{
        faults::Faults,
        recorder::Recorder,
        runner::Runner,
        server::{self, Body, Server},
    },
    dewspar::{
        fleet::Listing,
        history::{Event, MarkedBy},
    },
    dewspar_platform::{TaskReport, WorkerReport},
    displaydoc::Display,
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        header::{self, HeaderValue},
    },
    serde::Deserialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        net::{Ipv4Addr, SocketAddr},
        str::FromStr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// How the whole fleet behaves.
#[derive(Clone, Debug)]
pub struct Options {
    lag: Duration,
    service_time: Duration,
    reboot_time: Duration,
    recorder: Recorder,
    record_runs: bool,
}

impl Default for Options {
    /// A list that lags by 500 ms, runners that answer at once, reboots
    /// that take 300 ms.
    fn default() -> Options {
        Options {
            lag: Duration::from_millis(500),
            service_time: Duration::ZERO,
            reboot_time: Duration::from_millis(300),
            recorder: Recorder::default(),
            record_runs: true,
        }
    }
}

impl Options {
    /// Sets by how much the list lags.
    pub fn lag(mut self, lag: Duration) -> Options {
        self.lag = lag;
        self
    }

    /// Sets how long each request takes on a runner.
    pub fn service_time(mut self, service_time: Duration) -> Options {
        self.service_time = service_time;
        self
    }

    /// Sets how long a reboot takes.
    pub fn reboot_time(mut self, reboot_time: Duration) -> Options {
        self.reboot_time = reboot_time;
        self
    }

    /// Sets whether the runners write down what they ran (default true).
    pub fn record_runs(mut self, record_runs: bool) -> Options {
        self.record_runs = record_runs;
        self
    }

    /// Sets where the runners write down what they ran.
    pub fn recorder(mut self, recorder: Recorder) -> Options {
        self.recorder = recorder;
        self
    }
}

/// A VM to stand in for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VmSpec {
    /// The VM's name.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Its rack.
    pub rack: String,
}

/// What happens to a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// It stops answering, at once and without warning.
    Fail,
    /// It comes back, empty.
    Recover,
    /// The list says that it is leaving.
    Leave,
    /// The list no longer says so.
    Stay,
    /// Its runners fail everything, fast.
    Spoil,
    /// Its runners' answers break off before their end.
    Cut,
    /// Its runners work again.
    Mend,
}

impl FromStr for Order {
    type Err = Error;

    fn from_str(text: &str) -> Result<Order, Error> {
        Ok(match text {
            "fail" => Order::Fail,
            "recover" => Order::Recover,
            "leave" => Order::Leave,
            "stay" => Order::Stay,
            "spoil" => Order::Spoil,
            "cut" => Order::Cut,
            "mend" => Order::Mend,
            _ => return Err(Error::UnknownOrder(text.to_owned())),
        })
    }
}

/// Why an order was not carried out.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// there is no VM `{0}`
    UnknownVm(String),
    /// unknown order `{0}`, expected one of fail, recover, leave, stay, spoil, cut, mend
    UnknownOrder(String),
    /// cannot listen: {0}
    Listen(io::Error),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Listen(error)
    }
}

/// A running fleet; it stops when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    vms: BTreeMap<String, Vm>,
    version: u64,
    // What the list shows, as of a while ago.
    shown: Vec<Listing>,
    shown_version: u64,
    // The VMs that the list has shown as leaving and not as staying since.
    shown_leaving: BTreeSet<String>,
    changes: Vec<(Instant, u64, Vec<Listing>)>,
}

#[derive(Debug)]
struct Vm {
    spec: VmSpec,
    address: SocketAddr,
    // None while the VM has failed.
    worker: Option<Server>,
    leaving: bool,
    faults: Faults,
    tasks: BTreeMap<String, Started>,
    epochs: BTreeMap<String, u64>,
    rebooted_epoch: u64,
    rebooting_until: Option<Instant>,
}

#[derive(Debug)]
struct Started {
    epoch: u64,
    work: Work,
}

#[derive(Debug)]
enum Work {
    Runner(Runner),
    Job { until: Instant },
}

impl Fleet {
    /// Starts a worker for each VM, and the list at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] when an address can't be bound.
    pub async fn start(
        address: SocketAddr,
        vms: Vec<VmSpec>,
        options: Options,
    ) -> Result<Fleet, Error> {
        let state = Mutex::new(State::default());
        let shared = Arc::new(Shared { options, state });
        for spec in vms {
            let worker = start_worker(&shared, &spec.name).await?;
            let vm = Vm::new(spec, worker);
            shared.lock().vms.insert(vm.spec.name.clone(), vm);
        }
        shared.lock().show_now();
        let served = Arc::clone(&shared);
        let server = Server::start(address, move |request| {
            answer_list(Arc::clone(&served), request)
        })
        .await?;
        Ok(Fleet { server, shared })
    }

    /// Returns the URL of the VM list.
    pub fn url(&self) -> String {
        format!("http://{}/vms", self.server.address())
    }

    /// Carries out an order.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnknownVm`] for a VM that isn't there.
    pub async fn order(&self, vm: &str, order: Order) -> Result<(), Error> {
        carry_out(&self.shared, vm, order).await
    }

    /// Returns the most requests that any runner ever ran at a time.
    pub fn most_in_flight(&self) -> u32 {
        let state = self.shared.lock();
        let runners = state.vms.values().flat_map(Vm::runners);
        runners.map(Runner::most_in_flight).max().unwrap_or(0)
    }

    /// Returns how many requests runners refused for want of a slot.
    pub fn refused(&self) -> u64 {
        let state = self.shared.lock();
        state.vms.values().flat_map(Vm::runners).map(Runner::refused).sum()
    }

    /// Returns how many runners are up.
    pub fn runners(&self) -> usize {
        let state = self.shared.lock();
        state.vms.values().flat_map(Vm::runners).count()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn listings(&self) -> Vec<Listing> {
        let up = self.vms.values().filter(|vm| vm.worker.is_some());
        up.map(Vm::listing).collect()
    }

    fn show_now(&mut self) {
        self.version += 1;
        self.shown = self.listings();
        self.shown_version = self.version;
    }

    fn show_later(&mut self, lag: Duration) {
        self.version += 1;
        let when = Instant::now() + lag;
        self.changes.push((when, self.version, self.listings()));
    }

    /// Shows what has become due, and writes down which VMs stay after all.
    fn catch_up(&mut self, recorder: &Recorder) {
        let now = Instant::now();
        while let Some((when, _, _)) = self.changes.first()
            && *when <= now
        {
            let (_, version, listings) = self.changes.remove(0);
            self.shown = listings;
            self.shown_version = version;
            self.record_stays(recorder);
        }
    }

    /// Writes down which VMs are no longer shown as leaving, before anybody can
    /// read so: else the work that they get at once counts as sent to VMs that
    /// leave.
    fn record_stays(&mut self, recorder: &Recorder) {
        for listing in &self.shown {
            let vm = listing.name();
            if listing.leaving() {
                self.shown_leaving.insert(vm.to_owned());
            } else if let Some(vm) = self.shown_leaving.take(vm) {
                recorder.record(Event::Back { vm, by: MarkedBy::List });
            }
        }
    }
}

impl Vm {
    fn new(spec: VmSpec, worker: Server) -> Vm {
        Vm {
            address: worker.address(),
            worker: Some(worker),
            faults: Faults::new(0),
            leaving: false,
            tasks: BTreeMap::new(),
            epochs: BTreeMap::new(),
            rebooted_epoch: 0,
            rebooting_until: None,
            spec,
        }
    }

    fn listing(&self) -> Listing {
        let VmSpec { name, hall, rack } = &self.spec;
        Listing::new(name, hall, rack, &self.address.to_string())
            .with_leaving(self.leaving)
    }

    fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.tasks.values().filter_map(|started| match &started.work {
            Work::Runner(runner) => Some(runner),
            Work::Job { .. } => None,
        })
    }

    fn is_rebooting(&self) -> bool {
        self.rebooting_until.is_some_and(|until| Instant::now() < until)
    }

    fn report(&self) -> WorkerReport {
        WorkerReport {
            rebooted_epoch: self.rebooted_epoch,
            rebooting: self.is_rebooting(),
            is_partial: false,
            tasks: self
                .tasks
                .iter()
                .map(|(name, started)| started.report(name))
                .collect(),
        }
    }
}

impl Started {
    fn report(&self, task: &str) -> TaskReport {
        let (address, finished, in_flight) = match &self.work {
            Work::Runner(runner) => {
                (runner.address().to_string(), false, runner.in_flight())
            }
            Work::Job { until } => {
                (String::new(), Instant::now() >= *until, 0)
            }
        };
        TaskReport {
            task: task.to_owned(),
            epoch: self.epoch,
            address,
            finished,
            cpu_millis: 300 + 50 * u64::from(in_flight),
            memory_mb: 400,
        }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn start_worker(
    shared: &Arc<Shared>,
    name: &str,
) -> Result<Server, Error> {
    let weak = Arc::downgrade(shared);
    let name = name.to_owned();
    let server = Server::start(any_port(), move |request| {
        let (weak, name) = (weak.clone(), name.clone());
        async move {
            let shared = weak.upgrade()?;
            answer_worker(&shared, &name, request).await
        }
    })
    .await?;
    Ok(server)
}

async fn carry_out(
    shared: &Arc<Shared>,
    name: &str,
    order: Order,
) -> Result<(), Error> {
    let fresh = match order {
        Order::Recover => Some(start_worker(shared, name).await?),
        _ => None,
    };
    let lag = shared.options.lag;
    let mut state = shared.lock();
    let vm = state
        .vms
        .get_mut(name)
        .ok_or_else(|| Error::UnknownVm(name.to_owned()))?;
    match order {
        Order::Fail => {
            vm.worker = None;
            vm.tasks.clear();
        }
        Order::Recover => {
            if let Some(worker) = fresh {
                vm.address = worker.address();
                vm.worker = Some(worker);
                vm.rebooting_until = None;
            }
        }
        Order::Leave => vm.leaving = true,
        Order::Stay => vm.leaving = false,
        Order::Spoil => vm.faults.set_outage(true),
        Order::Cut => vm.faults.set_cut(true),
        Order::Mend => {
            vm.faults.set_outage(false);
            vm.faults.set_cut(false);
        }
    }
    if order == Order::Leave {
        let (vm, by) = (name.to_owned(), MarkedBy::List);
        shared.options.recorder.record(Event::Leaving { vm, by });
    }
    state.show_later(lag);
    Ok(())
}

async fn answer_list(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let path = request.uri().path().to_owned();
    if request.method() == Method::POST {
        return Some(answer_order(&shared, &path).await);
    }
    if path != "/vms" {
        return Some(server::whole(StatusCode::NOT_FOUND, "no such list"));
    }
    let mut state = shared.lock();
    state.catch_up(&shared.options.recorder);
    let tag = format!("\"{}\"", state.shown_version);
    let known = request.headers().get(header::IF_NONE_MATCH);
    let mut response = if known.is_some_and(|known| *known == *tag) {
        server::whole(StatusCode::NOT_MODIFIED, "")
    } else {
        server::json(&state.shown)
    };
    let tag = HeaderValue::from_str(&tag).ok()?;
    response.headers_mut().insert(header::ETAG, tag);
    Some(response)
}

async fn answer_order(shared: &Arc<Shared>, path: &str) -> Response<Body> {
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let &["vms", name, order] = parts.as_slice() else {
        return server::whole(StatusCode::NOT_FOUND, "no such order");
    };
    let carried = match order.parse() {
        Ok(order) => carry_out(shared, name, order).await,
        Err(error) => Err(error),
    };
    match carried {
        Ok(()) => server::whole(StatusCode::OK, "ordered"),
        Err(error) => {
            server::whole(StatusCode::BAD_REQUEST, error.to_string())
        }
    }
}
