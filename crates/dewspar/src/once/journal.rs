/*!
The state machine of one partition, without I/O.

Entries wait until the write before theirs is answered, and then ride on the
next one together. A ticket says which of them have become safe, and which
another node's write has superseded.
*/

use crate::once::{
    Actor, CLOCK_SKEW_MS, Error, Filing, Key, KeyStatus, Outcome,
    RETENTION_MS, Segment, Write,
    known::KnownKeys,
    stored::{Entry, Head, decode, encode},
};

/// The most entries that one write carries.
const MAX_BATCH: usize = 4_096;

/// A ticket for an entry that waits to be written.
pub type Ticket = u64;

/// What the journal says to a filing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Its intent waits to be written; dispatch only when it has been.
    Queued(Ticket),
    /// It can't be run now, or not at all.
    Blocked(KeyStatus),
}

/// A waiting entry that can't be written any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Superseded {
    /// The ticket that was given for it.
    pub ticket: Ticket,
    /// What the journal says now.
    pub status: KeyStatus,
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
    known: KnownKeys,
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
            known: KnownKeys::default(),
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
            Some(value) => decode(self.partition, value)?,
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
            self.known.apply(entry);
        }
        Ok(unread)
    }

    /// Takes in a sealed segment's body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] when the body isn't a segment's.
    pub fn load_segment(&mut self, body: &[u8]) -> Result<(), Error> {
        let entries: Vec<Entry> = decode(self.partition, body)?;
        for entry in &entries {
            self.known.apply(entry);
        }
        // What the head holds is newer than any segment.
        let open = self.head.open.clone();
        for entry in &open {
            self.known.apply(entry);
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
            return Admission::Blocked(KeyStatus::TooOld);
        }
        if key_ms > now_ms + CLOCK_SKEW_MS {
            return Admission::Blocked(KeyStatus::TooNew);
        }
        if let Some(known) = self.known.status(filing) {
            return Admission::Blocked(known);
        }
        if let Some(actor) = self.queued_actor(filing.key) {
            return Admission::Blocked(KeyStatus::Pending(actor));
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
        let dropped = head.drop_expired(now_ms);
        let sealed = head.seal();
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
            self.known.apply(&waiting.entry);
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
            Some(value) => {
                decode::<Head>(self.partition, value)?.token == token
            }
        };
        Ok(landed.then(|| self.written(token, version)))
    }

    /// Returns the waiting intents that the journal has superseded.
    ///
    /// Call it after a [`Journal::load`] that followed a conflict. An intent
    /// whose own write landed unseen, so that it now stands in the journal
    /// in this actor's name, comes back as [`KeyStatus::Intended`].
    pub fn take_superseded(&mut self) -> Vec<Superseded> {
        let mut kept = Vec::new();
        let mut superseded = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let status = match &waiting.entry {
                Entry::Intent { filing, .. } => self.known.status(filing),
                Entry::Outcome { .. } => None,
            };
            match status {
                None => kept.push(waiting),
                Some(status) => {
                    let ticket = waiting.ticket;
                    superseded.push(Superseded { ticket, status });
                }
            }
        }
        self.waiting = kept;
        superseded
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
    pub fn forget_expired(&mut self, now_ms: u64) {
        self.known.forget_expired(now_ms);
    }

    fn queue(&mut self, entry: Entry) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push(Waiting { ticket, entry });
        ticket
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

    fn take_in_flight(&mut self, token: u64) -> Option<InFlight> {
        match &self.in_flight {
            Some(in_flight) if in_flight.token == token => {
                self.in_flight.take()
            }
            _ => None,
        }
    }
}
