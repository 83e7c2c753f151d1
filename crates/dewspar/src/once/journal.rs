/*!
The state machine of one partition, without I/O.

Entries are queued while a write is in flight, and go into the next write
together. Each entry has a ticket, by which the journal reports whether the
entry is durable or was superseded by another node's write.
*/

use crate::once::{
    Actor, CLOCK_SKEW_MS, Error, Filing, Key, KeyStatus, Outcome,
    RETENTION_MS, Segment, Write,
    known::KnownKeys,
    stored::{Entry, Head, decode, encode},
};

/// The maximum number of entries in one write.
const MAX_BATCH: usize = 4_096;

/// Identifies an entry that waits to be written.
pub type Ticket = u64;

/// The journal's decision on a filing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The intent is queued; dispatch the filing only after it is written.
    Queued(Ticket),
    /// The filing can't be run, now or ever, because of its key's status.
    Blocked(KeyStatus),
}

/// A queued intent that can no longer be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Superseded {
    /// The ticket of the entry.
    pub ticket: Ticket,
    /// The current status of the key.
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

/// One node's view of the journal of one partition.
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
    /// Creates an empty journal; call [`Journal::load`] before use.
    pub fn new(partition: u32) -> Journal {
        Journal::with_seed(partition, 0)
    }

    /// Creates an empty journal whose write tokens are derived from `seed`,
    /// which must differ between processes.
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

    /// Returns the number of keys in memory.
    pub fn known_keys(&self) -> usize {
        self.known.len()
    }

    /// Returns the number of entries queued for the next write.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the version of the head last read or written.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Loads the head as read from the platform.
    ///
    /// Returns the segments whose bodies must be passed to
    /// [`Journal::load_segment`] before the journal may admit filings.
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

    /// Loads the body of a sealed segment.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Corrupt`] when the body isn't a segment's.
    pub fn load_segment(&mut self, body: &[u8]) -> Result<(), Error> {
        let entries: Vec<Entry> = decode(self.partition, body)?;
        for entry in &entries {
            self.known.apply(entry);
        }
        // The entries of the head are newer than those of any segment.
        let open = self.head.open.clone();
        for entry in &open {
            self.known.apply(entry);
        }
        Ok(())
    }

    /// Requests to run a filing; queues its intent if the key allows it.
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

    /// Queues the outcome of an actor's attempt to run a filing.
    ///
    /// The outcome is ignored if another attempt's intent is recorded by then.
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

    /// Records that the write succeeded with this version; returns the tickets
    /// of the entries that are now durable.
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

    /// Records that the write certainly did not take effect; its entries are
    /// queued again, ahead of later ones.
    pub fn not_written(&mut self, token: u64) {
        if let Some(in_flight) = self.take_in_flight(token) {
            let later = std::mem::replace(&mut self.waiting, in_flight.batch);
            self.waiting.extend(later);
        }
    }

    /// Decides from the head as read back whether a write without a response
    /// took effect; `None` means that it did not.
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

    /// Removes and returns the queued intents whose keys are in use by now.
    ///
    /// Call it after a [`Journal::load`] that followed a conflict. An intent
    /// whose own write took effect without a response is recorded in its
    /// actor's name, and is returned with [`KeyStatus::Intended`].
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

    /// Withdraws a queued entry; returns whether it was still queued, and so
    /// was certainly not written.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.waiting.len() < before
    }

    /// Withdraws all queued intents; outcomes stay queued.
    pub fn withdraw_intents(&mut self) -> Vec<Ticket> {
        let (intents, rest) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| matches!(w.entry, Entry::Intent { .. }));
        self.waiting = rest;
        let intents: Vec<Waiting> = intents;
        intents.iter().map(|waiting| waiting.ticket).collect()
    }

    /// Removes keys past the retention window from memory.
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
