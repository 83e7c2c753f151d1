/*!
Orders to the VM service: maintenance, moves between pools, and reports of
waves to the operator.
*/

use {
    super::{
        event::{Event, EventSender},
        keys,
        records::{find_version, record_written},
    },
    crate::{clock, counters, order_basis::OrderBasis, passed_over},
    dewspar::{
        fields::{UnknownFields, WithUnknownFields},
        record::RecordWriteOutcome,
        schedule::{OrderedVms, VmOrder, VmOrderError, WaveRecord},
    },
    dewspar_platform::{
        Batch, Commit, Error, Expected, Fleet, KeyValue, VmChange,
    },
    slog::{Logger, info, warn},
    std::collections::BTreeMap,
};

/// Orders that are sent once they are recorded.
pub(super) struct VmOrderBatch {
    /// The node that sends them.
    pub(super) holder: String,
    /// Their fencing token.
    pub(super) fence: u64,
    pub(super) orders: Vec<VmOrder>,
    /// What the orders are based on.
    pub(super) basis: OrderBasis,
    /// The VMs with recently ordered changes, including these.
    pub(super) vms: OrderedVms,
    /// The version of the current record; 0 if there is none.
    pub(super) record_version: u64,
}

/// Records orders and then sends them; results are reported as events.
///
/// The record tells the next holder which VMs to leave unchanged for a while.
/// Since its write is conditional on the lease, its success also shows that
/// this node still holds the lease.
pub(super) fn send<K: KeyValue, F: Fleet>(
    store: &K,
    fleet: &F,
    order_batch: VmOrderBatch,
    events: &EventSender,
    log: &Logger,
) {
    let (store, fleet) = (store.clone(), fleet.clone());
    let (events, log) = (events.clone(), log.clone());
    tokio::spawn(async move {
        let event = match record_orders(&store, &order_batch, &log).await {
            RecordResult::Answered(written) => Event::VmOrdersWritten(written),
            RecordResult::LeaseLost => Event::LeaseLost,
        };
        let recorded = matches!(
            event,
            Event::VmOrdersWritten(RecordWriteOutcome::Done(_))
        );
        let lease_lost = matches!(event, Event::LeaseLost);
        // If the holder has stopped, the event isn't needed.
        if events.send(event).await.is_err() || lease_lost {
            return;
        }
        for order in order_batch.orders {
            let context = OrderContext {
                holder: order_batch.holder.clone(),
                fence: order_batch.fence,
                recorded,
                basis: order_batch.basis,
            };
            let sending =
                send_order(fleet.clone(), context, order, log.clone());
            let events = events.clone();
            tokio::spawn(async move {
                if let Some(event) = sending.await {
                    // If the holder has stopped, the result isn't needed.
                    let _ = events.send(event).await;
                }
            });
        }
    });
}

/// The maximum number of attempts to write the record of orders. One retry
/// covers an earlier write of this holder whose answer was lost, another one a
/// write of that kind that takes effect only during the retry.
const MAX_RECORD_ATTEMPTS: u32 = 3;

/// The result of recording orders.
enum RecordResult {
    Answered(RecordWriteOutcome),
    /// Another node holds the lease, or may.
    LeaseLost,
}

/// Records orders before they are sent.
///
/// The write is conditional on the record's version as well as on the lease,
/// so that a delayed older write can't replace it.
async fn record_orders<K: KeyValue>(
    store: &K,
    order_batch: &VmOrderBatch,
    log: &Logger,
) -> RecordResult {
    let mut written =
        RecordWriteOutcome::Conflict { version: order_batch.record_version };
    for _ in 0..MAX_RECORD_ATTEMPTS {
        let RecordWriteOutcome::Conflict { version } = written else { break };
        let batch =
            vm_orders_batch(order_batch.fence, version, &order_batch.vms);
        let answer = store.commit(&batch).await;
        match &answer {
            Ok(Commit::Done(_)) => {}
            Ok(Commit::Conflict(found)) => {
                if find_version(found, keys::OWNER) != order_batch.fence {
                    return RecordResult::LeaseLost;
                }
                info!(log, "vm: record of orders conflicts";
                    "expected" => version,
                    "found" => find_version(found, keys::VM_ORDERS));
            }
            Err(error) => {
                counters::platform_failure(error);
                warn!(log, "vm: orders not recorded, and so not sent";
                    "orders" => order_batch.orders.len(), "error" => %error);
            }
        }
        written = record_written(&answer, keys::VM_ORDERS);
    }
    RecordResult::Answered(written)
}

/// The context in which a change to a VM is ordered.
struct OrderContext {
    holder: String,
    fence: u64,
    recorded: bool,
    basis: OrderBasis,
}

impl OrderContext {
    /// Returns whether the order may be sent: it is recorded and isn't
    /// outdated. The VM service refuses an outdated order only if it has
    /// already seen the token of another holder.
    fn may_be_sent(&self) -> bool {
        self.recorded && !self.basis.is_outdated(clock::read())
    }

    fn vm_change(&self, vm: &str) -> VmChange {
        VmChange {
            vm: vm.to_owned(),
            holder: self.holder.clone(),
            fence: self.fence,
        }
    }
}

async fn send_order<F: Fleet>(
    fleet: F,
    context: OrderContext,
    order: VmOrder,
    log: Logger,
) -> Option<Event> {
    match order {
        VmOrder::Maintain { vm, wave } => {
            let result = if context.may_be_sent() {
                fleet.maintain(&context.vm_change(&vm), wave).await
            } else {
                Err(VmOrderError::NotDone)
            };
            log_result(&log, "maintain", &vm, &wave.to_string(), &result);
            Some(Event::MaintenanceAnswered { vm, wave, result })
        }
        VmOrder::Move { vm, pool } => {
            let result = if context.may_be_sent() {
                fleet.move_to(&context.vm_change(&vm), &pool).await
            } else {
                Err(VmOrderError::NotDone)
            };
            log_result(&log, "move", &vm, &pool, &result);
            Some(Event::MoveAnswered { vm, pool, result })
        }
        VmOrder::ReportRunning { wave } => {
            match fleet.report_wave(wave, false).await {
                Ok(()) => info!(log, "wave: running"; "wave" => wave),
                // Not retried, because its completion is reported as well.
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
                    Some(Event::WaveReportFailed { wave })
                }
            }
        }
    }
}

fn log_result(
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

/// What former holders stored about the waves.
#[derive(Debug, Default)]
pub(super) struct LoadedWaves {
    pub(super) records: BTreeMap<u64, WaveRecord>,
    /// Unknown fields of the records, written by newer versions.
    pub(super) other: BTreeMap<u64, UnknownFields>,
    /// The version of each record, including unreadable ones.
    pub(super) versions: BTreeMap<u64, u64>,
}

/// Reads what former holders stored about each wave.
///
/// # Errors
///
/// An error of the store. Unreadable records are logged and skipped.
pub(super) async fn load_waves<K: KeyValue>(
    store: &K,
    log: &Logger,
) -> Result<LoadedWaves, Error> {
    let (_, stored) = store.list(keys::WAVES).await?;
    let mut waves = LoadedWaves::default();
    for item in &stored {
        let Some(wave) = keys::parse_wave(&item.key) else { continue };
        waves.versions.insert(wave, item.version);
        match serde_json::from_slice(&item.value) {
            Ok(WithUnknownFields { record, other }) => {
                waves.records.insert(wave, record);
                waves.other.insert(wave, other);
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
    Ok(waves)
}

/// The VMs of which the former holder had recently ordered changes.
#[derive(Debug)]
pub(super) struct LoadedVmOrders {
    /// `None` if the record can't be read.
    pub(super) vms: Option<OrderedVms>,
    /// The version of the record; 0 if there is none.
    pub(super) version: u64,
}

/// Reads the VMs of which the former holder had recently ordered changes.
///
/// # Errors
///
/// An error of the store.
pub(super) async fn load_vm_orders<K: KeyValue>(
    store: &K,
    log: &Logger,
) -> Result<LoadedVmOrders, Error> {
    let Some(found) = store.get(keys::VM_ORDERS).await? else {
        let vms = Some(OrderedVms::default());
        return Ok(LoadedVmOrders { vms, version: 0 });
    };
    let vms = match serde_json::from_slice(&found.value) {
        Ok(vms) => Some(vms),
        Err(error) => {
            let (key, version) = (&found.key, found.version);
            passed_over::record(log, "orders of VMs", key, version, &error);
            None
        }
    };
    Ok(LoadedVmOrders { vms, version: found.version })
}

/// Returns the write that records the VMs with ordered changes.
fn vm_orders_batch(
    lease_revision: u64,
    version: u64,
    vms: &OrderedVms,
) -> Batch {
    // OK because strings and numbers can always be serialized.
    let value = serde_json::to_vec(vms).expect("plain JSON");
    Batch::default()
        .when(keys::OWNER, Expected::Version(lease_revision))
        .when(keys::VM_ORDERS, Expected::from_version(version))
        .put(keys::VM_ORDERS, value)
}

/// Returns the write that records the state of a wave.
pub(super) fn wave_batch(
    lease_revision: u64,
    wave: u64,
    version: u64,
    record: &WithUnknownFields<&WaveRecord>,
) -> Batch {
    // OK because numbers and strings can always be serialized.
    let value = serde_json::to_vec(record).expect("plain JSON");
    Batch::default()
        .when(keys::OWNER, Expected::Version(lease_revision))
        .when(&keys::wave(wave), Expected::from_version(version))
        .put(&keys::wave(wave), value)
}
