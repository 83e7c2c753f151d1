/*!
The reserve held against the loss of data halls.

One reserve serves all pools: the usable VMs outside the largest halls must be
able to take over all that runs. A VM that is switched off counts, since it
becomes available in 1.5 s. Part of the reserve may be kept switched on
([`Sizing::hall_reserve_percent`]): it raises the targets of the pools by a
share of the VMs that the worst loss takes from each.

[`Sizing::hall_reserve_percent`]: crate::schedule::Sizing
*/

use {
    crate::schedule::{Decision, Now, Resources, Scheduler},
    std::collections::BTreeMap,
};

/// The minimum interval between reports on the reserve, in milliseconds:
/// demand may cross the threshold many times in a peak.
const REPORT_INTERVAL_MS: u64 = 10_000;

/// The state of the reserve.
#[derive(Debug, Default)]
pub(super) struct Reserve {
    /// Whether the last report said that the reserve isn't met.
    reported_missing: bool,
    /// When that was reported, if it was.
    reported_ms: Option<u64>,
    /// How many VMs each pool keeps switched on in addition to its need.
    kept_on: BTreeMap<String, u64>,
}

impl Scheduler {
    /// Checks whether the reserve is met, and reports changes.
    pub(in crate::schedule) fn check_hall_reserve(&mut self, now: Now) {
        let down = self.workers.down_halls().len();
        let tolerated = self.options.tolerated_halls.saturating_sub(down);
        // While a hall is down, the reserve for its loss is in use.
        if tolerated == 0 {
            return;
        }
        let mut halls: Vec<u64> =
            self.failure_domains.vms.by_hall().into_values().collect();
        halls.sort_unstable_by(|a, b| b.cmp(a));
        let outside_vms = halls.iter().skip(tolerated).sum::<u64>();
        let needed_vms = self.vms_in_use();
        let missing_vms = needed_vms.saturating_sub(outside_vms);
        let reserve = &mut self.failure_domains.reserve;
        let is_recent = reserve.reported_ms.is_some_and(|reported_ms| {
            now.steady_ms < reported_ms + REPORT_INTERVAL_MS
        });
        if (missing_vms > 0) == reserve.reported_missing || is_recent {
            return;
        }
        reserve.reported_missing = missing_vms > 0;
        reserve.reported_ms = Some(now.steady_ms);
        self.note(Decision::HallReserve {
            needed_vms,
            outside_vms,
            missing_vms,
        });
    }

    /// Returns how many VMs hold what runs in all pools.
    fn vms_in_use(&self) -> u64 {
        let largest = self.largest_vm();
        let pools = self.serving_pools.iter();
        pools.map(|pool| self.vms_for_use(pool, &largest)).sum()
    }

    /// Determines how many VMs each pool keeps switched on for the loss of a
    /// hall: a share of the VMs that the worst loss takes.
    pub(in crate::schedule) fn update_kept_on(&mut self) {
        let percent = self.options.policy.sizing.hall_reserve_percent;
        if !self.tolerates_hall_loss() || percent == 0 {
            return;
        }
        let mut halls: BTreeMap<&str, BTreeMap<&str, Resources>> =
            BTreeMap::new();
        for worker in self.workers.values() {
            let pools = halls.entry(&worker.listing.hall).or_default();
            let used = pools.entry(&worker.listing.pool).or_default();
            used.add(worker.used());
        }
        let full_percent = self.options.policy.sizing.full_percent;
        let vm = self.largest_vm();
        let taken = halls.into_values().map(|pools| {
            let vms = pools.into_iter().map(|(pool, used)| {
                let filled = used.times(100).divided_by(full_percent);
                (pool.to_owned(), filled.units_of(&vm))
            });
            vms.collect::<BTreeMap<String, u64>>()
        });
        let worst = taken.max_by_key(|pools| pools.values().sum::<u64>());
        let worst = worst.unwrap_or_default();
        let mut left = (worst.values().sum::<u64>() * percent).div_ceil(100);
        let kept_on = worst.into_iter().map(|(pool, vms)| {
            let kept = (vms * percent).div_ceil(100).min(left);
            left -= kept;
            (pool, kept)
        });
        self.failure_domains.reserve.kept_on = kept_on.collect();
    }

    /// Returns how many VMs a pool keeps switched on in addition to its need.
    pub(in crate::schedule) fn kept_on(&self, pool: &str) -> u64 {
        let kept_on = &self.failure_domains.reserve.kept_on;
        kept_on.get(pool).copied().unwrap_or(0)
    }

    /// Returns the target of a pool that includes VMs kept switched on; 0 if
    /// there are none.
    pub(in crate::schedule) fn kept_on_target(&self, pool: &str) -> u64 {
        let target = self.targets.get(pool).copied().unwrap_or(0);
        if self.kept_on(pool) > 0 { target } else { 0 }
    }
}
