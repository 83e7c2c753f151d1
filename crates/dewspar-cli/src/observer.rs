/*!
What nodes show, written down as a run goes on.

The observer looks at every node's view a few times a second. It writes the
events that history checks need, and adds up the three measures: buffer cost,
roll-out time and moves.
*/

use {
    crate::cluster::Cluster,
    dewspar::{
        config::Snapshot,
        fleet::VmState,
        history::{Event, MarkedBy},
        pool::{PoolState, TaskState},
    },
    dewspar_standin::recorder::Recorder,
    dewspard::view::View,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// How often to look.
pub const LOOK: Duration = Duration::from_millis(50);

/// What a run cost.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// VM-seconds of VMs that served and carried no task.
    pub buffer_vm_s: f64,
    /// VM-seconds of VMs that were out for a wave or a move.
    pub out_vm_s: f64,
    /// How many tasks changed their VM.
    pub task_moves: u32,
    /// How many VMs changed their pool.
    pub vm_moves: u32,
    /// How many VMs were maintained.
    pub maintained: usize,
}

/// Watches a cluster.
#[derive(Debug)]
pub struct Observer {
    recorder: Recorder,
    last: Instant,
    measures: Measures,
    leaving: BTreeSet<String>,
    pools: BTreeMap<String, Option<String>>,
    // Where each task last ran, to tell why it is missing.
    ran_on: BTreeMap<String, String>,
    failed: BTreeSet<String>,
}

impl Observer {
    /// Makes an observer that writes into a history.
    pub fn new(recorder: Recorder) -> Observer {
        Observer {
            recorder,
            last: Instant::now(),
            measures: Measures::default(),
            leaving: BTreeSet::new(),
            pools: BTreeMap::new(),
            ran_on: BTreeMap::new(),
            failed: BTreeSet::new(),
        }
    }

    /// Returns what the run has cost so far.
    pub fn measures(&self) -> &Measures {
        &self.measures
    }

    /// Looks once.
    pub fn look(&mut self, cluster: &Cluster) {
        let passed_s = self.last.elapsed().as_secs_f64();
        self.last = Instant::now();
        for node in cluster.nodes() {
            let standing = node.standing().borrow().clone();
            let own = standing.own().to_owned();
            let member = standing.members().get(&own);
            let incarnation = member.map_or(0, |m| m.incarnation());
            let revision = node.view().borrow().config.value.revision();
            if revision > 0 && *node.ready().borrow() {
                let node = format!("{own}#{incarnation}");
                self.recorder.record(Event::InForce { node, revision });
            }
        }
        // The newest view is the nearest to the truth.
        let views = cluster.nodes().map(|n| n.view().borrow().clone());
        let Some(view) = views.max_by_key(|view| view.version) else {
            return;
        };
        self.look_at_vms(&view, passed_s);
        self.look_at_budgets(&view);
        self.count_moves(&view);
    }

    fn look_at_vms(&mut self, view: &View, passed_s: f64) {
        let busy: BTreeSet<&str> = view
            .pools
            .values()
            .flat_map(|pool| pool.value.tasks())
            .filter(|(_, task)| task.state() != TaskState::Waiting)
            .map(|(_, task)| task.vm())
            .collect();
        let mut maintained = 0;
        for (vm, row) in view.rows() {
            self.recorder.record(Event::InPool {
                vm: vm.to_owned(),
                pool: row.pool().map(str::to_owned),
                epoch: row.epoch(),
            });
            let pool = row.pool().map(str::to_owned);
            let before = self.pools.insert(vm.to_owned(), pool.clone());
            if before.is_some_and(|b| b.is_some() && b != pool) {
                self.measures.vm_moves += 1;
            }
            maintained += usize::from(row.maintained().is_some());
            let out =
                matches!(row.state(), VmState::Draining | VmState::Rebooting);
            if out && self.leaving.insert(vm.to_owned()) {
                let (vm, by) = (vm.to_owned(), MarkedBy::Row);
                self.recorder.record(Event::Leaving { vm, by });
            } else if !out && self.leaving.remove(vm) {
                let (vm, by) = (vm.to_owned(), MarkedBy::Row);
                self.recorder.record(Event::Back { vm, by });
            }
            match row.state() {
                VmState::Serving if !busy.contains(vm) => {
                    self.measures.buffer_vm_s += passed_s;
                }
                VmState::Draining | VmState::Rebooting => {
                    self.measures.out_vm_s += passed_s;
                }
                _ => {}
            }
            if row.state() == VmState::Lost {
                self.failed.insert(vm.to_owned());
            }
        }
        self.measures.maintained = maintained;
    }

    fn look_at_budgets(&mut self, view: &View) {
        let config = &view.config.value;
        for (name, spec) in config.budgets() {
            let Some(pool) = view.pools.get(&spec.pool) else { continue };
            let Some(service) = &spec.service else { continue };
            let up = self.up(view, &pool.value, service);
            if !self.has_been_up(config, service) {
                continue;
            }
            let missing = self.missing_by_failure(&pool.value, service, &up);
            self.recorder.record(Event::Available {
                budget: name.to_owned(),
                needed: spec.min_available,
                available: u32::try_from(up.len()).unwrap_or(u32::MAX),
                failed: missing,
            });
        }
    }

    /// Returns the runners of a service that are available.
    fn up(
        &mut self,
        view: &View,
        state: &PoolState,
        service: &str,
    ) -> BTreeSet<String> {
        let mut up = BTreeSet::new();
        for (name, task) in state.tasks() {
            let serving = view.row(task.vm()).is_some_and(|row| {
                row.state() == VmState::Serving && !state.is_taken(task.vm())
            });
            let running = task.state() == TaskState::Running;
            if task.owner() == service && running && serving {
                up.insert(name.to_owned());
                self.ran_on.insert(name.to_owned(), task.vm().to_owned());
            }
        }
        up
    }

    /// A budget is watched from when all runners have been up once.
    fn has_been_up(&self, config: &Snapshot, service: &str) -> bool {
        let runners = config.service(service).map_or(0, |s| s.runners);
        (0..runners)
            .all(|n| self.ran_on.contains_key(&format!("{service}-{n}")))
    }

    fn missing_by_failure(
        &self,
        state: &PoolState,
        service: &str,
        up: &BTreeSet<String>,
    ) -> u32 {
        let missing = state.tasks().filter(|(name, task)| {
            task.owner() == service
                && !up.contains(*name)
                && self
                    .ran_on
                    .get(*name)
                    .is_some_and(|vm| self.failed.contains(vm))
        });
        u32::try_from(missing.count()).unwrap_or(u32::MAX)
    }

    fn count_moves(&mut self, view: &View) {
        let tasks = view.pools.values().flat_map(|pool| pool.value.tasks());
        self.measures.task_moves = tasks.map(|(_, task)| task.moves()).sum();
    }
}
