/*!
A whole fleet in one process: load, a wave, a failure, and a report.
*/

use {
    super::{demo_jobs, load::print_results, print_report},
    crate::{
        cluster::{self, Cluster},
        deployment::{Deployment, Plan},
        exit::{Code, Error},
        load::{self, Load},
        observer::{LOOK, Measures, Observer},
    },
    clap::Args,
    dewspar::history,
    dewspar_standin::fleet::{self, Order},
    dewspard::logs::{self, Format},
    std::{fs, path::PathBuf, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// How long the fleet may take to come up.
const START_LIMIT: Duration = Duration::from_secs(20);

/// How long the wave may take.
const WAVE_LIMIT: Duration = Duration::from_secs(30);

/// How long the load goes on after the wave.
const AFTER_WAVE: Duration = Duration::from_secs(1);

/// Run a whole fleet in this process and report on the promises.
///
/// The nodes run the daemon's real code and talk over loopback; the platform
/// and the targets are stand-ins. A maintenance wave goes over the first
/// service's pool, and a VM of it fails halfway.
#[derive(Args, Debug)]
pub struct Demo {
    /// Whose fleet.
    #[arg(long, value_enum, default_value_t)]
    deployment: Deployment,
    /// The seed of what happens by chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many entry VMs there are.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=20))]
    nodes: u64,
    /// How many callers send requests.
    #[arg(long, default_value_t = 24)]
    callers: usize,
    /// Where to write the history for `dewspar check`.
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// Show the nodes' logs.
    #[arg(long)]
    verbose: bool,
    /// Run jobs instead: a few nodes, and the one that schedules is killed.
    #[arg(long)]
    jobs: bool,
}

impl Demo {
    /// Runs the command; the code is 1 when a promise was broken.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the fleet didn't come up or the wave didn't
    /// end.
    pub async fn run(self) -> Result<Code, Error> {
        if self.jobs {
            return demo_jobs::run(self.seed).await;
        }
        let started = Instant::now();
        let plan = self.deployment.plan();
        let mut cluster = self.start_cluster(&plan).await?;
        println!(
            "fleet     {} VMs in {} data halls, {} services, {} entry VMs; \
             up in {:.1} s",
            plan.vms().len(),
            plan.halls().len(),
            plan.services().len(),
            self.nodes,
            started.elapsed().as_secs_f64(),
        );
        let (balancer, nodes) = watch::channel(cluster.caller_addresses());
        let options = load::Options::new(plan.services())
            .callers(self.callers)
            .pause(Duration::from_millis(5))
            .seed(self.seed)
            .recorder(cluster.recorder().clone());
        let load = Load::start(&options, nodes);
        let mut observer = Observer::new(cluster.recorder().clone());
        let wave = self.run_wave(&mut cluster, &plan, &mut observer).await;
        let roll_out = wave?;
        observe(&cluster, &mut observer, AFTER_WAVE).await;
        let results = load.finish().await;
        drop(balancer);
        print_measures(observer.measures(), roll_out);
        print_results(&results);
        let most = cluster.fleet().most_in_flight();
        println!(
            "slots     at most {most} of 8 in use on any runner; {} refused \
             by runners",
            cluster.fleet().refused(),
        );
        if let Some(path) = &self.history {
            let text = cluster.recorder().to_text();
            fs::write(path, text).map_err(Error::failure)?;
        }
        let lines = cluster.recorder().lines();
        cluster.stop().await;
        let code = print_report(&history::check(&lines));
        println!("ended     after {:.1} s", started.elapsed().as_secs_f64());
        Ok(code)
    }

    async fn start_cluster(&self, plan: &Plan) -> Result<Cluster, Error> {
        let log = match self.verbose {
            true => logs::root(Format::Terminal, slog::Level::Info),
            false => logs::discard(),
        };
        let fleet = fleet::Options::default()
            .service_time(Duration::from_millis(5))
            .reboot_time(Duration::from_millis(400));
        let nodes = usize::try_from(self.nodes).map_err(Error::invalid)?;
        let options = cluster::Options::new(log)
            .nodes(nodes)
            .seed(self.seed)
            .fleet(fleet);
        let cluster = Cluster::start(plan, options).await?;
        let revision = cluster.apply(plan.resources()).await?;
        cluster.recorder().record(history::Event::Accepted { revision });
        cluster.wait_until_serving(plan, START_LIMIT).await?;
        Ok(cluster)
    }

    /// Writes a wave, lets a VM fail in its middle, and waits for its end.
    async fn run_wave(
        &self,
        cluster: &mut Cluster,
        plan: &Plan,
        observer: &mut Observer,
    ) -> Result<Duration, Error> {
        let pool = &plan.services()[0];
        let wave = plan.wave("winter", pool);
        let since = Instant::now();
        let revision = cluster.apply(vec![wave]).await?;
        cluster.recorder().record(history::Event::Accepted { revision });
        let victim = self.victim(plan);
        let mut failed_at = None;
        while since.elapsed() < WAVE_LIMIT {
            observe(cluster, observer, LOOK).await;
            let done = observer.measures().maintained;
            if failed_at.is_none() && done >= plan.runners() / 2 {
                cluster
                    .fleet()
                    .order(&victim, Order::Fail)
                    .await
                    .map_err(Error::failure)?;
                failed_at = Some(Instant::now());
                println!("failure   VM {victim} after {done} VMs");
            }
            let long_ago = |at: Instant| at.elapsed().as_millis() > 2_000;
            if failed_at.is_some_and(long_ago) {
                // Only now, so that the wave has to wait for it.
                let order = cluster.fleet().order(&victim, Order::Recover);
                order.await.map_err(Error::failure)?;
                failed_at = Some(Instant::now() + WAVE_LIMIT);
            }
            if is_done(cluster, pool) {
                return Ok(since.elapsed());
            }
        }
        Err(Error::failure(format!("the wave didn't end in {WAVE_LIMIT:?}")))
    }

    /// Picks the VM of the wave's pool that will fail.
    fn victim(&self, plan: &Plan) -> String {
        let vms = plan.pool_vms(0);
        let last = vms.len() - 1;
        // One of the later half, which the wave has yet to reach.
        let offset = usize::try_from(self.seed).unwrap_or(0) % 3;
        vms[last - offset].clone()
    }
}

async fn observe(cluster: &Cluster, observer: &mut Observer, time: Duration) {
    let until = Instant::now() + time;
    loop {
        observer.look(cluster);
        sleep(LOOK).await;
        if Instant::now() >= until {
            return;
        }
    }
}

fn is_done(cluster: &Cluster, pool: &str) -> bool {
    cluster.nodes().any(|node| {
        let view = node.view().borrow().clone();
        let state = view.pools.get(pool);
        state.is_some_and(|state| state.value.wave_done("winter"))
    })
}

fn print_measures(measures: &Measures, roll_out: Duration) {
    println!(
        "wave      {} VMs maintained in {:.1} s",
        measures.maintained,
        roll_out.as_secs_f64(),
    );
    println!(
        "measures  buffer cost {:.1} VM-s idle, {:.1} VM-s out; moves {} \
         tasks, {} VMs",
        measures.buffer_vm_s,
        measures.out_vm_s,
        measures.task_moves,
        measures.vm_moves,
    );
}
