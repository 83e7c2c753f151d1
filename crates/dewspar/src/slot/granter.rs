use {
    crate::slot::{Count, Limits, Pressure, Reply, Sync},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// How long a want that can't be met stays parked, in milliseconds.
const PARK_MS: u64 = 20;

/// The maximum number of holders asked for idle slots at a time.
const MAX_RECALLED: usize = 4;

/// The slots that one process holds, as of its last sync.
#[derive(Debug, Default)]
struct Record {
    incarnation: u64,
    sequence: u64,
    held: BTreeMap<String, u32>,
    last_sync_ms: u64,
}

impl Record {
    fn total(&self) -> u32 {
        self.held.values().sum()
    }
}

/// A want that waits for slots.
#[derive(Debug)]
struct Parked {
    node: String,
    want: u32,
    // When its oldest request started to wait, and when the want was parked.
    since_ms: u64,
    parked_ms: u64,
}

/// The single authority that grants the slots of one service's runners.
#[derive(Debug)]
pub struct Granter {
    limits: Limits,
    since_ms: u64,
    open: bool,
    runners: BTreeMap<String, u32>,
    records: BTreeMap<String, Record>,
    // Replaced processes whose requests may still be running.
    replaced: Vec<Record>,
    reported: BTreeSet<String>,
    parked: VecDeque<Parked>,
    // The number of outstanding slots of each runner, over all records.
    outstanding: BTreeMap<String, u32>,
}

impl Granter {
    /// Creates a granter that took over at `now_ms`.
    pub fn new(limits: Limits, now_ms: u64) -> Granter {
        Granter {
            limits,
            since_ms: now_ms,
            open: false,
            runners: BTreeMap::new(),
            records: BTreeMap::new(),
            replaced: Vec::new(),
            reported: BTreeSet::new(),
            parked: VecDeque::new(),
            outstanding: BTreeMap::new(),
        }
    }

    /// Adds a runner, or changes its number of slots.
    pub fn set_runner(&mut self, runner: &str, slots: u32) {
        self.runners.insert(runner.to_owned(), slots);
    }

    /// Stops granting slots of runners for which `keep` returns false.
    pub fn retain_runners(&mut self, keep: impl Fn(&str) -> bool) {
        self.runners.retain(|runner, _| keep(runner));
    }

    /// Returns the number of a runner's slots that are outstanding.
    pub fn outstanding(&self, runner: &str) -> u32 {
        self.outstanding.get(runner).copied().unwrap_or(0)
    }

    /// Returns whether the granter already grants slots.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Returns the live nodes that must still report what they hold.
    pub fn unreported<'a>(&self, live: &[&'a str]) -> Vec<&'a str> {
        if self.open {
            return Vec::new();
        }
        let reported = |node: &&&str| !self.reported.contains(**node);
        live.iter().filter(reported).copied().collect()
    }

    /// Processes a holder's sync.
    ///
    /// `live` are the members that this node doesn't suspect to have failed.
    /// Returns the reply, or `None` if the want is parked; its reply then
    /// comes from [`Granter::replies`].
    pub fn sync(
        &mut self,
        node: &str,
        sync: &Sync,
        live: &[&str],
        now_ms: u64,
    ) -> Option<Reply> {
        if !self.record_sync(node, sync, now_ms) {
            return Some(Reply::refused(sync));
        }
        self.reported.insert(node.to_owned());
        self.parked.retain(|parked| parked.node != node);
        self.expire(now_ms);
        self.open_if_safe(live, now_ms);
        if !self.open || sync.want == 0 {
            return Some(self.reply(node, false, Vec::new(), now_ms));
        }
        let since_ms = now_ms.saturating_sub(sync.waited_ms);
        let place = self.parked.partition_point(|p| p.since_ms <= since_ms);
        let (node, want) = (node.to_owned(), sync.want);
        let parked = Parked { node, want, since_ms, parked_ms: now_ms };
        self.parked.insert(place, parked);
        None
    }

    /// Returns the replies that are due: to wants that can be met, oldest
    /// first, and to wants whose parking time is over.
    pub fn replies(&mut self, now_ms: u64) -> Vec<(String, Reply)> {
        let mut replies = Vec::new();
        let mut kept = VecDeque::new();
        let mut free = self.free();
        while let Some(parked) = self.parked.pop_front() {
            let late = now_ms >= parked.parked_ms + PARK_MS;
            if free.is_empty() && !late {
                kept.push_back(parked);
                continue;
            }
            let granted = self.grant(&parked.node, parked.want, &mut free);
            replies.push((parked.node, granted));
        }
        self.parked = kept;
        replies
            .into_iter()
            .map(|(node, granted)| {
                let reply = self.reply(&node, true, granted, now_ms);
                (node, reply)
            })
            .collect()
    }

    /// Returns the latest time at which [`Granter::replies`] must be called.
    pub fn next_reply_ms(&self) -> Option<u64> {
        self.parked.iter().map(|parked| parked.parked_ms + PARK_MS).min()
    }

    /// Returns the nodes to recall slots from while wants are parked, with the
    /// demand of the others; the nodes that hold the most slots come first.
    pub fn recall_candidates(&self, now_ms: u64) -> Vec<(&str, Pressure)> {
        if self.parked.is_empty() {
            return Vec::new();
        }
        let mut holders: Vec<(&str, u32)> = self
            .records
            .iter()
            .map(|(node, record)| (node.as_str(), record.total()))
            .filter(|(_, total)| *total > 0)
            .collect();
        holders.sort_by_key(|(_, total)| std::cmp::Reverse(*total));
        holders
            .into_iter()
            .filter_map(|(node, _)| {
                Some((node, self.pressure_on(node, now_ms)?))
            })
            .take(MAX_RECALLED)
            .collect()
    }

    /// Returns the unmet demand of all nodes except `node`.
    fn pressure_on(&self, node: &str, now_ms: u64) -> Option<Pressure> {
        let others = || self.parked.iter().filter(|p| p.node != node);
        let oldest_ms = others().map(|parked| parked.since_ms).min()?;
        let wanted = others().map(|parked| parked.want).sum();
        let waited_ms = now_ms.saturating_sub(oldest_ms);
        Some(Pressure { waited_ms, wanted })
    }

    /// Records a sync; returns false if it isn't newer than the last one.
    fn record_sync(&mut self, node: &str, sync: &Sync, now_ms: u64) -> bool {
        let record = self.records.entry(node.to_owned()).or_default();
        let known = (record.incarnation, record.sequence);
        if (sync.incarnation, sync.sequence) <= known {
            return false;
        }
        if sync.incarnation != record.incarnation && record.total() > 0 {
            // The new process's sync doesn't cover the old one's requests.
            self.replaced.push(std::mem::take(record));
        }
        record.incarnation = sync.incarnation;
        record.sequence = sync.sequence;
        record.last_sync_ms = now_ms;
        let held = sync
            .held
            .iter()
            .map(|count| (count.runner.clone(), count.slots))
            .collect();
        let before = std::mem::replace(&mut record.held, held);
        subtract(&mut self.outstanding, &before);
        for count in &sync.held {
            *self.outstanding.entry(count.runner.clone()).or_default() +=
                count.slots;
        }
        true
    }

    fn open_if_safe(&mut self, live: &[&str], now_ms: u64) {
        let all_reported =
            live.iter().all(|node| self.reported.contains(*node));
        let all_ended =
            now_ms >= self.since_ms + self.limits.reclaim_after_ms();
        self.open |= all_reported || all_ended;
    }

    fn expire(&mut self, now_ms: u64) {
        let reclaim_after_ms = self.limits.reclaim_after_ms();
        let counts =
            |record: &Record| record.last_sync_ms + reclaim_after_ms > now_ms;
        let outstanding = &mut self.outstanding;
        self.replaced.retain(|record| {
            let kept = counts(record);
            if !kept {
                subtract(outstanding, &record.held);
            }
            kept
        });
        for record in self.records.values_mut() {
            if !counts(record) {
                subtract(outstanding, &std::mem::take(&mut record.held));
            }
        }
    }

    fn reply(
        &self,
        node: &str,
        parked: bool,
        granted: Vec<Count>,
        now_ms: u64,
    ) -> Reply {
        let record = self.records.get(node);
        let held = record.into_iter().flat_map(|record| record.held.keys());
        let revoked = held
            .filter(|runner| !self.runners.contains_key(*runner))
            .cloned()
            .collect();
        Reply {
            incarnation: record.map_or(0, |record| record.incarnation),
            sequence: record.map_or(0, |record| record.sequence),
            accepted: true,
            parked,
            granted,
            revoked,
            pressure: self.pressure_on(node, now_ms),
        }
    }

    /// Grants up to `want` free slots, and removes them from `free`.
    fn grant(
        &mut self,
        node: &str,
        want: u32,
        free: &mut BTreeMap<String, u32>,
    ) -> Vec<Count> {
        let mut left = want;
        let mut granted: BTreeMap<String, u32> = BTreeMap::new();
        while left > 0 {
            // The runner with the most free slots is the least loaded one.
            let most = free.iter_mut().max_by_key(|(_, slots)| **slots);
            let Some((runner, slots)) = most else { break };
            *slots -= 1;
            left -= 1;
            *granted.entry(runner.clone()).or_default() += 1;
            *self.outstanding.entry(runner.clone()).or_default() += 1;
            free.retain(|_, slots| *slots > 0);
        }
        if let Some(record) = self.records.get_mut(node) {
            for (runner, slots) in &granted {
                *record.held.entry(runner.clone()).or_default() += slots;
            }
        }
        granted
            .into_iter()
            .map(|(runner, slots)| Count { runner, slots })
            .collect()
    }

    /// Returns the runners that have free slots, with their number.
    fn free(&self) -> BTreeMap<String, u32> {
        self.runners
            .iter()
            .map(|(runner, slots)| {
                (runner, slots.saturating_sub(self.outstanding(runner)))
            })
            .filter(|(_, slots)| *slots > 0)
            .map(|(runner, slots)| (runner.clone(), slots))
            .collect()
    }
}

/// Subtracts the slots of a record from the sums.
fn subtract(
    outstanding: &mut BTreeMap<String, u32>,
    held: &BTreeMap<String, u32>,
) {
    for (runner, slots) in held {
        if let Some(sum) = outstanding.get_mut(runner) {
            *sum = sum.saturating_sub(*slots);
        }
    }
}
