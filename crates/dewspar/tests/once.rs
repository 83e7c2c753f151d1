//! At-most-once execution with two writers, lost responses, crashes and
//! delayed messages.

use {
    dewspar::once::{
        Actor, Admission, CLOCK_SKEW_MS, Filing, Journal, Key, KeyStatus,
        Outcome, RETENTION_MS, Ticket,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::collections::{BTreeMap, BTreeSet},
};

const NOW_MS: u64 = 1_800_000_000_000;

/// The platform's storage of one partition: its head and its segments.
#[derive(Default)]
struct Platform {
    version: u64,
    head: Option<Vec<u8>>,
    segments: BTreeMap<String, Vec<u8>>,
}

/// A node that writes the partition, and its queued intents.
struct Writer {
    name: usize,
    journal: Journal,
    waiting: BTreeMap<Ticket, (Key, Actor)>,
    attempts: u64,
}

impl Writer {
    fn new(name: usize, seed: u64, platform: &Platform) -> Writer {
        let journal = Journal::with_seed(0, seed);
        let mut writer =
            Writer { name, journal, waiting: BTreeMap::new(), attempts: 0 };
        writer.load(platform);
        writer
    }

    fn load(&mut self, platform: &Platform) {
        let head = platform.head.as_deref();
        let unread =
            self.journal.load(platform.version, head).expect("a head");
        for segment in unread {
            let body = &platform.segments[segment.name()];
            self.journal.load_segment(body).expect("a segment");
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Action {
    /// A caller asks the writer to run the filing with a key.
    Admit { writer: usize, key: u8 },
    /// The writer writes, and gets the response.
    Write { writer: usize },
    /// The writer writes, but the response is lost; it reads the head back.
    WriteLost { writer: usize },
    /// The writer's call never reaches the platform.
    WriteFails { writer: usize },
    /// The writer settles a filing that it dispatched.
    Settle { writer: usize, not_run: bool },
    /// An old outcome arrives again.
    RepeatOutcome { writer: usize },
    /// The writer's process is replaced by a new one.
    Crash { writer: usize },
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Action {
        let writer = usize::arbitrary(g) % 2;
        match u8::arbitrary(g) % 10 {
            0..=2 => Action::Admit { writer, key: u8::arbitrary(g) % 4 },
            3..=4 => Action::Write { writer },
            5 => Action::WriteLost { writer },
            6 => Action::WriteFails { writer },
            7 => Action::Settle { writer, not_run: bool::arbitrary(g) },
            8 => Action::RepeatOutcome { writer },
            _ => Action::Crash { writer },
        }
    }
}

/// The platform, both writers, and how often each key ran.
struct Simulation {
    platform: Platform,
    writers: Vec<Writer>,
    processes: u64,
    dispatched: Vec<Vec<(Key, Actor)>>,
    ran: BTreeMap<Key, u32>,
    settled: Vec<(Key, Actor, Outcome)>,
}

impl Simulation {
    fn new() -> Simulation {
        let platform = Platform::default();
        let writers =
            vec![Writer::new(0, 1, &platform), Writer::new(1, 2, &platform)];
        Simulation {
            platform,
            writers,
            processes: 2,
            dispatched: vec![Vec::new(), Vec::new()],
            ran: BTreeMap::new(),
            settled: Vec::new(),
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Admit { writer, key } => self.admit(writer, key),
            Action::Write { writer } => self.write(writer, false),
            Action::WriteLost { writer } => self.write(writer, true),
            Action::WriteFails { writer } => {
                let journal = &mut self.writers[writer].journal;
                if let Some(write) = journal.next_write(NOW_MS) {
                    journal.not_written(write.token());
                }
            }
            Action::Settle { writer, not_run } => self.settle(writer, not_run),
            Action::RepeatOutcome { writer } => self.repeat_outcome(writer),
            Action::Crash { writer } => self.crash(writer),
        }
    }

    fn admit(&mut self, index: usize, key: u8) {
        let key = Key::at(NOW_MS, u128::from(key));
        let filing = Filing::new(key, b"body");
        let writer = &mut self.writers[index];
        writer.attempts += 1;
        let name = format!("n{}", writer.name);
        let actor = Actor::new(&name, self.processes, writer.attempts);
        let admission = writer.journal.admit(&filing, &actor, NOW_MS);
        if let Admission::Queued(ticket) = admission {
            writer.waiting.insert(ticket, (key, actor));
        }
    }

    fn write(&mut self, index: usize, lost: bool) {
        let writer = &mut self.writers[index];
        let Some(write) = writer.journal.next_write(NOW_MS) else { return };
        let platform = &mut self.platform;
        if let Some((segment, body)) = write.sealed() {
            let name = segment.name().to_owned();
            platform.segments.insert(name, body.to_vec());
        }
        let token = write.token();
        let swapped = write.expected_version() == platform.version;
        if swapped {
            platform.version += 1;
            platform.head = Some(write.value().to_vec());
        }
        let written = if swapped && !lost {
            writer.journal.written(token, platform.version)
        } else {
            let head = platform.head.as_deref();
            let read = writer.journal.read_back(token, platform.version, head);
            match read.expect("a head") {
                Some(written) => written,
                None => {
                    writer.journal.not_written(token);
                    Vec::new()
                }
            }
        };
        if !swapped {
            writer.load(platform);
            for superseded in writer.journal.take_superseded() {
                writer.waiting.remove(&superseded.ticket);
            }
        }
        for ticket in written {
            // The intent is durable, so the filing is dispatched.
            if let Some((key, actor)) = writer.waiting.remove(&ticket) {
                self.dispatched[index].push((key, actor));
            }
        }
    }

    fn settle(&mut self, index: usize, not_run: bool) {
        let Some((key, actor)) = self.dispatched[index].pop() else { return };
        let outcome = if not_run {
            Outcome::NotRun
        } else {
            *self.ran.entry(key).or_default() += 1;
            Outcome::Ran { status: 200 }
        };
        let journal = &mut self.writers[index].journal;
        journal.settle(key, &actor, outcome, NOW_MS);
        self.settled.push((key, actor, outcome));
    }

    fn repeat_outcome(&mut self, index: usize) {
        if let Some((key, actor, outcome)) = self.settled.first() {
            let journal = &mut self.writers[index].journal;
            journal.settle(*key, actor, *outcome, NOW_MS);
        }
    }

    fn crash(&mut self, index: usize) {
        // Dispatched filings run, but are never settled.
        for (key, _) in std::mem::take(&mut self.dispatched[index]) {
            *self.ran.entry(key).or_default() += 1;
        }
        self.processes += 1;
        let fresh = Writer::new(index, self.processes, &self.platform);
        self.writers[index] = fresh;
    }
}

#[test]
fn no_key_ever_runs_twice() {
    fn property(actions: Vec<Action>) -> bool {
        let mut simulation = Simulation::new();
        for action in actions {
            simulation.apply(action);
            assert!(simulation.ran.values().all(|runs| *runs <= 1));
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 11))
        .tests(4_000)
        .quickcheck(property as fn(Vec<Action>) -> bool);
}

#[test]
fn late_outcome_of_an_earlier_attempt_is_ignored() {
    let mut journal = Journal::new(0);
    let key = Key::at(NOW_MS, 1);
    let filing = Filing::new(key, b"body");
    let first = Actor::new("n1", 1, 1);
    let write = |journal: &mut Journal| {
        let write = journal.next_write(NOW_MS).expect("a write");
        journal.written(write.token(), write.expected_version() + 1);
    };
    journal.admit(&filing, &first, NOW_MS);
    write(&mut journal);
    journal.settle(key, &first, Outcome::NotRun, NOW_MS);
    write(&mut journal);
    let second = Actor::new("n2", 2, 1);
    let admission = journal.admit(&filing, &second, NOW_MS);
    assert!(matches!(admission, Admission::Queued(_)));
    write(&mut journal);
    // The first attempt's outcome, duplicated by a lower layer.
    journal.settle(key, &first, Outcome::NotRun, NOW_MS);
    write(&mut journal);
    let third = Actor::new("n3", 3, 1);
    let admission = journal.admit(&filing, &third, NOW_MS);
    assert_eq!(admission, Admission::Blocked(KeyStatus::Intended(second)));
}

#[test]
fn keys_too_old_or_in_the_future_are_refused() {
    let mut journal = Journal::new(0);
    let actor = Actor::new("n1", 1, 1);
    let mut admit = |key_ms: u64| {
        let filing = Filing::new(Key::at(key_ms, 1), b"body");
        journal.admit(&filing, &actor, NOW_MS)
    };
    assert_eq!(
        admit(NOW_MS - RETENTION_MS - 1),
        Admission::Blocked(KeyStatus::TooOld)
    );
    assert_eq!(
        admit(NOW_MS + CLOCK_SKEW_MS + 1),
        Admission::Blocked(KeyStatus::TooNew)
    );
    assert!(matches!(admit(NOW_MS - RETENTION_MS), Admission::Queued(_)));
}

#[test]
fn key_with_another_body_is_refused() {
    let mut journal = Journal::new(0);
    let actor = Actor::new("n1", 1, 1);
    let key = Key::at(NOW_MS, 1);
    journal.admit(&Filing::new(key, b"one"), &actor, NOW_MS);
    let write = journal.next_write(NOW_MS).expect("a write");
    journal.written(write.token(), 1);
    let other = Filing::new(key, b"two");
    let admission = journal.admit(&other, &actor, NOW_MS);
    assert_eq!(admission, Admission::Blocked(KeyStatus::OtherBody));
}

#[test]
fn sealed_entries_are_loaded_and_later_dropped() {
    let mut platform = Platform::default();
    let mut writer = Writer::new(0, 1, &platform);
    let mut keys = BTreeSet::new();
    for n in 0..6_000_u32 {
        let key = Key::at(NOW_MS, u128::from(n));
        keys.insert(key);
        let actor = Actor::new("n1", 1, u64::from(n));
        writer.journal.admit(&Filing::new(key, b"x"), &actor, NOW_MS);
        if n % 100 == 99 {
            let write = writer.journal.next_write(NOW_MS).expect("a write");
            if let Some((segment, body)) = write.sealed() {
                let name = segment.name().to_owned();
                platform.segments.insert(name, body.to_vec());
            }
            platform.version += 1;
            platform.head = Some(write.value().to_vec());
            writer.journal.written(write.token(), platform.version);
        }
    }
    assert!(platform.segments.len() > 1);
    // A successor loads every key from the segments and the head.
    let mut next = Writer::new(1, 2, &platform);
    assert_eq!(next.journal.known_keys(), keys.len());
    // After the retention window the segments and keys are dropped.
    let later_ms = NOW_MS + RETENTION_MS + 3 * CLOCK_SKEW_MS;
    next.journal.forget_expired(later_ms);
    assert_eq!(next.journal.known_keys(), 0);
    let actor = Actor::new("n2", 2, 1);
    let filing = Filing::new(Key::at(later_ms, 9), b"x");
    next.journal.admit(&filing, &actor, later_ms);
    let write = next.journal.next_write(later_ms).expect("a write");
    assert_eq!(write.dropped().len(), platform.segments.len());
}
