/*!
The fleet: the pool and the state of each VM.

A VM never changes its data hall, so all shared state about it is in one
value, the [`Hall`] document of its data hall. Each VM has one row there, and
the row has one field for the pool, so a VM can't be in two pools.

A row also has an *epoch*, which is the fencing token for actions outside the
platform, such as a reboot. Recording the intent to act raises the epoch,
workers refuse older epochs, and any node that finds the intent may complete
the action.

The states and their transitions are those of the chart `vm`; see
[`crate::chart`].

# Example

```
use dewspar::fleet::{Hall, Listing, VmState};

let mut hall = Hall::default();
let listing = Listing::new("vm-1", "hall-1", "rack-1", "127.0.0.1:7001");
hall.apply_listing(&listing);
hall.assign("vm-1", Some("registry"), 10)?;
assert_eq!(hall.row("vm-1").unwrap().state(), VmState::Serving);

hall.handle("vm-1", "drain", 20)?;
assert_eq!(hall.row("vm-1").unwrap().state(), VmState::Draining);

// A VM that drains can't be taken into another pool.
let error = hall.assign("vm-1", Some("claims"), 30).unwrap_err();
assert_eq!(
    error.to_string(),
    "VM `vm-1` is draining: it can change its pool only when free",
);
# Ok::<(), Box<dyn std::error::Error>>(())
```
*/

use {
    crate::{
        chart::{self, Chart},
        rows::Rows,
    },
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt},
};

/// A VM as described by the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    name: String,
    hall: String,
    rack: String,
    worker_address: String,
    #[serde(default)]
    cpu_millis: u64,
    #[serde(default)]
    memory_mb: u64,
    #[serde(default)]
    leaving: bool,
}

impl Listing {
    /// Creates a listing of a VM with 32 cores and 128 GB of memory.
    pub fn new(
        name: &str,
        hall: &str,
        rack: &str,
        worker_address: &str,
    ) -> Listing {
        Listing {
            name: name.to_owned(),
            hall: hall.to_owned(),
            rack: rack.to_owned(),
            worker_address: worker_address.to_owned(),
            cpu_millis: 32_000,
            memory_mb: 128_000,
            leaving: false,
        }
    }

    /// Sets whether the VM is leaving.
    pub fn with_leaving(mut self, leaving: bool) -> Listing {
        self.leaving = leaving;
        self
    }

    /// Returns the VM's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the VM's data hall.
    pub fn hall(&self) -> &str {
        &self.hall
    }

    /// Returns the VM's rack.
    pub fn rack(&self) -> &str {
        &self.rack
    }

    /// Returns the address of the VM's worker.
    pub fn worker_address(&self) -> &str {
        &self.worker_address
    }

    /// Returns the VM's processor time, in thousandths of a core.
    pub fn cpu_millis(&self) -> u64 {
        self.cpu_millis
    }

    /// Returns the VM's memory, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        self.memory_mb
    }

    /// Returns whether the platform has marked the VM as leaving.
    pub fn leaving(&self) -> bool {
        self.leaving
    }
}

/// Checks that each VM in a list has a worker address of its own.
///
/// # Errors
///
/// Returns [`Error::SameAddress`] with the first two VMs that share an
/// address: an action on one of them would be carried out on the other.
pub fn check_addresses(list: &[Listing]) -> Result<(), Error> {
    let mut names = BTreeMap::new();
    for listing in list {
        let address = listing.worker_address.as_str();
        if let Some(one) = names.insert(address, listing.name.as_str()) {
            return Err(Error::SameAddress {
                one: one.to_owned(),
                other: listing.name.clone(),
                address: address.to_owned(),
            });
        }
    }
    Ok(())
}

/// The state of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM belongs to no pool.
    Free,
    /// Its runners take requests.
    Serving,
    /// The VM takes no new work and finishes its work in flight.
    Draining,
    /// The intent to reboot is recorded; the reboot may be in progress.
    Rebooting,
    /// The VM stopped answering.
    Lost,
}

impl VmState {
    /// Every state, in the order of the chart.
    pub const ALL: [VmState; 5] = [
        VmState::Free,
        VmState::Serving,
        VmState::Draining,
        VmState::Rebooting,
        VmState::Lost,
    ];

    /// Returns the state's name in the chart.
    pub fn as_str(self) -> &'static str {
        match self {
            VmState::Free => "free",
            VmState::Serving => "serving",
            VmState::Draining => "draining",
            VmState::Rebooting => "rebooting",
            VmState::Lost => "lost",
        }
    }
}

impl fmt::Display for VmState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The reason why an update was rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// VM `{0}` isn't listed in this data hall
    Unlisted(String),
    /// VM `{name}` is {state}: it can change its pool only when free
    NotFree {
        /// The VM's name.
        name: String,
        /// Its current state.
        state: VmState,
    },
    /// VMs `{one}` and `{other}` are both listed at {address}
    SameAddress {
        /// The name of the first VM.
        one: String,
        /// The name of the second VM.
        other: String,
        /// The address of both their workers.
        address: String,
    },
    /// VM `{name}`: {refusal}
    Refused {
        /// The VM's name.
        name: String,
        /// The chart's error.
        refusal: chart::Error,
    },
}

impl std::error::Error for Error {}

/// The shared state of one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    hall: String,
    rack: String,
    worker_address: String,
    cpu_millis: u64,
    memory_mb: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pool: Option<String>,
    state: VmState,
    since_ms: u64,
    epoch: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    maintained: Option<String>,
}

impl Row {
    /// Returns the VM's data hall.
    pub fn hall(&self) -> &str {
        &self.hall
    }

    /// Returns the VM's rack.
    pub fn rack(&self) -> &str {
        &self.rack
    }

    /// Returns the address of the VM's worker.
    pub fn worker_address(&self) -> &str {
        &self.worker_address
    }

    /// Returns the VM's processor time, in thousandths of a core.
    pub fn cpu_millis(&self) -> u64 {
        self.cpu_millis
    }

    /// Returns the VM's memory, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        self.memory_mb
    }

    /// Returns the pool that the VM belongs to, if any.
    pub fn pool(&self) -> Option<&str> {
        self.pool.as_deref()
    }

    /// Returns the VM's state.
    pub fn state(&self) -> VmState {
        self.state
    }

    /// Returns when the VM entered its state, in milliseconds since the Unix
    /// epoch.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// Returns the fencing token for actions on the VM.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the wave that last maintained the VM.
    pub fn maintained(&self) -> Option<&str> {
        self.maintained.as_deref()
    }
}

/// The rows of all VMs in one data hall.
///
/// A row that can't be parsed, because a newer version of the program wrote
/// it, hides only its own VM. It is kept unchanged when the document is
/// written again.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hall {
    rows: Rows<Row>,
}

impl Hall {
    /// Returns the readable rows, with the names of their VMs.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &Row)> {
        self.rows.iter()
    }

    /// Returns the names of the VMs whose rows can't be read, each with the
    /// reason.
    pub fn unreadable(&self) -> impl Iterator<Item = (&str, &str)> {
        self.rows.unreadable()
    }

    /// Returns whether a VM has a row that can't be read.
    pub fn has_unreadable(&self, vm: &str) -> bool {
        self.rows.has_unreadable(vm)
    }

    /// Returns one VM's row.
    pub fn row(&self, vm: &str) -> Option<&Row> {
        self.rows.get(vm)
    }

    /// Creates or updates a VM's row from a listing; returns whether anything
    /// changed.
    ///
    /// The row of a VM that can't be read is never changed.
    pub fn apply_listing(&mut self, listing: &Listing) -> bool {
        let empty_row = || Row {
            hall: String::new(),
            rack: String::new(),
            worker_address: String::new(),
            cpu_millis: 0,
            memory_mb: 0,
            pool: None,
            state: VmState::Free,
            since_ms: 0,
            epoch: 0,
            maintained: None,
        };
        let Some(row) = self.rows.entry(&listing.name, empty_row) else {
            return false;
        };
        let before = row.clone();
        row.hall.clone_from(&listing.hall);
        row.rack.clone_from(&listing.rack);
        row.worker_address.clone_from(&listing.worker_address);
        row.cpu_millis = listing.cpu_millis;
        row.memory_mb = listing.memory_mb;
        *row != before
    }

    /// Adds a free VM to a pool, or removes a drained VM from its pool.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFree`] when a VM that is to join a pool isn't free,
    /// and [`Error::Refused`] when it can't leave its pool in its state.
    pub fn assign(
        &mut self,
        vm: &str,
        pool: Option<&str>,
        now_ms: u64,
    ) -> Result<(), Error> {
        let state = self.row_mut(vm)?.state;
        match pool {
            Some(pool) if state == VmState::Free => {
                self.handle(vm, "join", now_ms)?;
                self.row_mut(vm)?.pool = Some(pool.to_owned());
                Ok(())
            }
            None => {
                self.handle(vm, "leave", now_ms)?;
                self.row_mut(vm)?.pool = None;
                Ok(())
            }
            Some(_) => Err(Error::NotFree { name: vm.to_owned(), state }),
        }
    }

    /// Applies an event of the chart `vm` to a VM and raises its epoch.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when the chart refuses the event in the
    /// VM's state.
    pub fn handle(
        &mut self,
        vm: &str,
        event: &str,
        now_ms: u64,
    ) -> Result<(), Error> {
        let row = self.row_mut(vm)?;
        let next = Chart::vm().next(row.state.as_str(), event).map_err(
            |refusal| Error::Refused { name: vm.to_owned(), refusal },
        )?;
        let state = VmState::ALL.into_iter().find(|s| s.as_str() == next);
        // OK because a test compares the chart's states with `ALL`.
        row.state = state.expect("the chart names only known states");
        row.since_ms = now_ms;
        row.epoch += 1;
        Ok(())
    }

    /// Records that a wave has maintained the VM.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unlisted`] for a VM of another hall.
    pub fn mark_maintained(
        &mut self,
        vm: &str,
        wave: &str,
    ) -> Result<(), Error> {
        self.row_mut(vm)?.maintained = Some(wave.to_owned());
        Ok(())
    }

    fn row_mut(&mut self, vm: &str) -> Result<&mut Row, Error> {
        self.rows.get_mut(vm).ok_or_else(|| Error::Unlisted(vm.to_owned()))
    }
}
