use {
    crate::{
        once::{
            Actor, CLOCK_SKEW_MS, Filing, Key, Outcome, RETENTION_MS,
            SEAL_BYTES,
        },
        util::digest_hex,
    },
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// The most entries that one write carries.
const MAX_BATCH: usize = 4_096;

/// Why a stored journal couldn't be read.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// journal partition {partition} can't be read: {reason}
    Corrupt {
        /// The partition.
        partition: u32,
        /// What the decoder said.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// One line of the journal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum Entry {
    Intent { filing: Filing, actor: Actor, at_ms: u64 },
    Outcome { key: Key, actor: Actor, outcome: Outcome, at_ms: u64 },
}

/// A ticket for an entry that waits to be written.
pub type Ticket = u64;

/// What the journal says to a filing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Its intent waits to be written; dispatch only when it has been.
    Queued(Ticket),
    /// It can't be run now, or not at all.
    Stands(Standing),
}

/// Why a key can't be run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Standing {
    /// This actor's intent waits to be written, and may not be.
    Pending(Actor),
    /// This actor's intent stands without an outcome.
    Intended(Actor),
    /// It has an outcome.
    Settled(Outcome),
    /// The key was used with another body.
    OtherBody,
    /// The key is older than the retention window.
    TooOld,
    /// The key's time lies in the future.
    TooNew,
}

#[derive(Clone, Debug)]
struct Known {
    body_hash: u64,
    state: State,
    at_ms: u64,
}

#[derive(Clone, Debug)]
enum State {
    Intended(Actor),
    Settled(Outcome),
}

impl State {
    fn is_by(&self, actor: &Actor) -> bool {
        matches!(self, State::Intended(by) if by == actor)
    }
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Head {
    token: u64,
    open: Vec<Entry>,
    segments: Vec<Segment>,
}

/// An immutable run of sealed entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    name: String,
    newest_ms: u64,
}

impl Segment {
    /// Returns the segment's name, unique within its partition.
    pub fn name(&self) -> &str {
        &self.name
    }
}

/// A write to make at the platform.
#[derive(Clone, Debug)]
pub struct Write {
    token: u64,
    expected_version: u64,
    value: Vec<u8>,
    sealed: Option<(Segment, Vec<u8>)>,
    dropped: Vec<Segment>,
}

impl Write {
    /// Returns the token that tells this write from all others.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns the version that the head must still have; 0 means absent.
    pub fn expected_version(&self) -> u64 {
        self.expected_version
    }

    /// Returns the head's new value.
    pub fn value(&self) -> &[u8] {
        &self.value
    }

    /// Returns the segment to store before the head is swapped.
    pub fn sealed(&self) -> Option<(&Segment, &[u8])> {
        self.sealed.as_ref().map(|(segment, body)| (segment, &body[..]))
    }

    /// Returns the segments to delete after the head was swapped.
    pub fn dropped(&self) -> &[Segment] {
        &self.dropped
    }
}

/// A waiting entry that can't be written any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Overtaken {
    /// The ticket that was given for it.
    pub ticket: Ticket,
    /// What the journal says now.
    pub standing: Standing,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    entry: Entry,
}

#[derive(Debug)]
struct InFlight {
    token: u64,
    head: Head,
    batch: Vec<Waiting>,
}

/// The journal of one partition, as one node runs it.
#[derive(Debug)]
pub struct Journal {
    partition: u32,
    version: u64,
    head: Head,
    known: HashMap<Key, Known>,
    waiting: Vec<Waiting>,
    in_flight: Option<InFlight>,
    next_ticket: Ticket,
    next_token: u64,
}

impl Journal {
    /// Makes an empty journal; [`Journal::load`] it before use.
    pub fn new(partition: u32) -> Journal {
        Journal::with_seed(partition, 0)
    }

    /// Makes an empty journal whose tokens start from `seed`, which must
    /// differ between processes.
    pub fn with_seed(partition: u32, seed: u64) -> Journal {
        Journal {
            partition,
            version: 0,
            head: Head::default(),
            known: HashMap::new(),
            waiting: Vec::new(),
            in_flight: None,
            next_ticket: 1,
            next_token: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        }
    }

    /// Returns the partition's number.
    pub fn partition(&self) -> u32 {
        self.partition
    }

    /// Returns how many keys are remembered.
    pub fn known_keys(&self) -> usize {
        self.known.len()
    }

    /// Returns how many entries wait for the next write.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the version of the head that was last read or written.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes in the head as it stands at the platform.
    ///
    /// Returns the segments whose bodies must be given to
    /// [`Journal::load_segment`] before the journal admits anything.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] when the value isn't a head.
    pub fn load(
        &mut self,
        version: u64,
        value: Option<&[u8]>,
    ) -> Result<Vec<Segment>, Error> {
        let head = match value {
            None => Head::default(),
            Some(value) => self.decode(value)?,
        };
        let unread = head
            .segments
            .iter()
            .filter(|segment| !self.head.segments.contains(segment))
            .cloned()
            .collect();
        let entries = head.open.clone();
        self.head = head;
        self.version = version;
        self.in_flight = None;
        for entry in &entries {
            self.learn(entry);
        }
        Ok(unread)
    }

    /// Takes in a sealed segment's body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] when the body isn't a segment's.
    pub fn load_segment(&mut self, body: &[u8]) -> Result<(), Error> {
        let entries: Vec<Entry> = self.decode(body)?;
        for entry in &entries {
            self.learn(entry);
        }
        // What the head holds is newer than any segment.
        let open = self.head.open.clone();
        for entry in &open {
            self.learn(entry);
        }
        Ok(())
    }

    /// Asks for a filing to be run; queues its intent if it is fresh.
    pub fn admit(
        &mut self,
        filing: &Filing,
        actor: &Actor,
        now_ms: u64,
    ) -> Admission {
        let key_ms = filing.key.unix_ms();
        if key_ms.saturating_add(RETENTION_MS) < now_ms {
            return Admission::Stands(Standing::TooOld);
        }
        if key_ms > now_ms + CLOCK_SKEW_MS {
            return Admission::Stands(Standing::TooNew);
        }
        if let Some(known) = self.standing(filing) {
            return Admission::Stands(known);
        }
        if let Some(actor) = self.queued_actor(filing.key) {
            return Admission::Stands(Standing::Pending(actor));
        }
        let (filing, actor) = (*filing, actor.clone());
        let entry = Entry::Intent { filing, actor, at_ms: now_ms };
        Admission::Queued(self.queue(entry))
    }

    /// Records what became of an actor's attempt at a filing.
    ///
    /// It changes nothing if another attempt stands there by then.
    pub fn settle(
        &mut self,
        key: Key,
        actor: &Actor,
        outcome: Outcome,
        now_ms: u64,
    ) -> Ticket {
        let actor = actor.clone();
        self.queue(Entry::Outcome { key, actor, outcome, at_ms: now_ms })
    }

    /// Returns the next write, unless one is in flight or nothing waits.
    pub fn next_write(&mut self, now_ms: u64) -> Option<Write> {
        if self.in_flight.is_some() || self.waiting.is_empty() {
            return None;
        }
        let size = self.waiting.len().min(MAX_BATCH);
        let batch: Vec<Waiting> = self.waiting.drain(..size).collect();
        let mut head = self.head.clone();
        let dropped = drop_old(&mut head.segments, now_ms);
        let sealed = self.seal(&mut head);
        head.open.extend(batch.iter().map(|waiting| waiting.entry.clone()));
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(2);
        head.token = token;
        let value = encode(&head);
        let expected_version = self.version;
        self.in_flight = Some(InFlight { token, head, batch });
        Some(Write { token, expected_version, value, sealed, dropped })
    }

    /// Records that the write landed as this version; returns the tickets
    /// of the entries that are now safe.
    pub fn written(&mut self, token: u64, version: u64) -> Vec<Ticket> {
        let Some(in_flight) = self.take_in_flight(token) else {
            return Vec::new();
        };
        self.version = version;
        self.head = in_flight.head;
        for waiting in &in_flight.batch {
            self.learn(&waiting.entry);
        }
        in_flight.batch.iter().map(|waiting| waiting.ticket).collect()
    }

    /// Records that the write certainly did not land; its entries wait
    /// again, ahead of those that came later.
    pub fn not_written(&mut self, token: u64) {
        if let Some(in_flight) = self.take_in_flight(token) {
            let later = std::mem::replace(&mut self.waiting, in_flight.batch);
            self.waiting.extend(later);
        }
    }

    /// Decides from the head as read back whether a write landed whose
    /// answer was lost; `None` means that it did not.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] when the value isn't a head.
    pub fn read_back(
        &mut self,
        token: u64,
        version: u64,
        value: Option<&[u8]>,
    ) -> Result<Option<Vec<Ticket>>, Error> {
        let landed = match value {
            None => false,
            Some(value) => self.decode::<Head>(value)?.token == token,
        };
        Ok(landed.then(|| self.written(token, version)))
    }

    /// Returns the waiting intents that the journal has overtaken.
    ///
    /// Call it after a [`Journal::load`] that followed a conflict. An intent
    /// whose own write landed unseen, so that it now stands in the journal
    /// in this actor's name, comes back as [`Standing::Intended`].
    pub fn overtaken(&mut self) -> Vec<Overtaken> {
        let mut kept = Vec::new();
        let mut overtaken = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let standing = match &waiting.entry {
                Entry::Intent { filing, .. } => self.standing(filing),
                Entry::Outcome { .. } => None,
            };
            match standing {
                None => kept.push(waiting),
                Some(standing) => {
                    let ticket = waiting.ticket;
                    overtaken.push(Overtaken { ticket, standing });
                }
            }
        }
        self.waiting = kept;
        overtaken
    }

    /// Gives up a waiting entry; returns whether it still waited and so was
    /// certainly not written.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.waiting.len() < before
    }

    /// Gives up every waiting intent; outcomes go on waiting.
    pub fn withdraw_intents(&mut self) -> Vec<Ticket> {
        let (intents, rest) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| matches!(w.entry, Entry::Intent { .. }));
        self.waiting = rest;
        let intents: Vec<Waiting> = intents;
        intents.iter().map(|waiting| waiting.ticket).collect()
    }

    /// Forgets keys that are past the retention window.
    pub fn forget_old(&mut self, now_ms: u64) {
        self.known.retain(|_, known| !expired(known.at_ms, now_ms));
    }

    fn queue(&mut self, entry: Entry) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push(Waiting { ticket, entry });
        ticket
    }

    fn standing(&self, filing: &Filing) -> Option<Standing> {
        let known = self.known.get(&filing.key)?;
        if known.body_hash != filing.body_hash {
            return Some(Standing::OtherBody);
        }
        match &known.state {
            State::Settled(Outcome::NotRun) => None,
            State::Settled(outcome) => Some(Standing::Settled(*outcome)),
            State::Intended(actor) => Some(Standing::Intended(actor.clone())),
        }
    }

    fn queued_actor(&self, key: Key) -> Option<Actor> {
        let in_flight = self.in_flight.iter().flat_map(|f| &f.batch);
        in_flight.chain(&self.waiting).find_map(|w| match &w.entry {
            Entry::Intent { filing, actor, .. } if filing.key == key => {
                Some(actor.clone())
            }
            _ => None,
        })
    }

    fn learn(&mut self, entry: &Entry) {
        match entry {
            Entry::Intent { filing, actor, at_ms } => {
                let state = State::Intended(actor.clone());
                let body_hash = filing.body_hash;
                let known = Known { body_hash, state, at_ms: *at_ms };
                self.known.insert(filing.key, known);
            }
            Entry::Outcome { key, actor, outcome, .. } => {
                if let Some(known) = self.known.get_mut(key)
                    && known.state.is_by(actor)
                {
                    known.state = State::Settled(*outcome);
                }
            }
        }
    }

    fn take_in_flight(&mut self, token: u64) -> Option<InFlight> {
        match &self.in_flight {
            Some(in_flight) if in_flight.token == token => {
                self.in_flight.take()
            }
            _ => None,
        }
    }

    fn seal(&self, head: &mut Head) -> Option<(Segment, Vec<u8>)> {
        let body = encode(&head.open);
        if body.len() < SEAL_BYTES {
            return None;
        }
        let newest_ms = head.open.iter().map(Entry::at_ms).max().unwrap_or(0);
        let segment = Segment { name: digest_hex(&body), newest_ms };
        head.segments.push(segment.clone());
        head.open.clear();
        Some((segment, body))
    }

    fn decode<'a, T: Deserialize<'a>>(
        &self,
        bytes: &'a [u8],
    ) -> Result<T, Error> {
        postcard::from_bytes(bytes).map_err(|e| Error::Corrupt {
            partition: self.partition,
            reason: e.to_string(),
        })
    }
}

impl Entry {
    fn at_ms(&self) -> u64 {
        match self {
            Entry::Intent { at_ms, .. } => *at_ms,
            Entry::Outcome { at_ms, .. } => *at_ms,
        }
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // OK because the types hold only numbers, strings and lists.
    postcard::to_stdvec(value).expect("an entry is always encodable")
}

fn expired(at_ms: u64, now_ms: u64) -> bool {
    at_ms + RETENTION_MS + 2 * CLOCK_SKEW_MS < now_ms
}

fn drop_old(segments: &mut Vec<Segment>, now_ms: u64) -> Vec<Segment> {
    let (old, kept) = std::mem::take(segments)
        .into_iter()
        .partition(|segment| expired(segment.newest_ms, now_ms));
    *segments = kept;
    old
}
