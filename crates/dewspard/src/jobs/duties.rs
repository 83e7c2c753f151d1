/*!
Orders to the VM service: maintenance, moves, and telling the operator.
*/

use {
    super::{
        event::{Event, EventSender},
        keys,
    },
    crate::{counters, passed_over},
    dewspar::schedule::{OrderedVms, VmOrder, VmOrderError, WaveRecord},
    dewspar_platform::{
        Batch, Commit, Error, Expected, Fleet, KeyValue, VmChange,
    },
    slog::{Logger, info, warn},
    std::collections::BTreeMap,
};

/// Orders to send, once they are on record.
pub(super) struct Burst {
    /// The node that sends them.
    pub(super) holder: String,
    /// Their fencing token.
    pub(super) fence: u64,
    pub(super) orders: Vec<VmOrder>,
    /// The write that records which VMs they are for.
    pub(super) record: Batch,
}

/// Records orders and sends them; results come back as events.
///
/// The record tells the next holder which VMs to leave alone for a while,
/// and its condition shows that this node still holds the lease.
pub(super) fn send<K: KeyValue, F: Fleet>(
    store: &K,
    fleet: &F,
    burst: Burst,
    events: &EventSender,
    log: &Logger,
) {
    let (store, fleet) = (store.clone(), fleet.clone());
    let (events, log) = (events.clone(), log.clone());
    tokio::spawn(async move {
        let recorded = match store.commit(&burst.record).await {
            Ok(Commit::Done(_)) => true,
            Ok(Commit::Conflict(_)) => {
                let _ = events.send(Event::LeaseGone).await;
                return;
            }
            Err(error) => {
                counters::platform_failure(&error);
                false
            }
        };
        for order in burst.orders {
            let change = Change {
                holder: burst.holder.clone(),
                fence: burst.fence,
                recorded,
            };
            let sending = send_one(fleet.clone(), change, order, log.clone());
            let events = events.clone();
            tokio::spawn(async move {
                if let Some(event) = sending.await {
                    // A holder that is gone has no use for it.
                    let _ = events.send(event).await;
                }
            });
        }
    });
}

/// Who orders a change to a VM.
struct Change {
    holder: String,
    fence: u64,
    recorded: bool,
}

impl Change {
    fn of(&self, vm: &str) -> VmChange {
        VmChange {
            vm: vm.to_owned(),
            holder: self.holder.clone(),
            fence: self.fence,
        }
    }
}

async fn send_one<F: Fleet>(
    fleet: F,
    change: Change,
    order: VmOrder,
    log: Logger,
) -> Option<Event> {
    match order {
        VmOrder::Maintain { vm, wave } => {
            let result = if change.recorded {
                fleet.maintain(&change.of(&vm), wave).await
            } else {
                Err(VmOrderError::NotDone)
            };
            record(&log, "maintain", &vm, &wave.to_string(), &result);
            Some(Event::Maintained { vm, wave, result })
        }
        VmOrder::Move { vm, pool } => {
            let result = if change.recorded {
                fleet.move_to(&change.of(&vm), &pool).await
            } else {
                Err(VmOrderError::NotDone)
            };
            record(&log, "move", &vm, &pool, &result);
            Some(Event::Moved { vm, pool, result })
        }
        VmOrder::ReportRunning { wave } => {
            match fleet.report_wave(wave, false).await {
                Ok(()) => info!(log, "wave: running"; "wave" => wave),
                // Not worth another try: it is reported when it completes.
                Err(error) => {
                    counters::platform_failure(&error);
                    warn!(log, "wave: not reported as running";
                        "wave" => wave, "error" => %error);
                }
            }
            None
        }
        VmOrder::ReportCompleted { wave } => {
            match fleet.report_wave(wave, true).await {
                Ok(()) => {
                    info!(log, "wave: completed"; "wave" => wave);
                    None
                }
                Err(error) => {
                    counters::platform_failure(&error);
                    Some(Event::ReportFailed { wave })
                }
            }
        }
    }
}

fn record(
    log: &Logger,
    order: &'static str,
    vm: &str,
    to: &str,
    result: &Result<(), VmOrderError>,
) {
    match result {
        Ok(()) => info!(log, "vm: ordered"; "order" => order, "vm" => vm,
            "to" => to),
        Err(error) => warn!(log, "vm: order gave no result";
            "order" => order, "vm" => vm, "to" => to, "reason" => %error),
    }
    counters::count_by(counters::FLEET_STEPS, "step", order);
}

/// Reads what earlier holders kept of each wave.
pub(super) async fn load_waves<K: KeyValue>(
    store: &K,
    log: &Logger,
) -> Result<BTreeMap<u64, WaveRecord>, Error> {
    let (_, stored) = store.list(keys::WAVES).await?;
    let mut records = BTreeMap::new();
    for item in &stored {
        let Some(wave) = keys::wave_of(&item.key) else { continue };
        match serde_json::from_slice(&item.value) {
            Ok(record) => {
                records.insert(wave, record);
            }
            Err(error) => {
                let (key, version) = (&item.key, item.version);
                passed_over::record(
                    log,
                    "wave's record",
                    key,
                    version,
                    &error,
                );
            }
        }
    }
    Ok(records)
}

/// Reads which VMs the former holder had ordered changes of when it last
/// did; `None` where that can't be known.
pub(super) async fn load_ordered<K: KeyValue>(
    store: &K,
    log: &Logger,
) -> Result<Option<OrderedVms>, Error> {
    let Some(found) = store.get(keys::VM_ORDERS).await? else {
        return Ok(Some(OrderedVms::default()));
    };
    match serde_json::from_slice(&found.value) {
        Ok(vms) => Ok(Some(vms)),
        Err(error) => {
            let (key, version) = (&found.key, found.version);
            passed_over::record(log, "orders of VMs", key, version, &error);
            Ok(None)
        }
    }
}

/// The write that records of which VMs changes are ordered.
pub(super) fn ordered_batch(lease_revision: u64, vms: &OrderedVms) -> Batch {
    // OK because texts and numbers can always be written.
    let value = serde_json::to_vec(vms).expect("plain JSON");
    Batch::default()
        .when(keys::OWNER, Expected::Version(lease_revision))
        .put(keys::VM_ORDERS, value)
}

/// The write that records how far a wave has come.
pub(super) fn wave_batch(
    lease_revision: u64,
    wave: u64,
    record: &WaveRecord,
) -> Batch {
    // OK because a number and texts can always be written.
    let value = serde_json::to_vec(record).expect("plain JSON");
    Batch::default()
        .when(keys::OWNER, Expected::Version(lease_revision))
        .put(&keys::wave(wave), value)
}
