/*!
Which VMs of a wave are emptied next, and how many at a time.

A wave has an end, and a most that may be down. Between them lies a *pace*: as
many VMs a second as are left for each second that is left. Faster would take
more from the pools at once than need be; slower ends late. What is due by the
pace is chosen at each look, however long ago the last look was: a node that is
busy looks seldom.

Which ones follows from how busy their pools are, so that a pool at its peak
keeps its workers; of one pool, those with the least in use come first.
*/

use {
    crate::schedule::{
        Now, Scheduler, WorkerId,
        wave_state::WaveState,
        worker::{Purpose, Worker},
    },
    std::collections::BTreeMap,
};

/// How long a VM takes from being chosen to being back, in milliseconds:
/// short tasks to their end, the maintenance itself, and the directory.
const CYCLE_MS: u64 = 6_000;

/// How much of a pool may be in use for its VMs to be taken while there is
/// time to wait, in hundredths.
pub(super) const CALM_PERCENT: u64 = 70;

/// How much more time than needed there must be to wait for a calm pool.
const SLACK: u64 = 2;

/// The longest time between two looks that is made up for, in milliseconds:
/// what is due after a longer one would leave the pools all at once.
const LONGEST_GAP_MS: u64 = 1_000;

/// By what the VMs of a wave are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WavePace {
    /// The time left for choosing VMs, in milliseconds.
    pub left_ms: u64,
    /// What those that are left take one after the other, in milliseconds.
    pub needed_ms: u64,
    /// How many may be under way at once.
    pub parallel: usize,
    /// How many are: being emptied, or down.
    pub under_way: usize,
    /// How many are due to be chosen at this look.
    pub due: usize,
    /// Whether there is time to wait for a calm pool.
    pub may_wait: bool,
}

/// The workers of one pool that may be chosen.
#[derive(Default)]
struct PoolChoice<'a> {
    /// Those that are left, the next one last.
    workers: Vec<&'a Worker>,
    /// How many were chosen at this look.
    chosen: u64,
}

impl Scheduler {
    /// Begins to empty more workers, as many as the time left asks for.
    pub(super) fn empty_more(&mut self, wave: u64, now: Now) {
        let Some(state) = self.waves.get(&wave) else { return };
        let chosen = self.chosen_for(wave, state, now);
        for id in &chosen {
            self.empty(id, Purpose::Maintenance(wave), now);
        }
        if let Some(state) = self.waves.get_mut(&wave) {
            state.chosen_ms = now.steady_ms;
        }
    }

    /// Returns by what the VMs of a wave are chosen now.
    pub(super) fn wave_pace(
        &self,
        wave: u64,
        state: &WaveState,
        now: Now,
    ) -> WavePace {
        let left_ms = state.left_ms(now);
        let left = state.remaining().count() as u64;
        let needed_ms = left * CYCLE_MS;
        let parallel = needed_ms.div_ceil(left_ms);
        let most = state.request.max_down;
        let parallel = usize::try_from(parallel).unwrap_or(most);
        let parallel = parallel.clamp(1, most.max(1));
        let under_way = state.down.len() + self.emptying_for(wave, state);
        let gap_ms = now.steady_ms.saturating_sub(state.chosen_ms);
        let due = (left * gap_ms.min(LONGEST_GAP_MS)).div_ceil(left_ms);
        let due = usize::try_from(due.max(1)).unwrap_or(most);
        WavePace {
            left_ms,
            needed_ms,
            parallel,
            under_way,
            due: due.min(parallel.saturating_sub(under_way)),
            may_wait: needed_ms * SLACK < left_ms * parallel as u64,
        }
    }

    /// Counts the workers that are being emptied and aren't down yet.
    fn emptying_for(&self, wave: u64, state: &WaveState) -> usize {
        let purpose = Some(Purpose::Maintenance(wave));
        let emptying = self.workers.values().filter(|worker| {
            worker.emptying == purpose
                && !state.down.contains_key(&worker.listing.vm)
        });
        emptying.count()
    }

    /// Chooses the workers that are emptied now.
    fn chosen_for(
        &self,
        wave: u64,
        state: &WaveState,
        now: Now,
    ) -> Vec<WorkerId> {
        let pace = self.wave_pace(wave, state, now);
        let mut chosen = Vec::new();
        let mut pools: BTreeMap<&str, PoolChoice> = BTreeMap::new();
        for worker in self.workers.values() {
            let vm = &worker.listing.vm;
            let eligible = worker.emptying.is_none()
                && worker.synced
                && worker.silent_since_ms.is_none()
                && state.awaits(vm);
            if !eligible {
                continue;
            }
            // One that was ordered takes the room of others until another
            // order shows whether the first was carried out.
            if state.is_ordered(vm) {
                chosen.push(worker.id().clone());
                continue;
            }
            let pool = pools.entry(&worker.listing.pool).or_default();
            pool.workers.push(worker);
        }
        for pool in pools.values_mut() {
            pool.workers.sort_by_key(|worker| worker.used().cpu_millis);
            pool.workers.reverse();
        }
        for _ in 0..pace.due {
            let Some(worker) = self.next_of(&mut pools, pace.may_wait) else {
                break;
            };
            chosen.push(worker.id().clone());
        }
        chosen
    }

    /// Takes the next worker out of the pool that misses one least.
    fn next_of<'a>(
        &self,
        pools: &mut BTreeMap<&'a str, PoolChoice<'a>>,
        may_wait: bool,
    ) -> Option<&'a Worker> {
        let left = pools.iter_mut().filter(|(_, p)| !p.workers.is_empty());
        let percents = left.map(|(pool, choice)| {
            (self.pool_percent_without(pool, choice.chosen + 1), choice)
        });
        let (percent, choice) =
            percents.min_by_key(|(percent, _)| *percent)?;
        if may_wait && percent > CALM_PERCENT {
            return None;
        }
        choice.chosen += 1;
        choice.workers.pop()
    }
}
