/*!
What one node adds to a request, against a bare forwarder.

Direct connections, the bare forwarder and a whole node are measured one after
the other, with the same callers, the same target and the same number of
threads. Ratios are taken within each number of connections.
*/

use {
    super::{Aims, cost::threads_time},
    crate::{
        bare,
        cluster::{self, Cluster},
        deployment::Plan,
        exit::{Code, Error},
    },
    bytes::Bytes,
    clap::Args,
    dewspar_standin::{fleet, runner},
    dewspard::logs,
    hdrhistogram::Histogram,
    http_body_util::{BodyExt, Full},
    hyper::{Request, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        runtime::{Builder, Runtime},
        task::JoinSet,
        time::Instant,
    },
};

/// The aims, against the bare forwarder.
const LEAST_RATE: f64 = 0.7;
const MOST_ADDED_MEDIAN: f64 = 1.5;
const MOST_P99: f64 = 2.0;

/// How long the fleet may take to come up.
const START_LIMIT: Duration = Duration::from_secs(20);

/// What one node adds to a request, against a bare forwarder.
#[derive(Args, Debug)]
pub struct Forward {
    /// How long each measurement goes on, in seconds.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=60))]
    seconds: u64,
    /// How many threads the forwarders have.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// The numbers of connections.
    #[arg(long, value_delimiter = ',', default_value = "8,32,128")]
    connections: Vec<usize>,
}

/// What was measured.
#[derive(Clone, Copy, Debug)]
struct Measured {
    per_second: f64,
    p50_us: u64,
    p99_us: u64,
    p999_us: u64,
    core_us: f64,
}

impl Forward {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when something couldn't be started.
    pub async fn run(&self) -> Result<Code, Error> {
        let callers = runtime("caller", 2)?;
        let targets = runtime("target", 2)?;
        let forwarder = runtime("bare", self.threads)?;
        let target = targets
            .spawn(
                runner_options().start(SocketAddr::from(([127, 0, 0, 1], 0))),
            )
            .await
            .map_err(Error::failure)?
            .map_err(Error::failure)?;
        let direct = target.address();
        let bare = forwarder
            .spawn(bare::start(direct))
            .await
            .map_err(Error::failure)?
            .map_err(Error::failure)?;
        let (cluster, node) = self.start_node().await?;
        println!(
            "  {:>11} {:<10} {:>10} {:>9} {:>9} {:>9} {:>13}",
            "connections",
            "through",
            "requests/s",
            "p50 us",
            "p99 us",
            "p99.9 us",
            "core-us each",
        );
        let mut aims = Aims::default();
        for count in &self.connections {
            let seconds = self.seconds;
            let measure = |address: SocketAddr, threads: &'static str| {
                let task =
                    callers.spawn(load(address, *count, seconds, threads));
                async move { task.await.map_err(Error::failure) }
            };
            let by_direct = measure(direct, "none").await?;
            row(*count, "direct", &by_direct);
            let by_bare = measure(bare, "bare").await?;
            row(*count, "bare", &by_bare);
            let by_node = measure(node, "node-").await?;
            row(*count, "dewspard", &by_node);
            hold(&mut aims, *count, &by_direct, &by_bare, &by_node);
        }
        cluster.stop().await;
        for runtime in [callers, targets, forwarder] {
            runtime.shutdown_background();
        }
        Ok(aims.code())
    }

    async fn start_node(&self) -> Result<(Cluster, SocketAddr), Error> {
        // Runners with room for every connection, so that nothing waits.
        let plan = Plan::new(1, vec!["service".to_owned()], 1).with_slots(512);
        let options = cluster::Options::new(logs::discard())
            .nodes(1)
            .own_threads(self.threads)
            .fleet(fleet::Options::default().record_runs(false));
        let cluster = Cluster::start(&plan, options).await?;
        cluster.wait_until_ready(START_LIMIT).await?;
        cluster.apply(plan.resources()).await?;
        cluster.wait_until_serving(&plan, START_LIMIT).await?;
        let addresses = cluster.caller_addresses();
        let first = addresses.first().copied();
        let first = first.ok_or_else(|| Error::failure("no node"))?;
        Ok((cluster, first))
    }
}

fn runtime(name: &str, threads: usize) -> Result<Runtime, Error> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .map_err(Error::failure)
}

fn runner_options() -> runner::Options {
    runner::Options::new("direct", "vm").slots(512).record_runs(false)
}

/// Sends requests over so many connections, one at a time on each.
async fn load(
    address: SocketAddr,
    connections: usize,
    seconds: u64,
    threads: &'static str,
) -> Measured {
    let mut callers = JoinSet::new();
    let since = Instant::now();
    let warm_up = since + Duration::from_millis(300);
    let until = warm_up + Duration::from_secs(seconds);
    let cpu = threads_time(threads);
    for _ in 0..connections {
        callers.spawn(call(address, warm_up, until));
    }
    // OK because three digits are few.
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    while let Some(part) = callers.join_next().await {
        if let Ok(Some(part)) = part {
            // OK because the histogram grows as it needs to.
            times.add(part).expect("it grows");
        }
    }
    let cpu = threads_time(threads).saturating_sub(cpu);
    let count = times.len() as f64;
    let whole = count * (1.0 + 0.3 / seconds as f64);
    Measured {
        per_second: count / seconds as f64,
        p50_us: times.value_at_quantile(0.5),
        p99_us: times.value_at_quantile(0.99),
        p999_us: times.value_at_quantile(0.999),
        core_us: cpu.as_secs_f64() * 1e6 / whole.max(1.0),
    }
}

async fn call(
    address: SocketAddr,
    warm_up: Instant,
    until: Instant,
) -> Option<Histogram<u64>> {
    let mut times = Histogram::new(3).ok()?;
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    while Instant::now() < until {
        let since = Instant::now();
        let mut request = Request::new(Full::<Bytes>::default());
        *request.uri_mut() = "/service/item".parse().ok()?;
        let host = hyper::header::HeaderValue::from_static("dewspar");
        request.headers_mut().insert("host", host);
        let response = sender.send_request(request).await.ok()?;
        if !response.status().is_success() {
            continue;
        }
        response.into_body().collect().await.ok()?;
        if since >= warm_up {
            let us = since.elapsed().as_micros();
            times.record(u64::try_from(us).unwrap_or(u64::MAX)).ok()?;
        }
    }
    Some(times)
}

fn row(connections: usize, through: &str, measured: &Measured) {
    println!(
        "  {connections:>11} {through:<10} {:>10.0} {:>9} {:>9} {:>9} {:>13.1}",
        measured.per_second,
        measured.p50_us,
        measured.p99_us,
        measured.p999_us,
        measured.core_us,
    );
}

fn hold(
    aims: &mut Aims,
    connections: usize,
    direct: &Measured,
    bare: &Measured,
    node: &Measured,
) {
    let rate = node.per_second / bare.per_second;
    aims.hold(
        &format!("{connections}: at least 0.7 of the bare rate"),
        rate >= LEAST_RATE,
        &format!("{rate:.2}"),
    );
    let added = |by: &Measured| by.p50_us.saturating_sub(direct.p50_us) as f64;
    let median = added(node) / added(bare).max(1.0);
    aims.hold(
        &format!("{connections}: at most 1.5 of the bare added median"),
        median <= MOST_ADDED_MEDIAN,
        &format!("{median:.2}"),
    );
    let p99 = node.p99_us as f64 / bare.p99_us as f64;
    aims.hold(
        &format!("{connections}: p99 within 2x of the bare one"),
        p99 <= MOST_P99,
        &format!("{p99:.2}"),
    );
}
