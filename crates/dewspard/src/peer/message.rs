use {
    dewspar::{
        member::Suspicion,
        once::{Actor, Filing, Key, KeyStatus, Outcome},
        slot,
    },
    serde::{Deserialize, Serialize},
};

/// The version of the messages between nodes.
pub const VERSION: u16 = 1;

/// What one node asks another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Question {
    /// Are you there, and what do you know?
    Probe(Probe),
    /// I hold these slots of a service, and want so many more.
    SlotSync {
        /// The asking node.
        node: String,
        /// The service.
        service: String,
        /// What it holds and wants.
        sync: slot::Sync,
    },
    /// I am the granter of this service now: which slots do you hold?
    Holdings {
        /// The service.
        service: String,
    },
    /// Others wait for slots of this service: give back what is idle.
    Recall {
        /// The service.
        service: String,
        /// What they wait for.
        pressure: slot::Pressure,
    },
    /// Write these entries to a partition of the filings journal.
    Filings {
        /// The partition.
        partition: u32,
        /// The entries.
        items: Vec<FilingItem>,
    },
    /// How many requests are in flight on these VMs?
    InFlight {
        /// The VMs' names.
        vms: Vec<String>,
    },
    /// Which configuration do you have in force, if it is newer?
    Snapshot {
        /// The revision that the asking node has.
        have: u64,
    },
    /// Which revision is in force at your place?
    Revision,
}

/// What a node answers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Answer {
    /// I am here, and know this.
    Probe(Probe),
    /// These slots are granted.
    SlotSync(slot::Reply),
    /// These slots are held.
    Holdings(slot::Sync),
    /// Done, or on its way.
    Done,
    /// What became of each entry, in order.
    Filings(Vec<FilingAnswer>),
    /// So many requests are in flight, by VM, as of this view.
    InFlight {
        /// The version of the view that the node routes by.
        view: u64,
        /// The number of requests, in the order of the question.
        counts: Vec<u32>,
    },
    /// The newer configuration's resources, each as JSON.
    Snapshot {
        /// Its revision.
        revision: u64,
        /// Its resources.
        resources: Vec<String>,
    },
    /// This revision is in force here.
    Revision(u64),
    /// The question was refused.
    Refused(String),
}

/// What nodes tell each other all the time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Probe {
    /// The speaking node.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The configuration's revision that it has in force.
    pub revision: u64,
    /// How long ago the platform confirmed that, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Whether it is about to stop as planned.
    pub leaving: bool,
    /// Whom it suspects.
    pub suspicions: Vec<Suspicion>,
    /// Whom it heard and when, sent only while the platform is out.
    pub heard: Vec<HeardNode>,
}

/// When a node was last heard, and what it said of its reach.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HeardNode {
    /// The node's name.
    pub node: String,
    /// How long ago it was heard, in milliseconds.
    pub heard_ms: u64,
    /// The age of its confirmation when it spoke, in milliseconds.
    pub confirmed_ms: Option<u64>,
}

/// An entry for the filings journal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum FilingItem {
    /// The actor intends to run the filing.
    Intend {
        /// The filing.
        filing: Filing,
        /// Who runs it.
        actor: Actor,
    },
    /// The actor's attempt came to this outcome.
    Settle {
        /// The filing's key.
        key: Key,
        /// Who ran it.
        actor: Actor,
        /// What became of it.
        outcome: Outcome,
    },
}

/// What became of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FilingAnswer {
    /// It stands in the journal.
    Written,
    /// The journal says something else of the key.
    Standing(KeyStatus),
    /// It was not written, for now; the filing was not run.
    NotWritten,
}
