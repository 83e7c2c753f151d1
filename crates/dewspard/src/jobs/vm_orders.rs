/*!
Orders to the VM service: maintenance, moves, and telling the operator.
*/

use {
    super::{
        event::{Event, EventSender},
        keys,
        records::{find_version, record_written},
    },
    crate::{
        clock::{self, Suspensions},
        counters, passed_over,
    },
    dewspar::{
        fields::{OtherFields, WithOthers},
        record::RecordWritten,
        schedule::{OrderedVms, VmOrder, VmOrderError, WaveRecord},
    },
    dewspar_platform::{
        Batch, Commit, Error, Expected, Fleet, KeyValue, VmChange,
    },
    slog::{Logger, info, warn},
    std::collections::BTreeMap,
};

/// Orders to send, once they are on record.
pub(super) struct VmOrderBatch {
    /// The node that sends them.
    pub(super) holder: String,
    /// Their fencing token.
    pub(super) fence: u64,
    pub(super) orders: Vec<VmOrder>,
    /// What was known of suspensions when they were planned.
    pub(super) suspensions: Suspensions,
    /// Of which VMs changes are ordered by now.
    pub(super) vms: OrderedVms,
    /// The version of the last such record; 0 for none.
    pub(super) record_version: u64,
}

/// Records orders and sends them; results come back as events.
///
/// The record tells the next holder which VMs to leave alone for a while,
/// and its condition shows that this node still holds the lease.
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
        let recorded =
            matches!(event, Event::VmOrdersWritten(RecordWritten::Done(_)));
        let lease_gone = matches!(event, Event::LeaseLost);
        // A holder that is gone has no use for it.
        if events.send(event).await.is_err() || lease_gone {
            return;
        }
        for order in order_batch.orders {
            let context = OrderContext {
                holder: order_batch.holder.clone(),
                fence: order_batch.fence,
                recorded,
                suspensions: order_batch.suspensions,
            };
            let sending =
                send_order(fleet.clone(), context, order, log.clone());
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

/// How often a record of orders is written anew that was found changed: once
/// for a write of this holder whose answer was lost, and once more in case
/// that is done just then.
const MAX_RECORD_ATTEMPTS: u32 = 3;

/// What became of recording orders.
enum RecordResult {
    Answered(RecordWritten),
    /// Another node holds the lease, or may.
    LeaseLost,
}

/// Records orders before they are sent.
///
/// Depends on the record's version as well as on the lease: an older record
/// that is done late must not replace this one.
async fn record_orders<K: KeyValue>(
    store: &K,
    order_batch: &VmOrderBatch,
    log: &Logger,
) -> RecordResult {
    let mut written =
        RecordWritten::Conflict { version: order_batch.record_version };
    for _ in 0..MAX_RECORD_ATTEMPTS {
        let RecordWritten::Conflict { version } = written else { break };
        let batch =
            vm_orders_batch(order_batch.fence, version, &order_batch.vms);
        let answer = store.commit(&batch).await;
        match &answer {
            Ok(Commit::Done(_)) => {}
            Ok(Commit::Conflict(found)) => {
                if find_version(found, keys::OWNER) != order_batch.fence {
                    return RecordResult::LeaseLost;
                }
                info!(log, "vm: record of orders was another";
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

/// Who orders a change to a VM.
struct OrderContext {
    holder: String,
    fence: u64,
    recorded: bool,
    suspensions: Suspensions,
}

impl OrderContext {
    /// Returns whether the order may go out: it is on record, and this VM
    /// wasn't suspended since it was planned. After that another node may hold
    /// the lease, and the VM service refuses the order only where it has heard
    /// of that one.
    fn may_be_sent(&self) -> bool {
        let mut suspensions = self.suspensions;
        let suspended_ms = clock::suspended_ms();
        self.recorded && suspensions.noticed_ms(suspended_ms).is_none()
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

/// What earlier holders kept of the waves.
#[derive(Debug, Default)]
pub(super) struct LoadedWaves {
    pub(super) records: BTreeMap<u64, WaveRecord>,
    /// What else newer versions have kept of them.
    pub(super) other: BTreeMap<u64, OtherFields>,
    /// The version of each record, also of one that can't be read.
    pub(super) versions: BTreeMap<u64, u64>,
}

/// Reads what earlier holders kept of each wave.
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
            Ok(WithOthers { record, other }) => {
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

/// Of which VMs the former holder had ordered changes when it last did.
#[derive(Debug)]
pub(super) struct LoadedVmOrders {
    /// `None` where that can't be known.
    pub(super) vms: Option<OrderedVms>,
    /// The version of the record; 0 for none.
    pub(super) version: u64,
}

/// Reads of which VMs the former holder had ordered changes when it last did.
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

/// The write that records of which VMs changes are ordered.
fn vm_orders_batch(
    lease_revision: u64,
    version: u64,
    vms: &OrderedVms,
) -> Batch {
    // OK because texts and numbers can always be written.
    let value = serde_json::to_vec(vms).expect("plain JSON");
    Batch::default()
        .when(keys::OWNER, Expected::Version(lease_revision))
        .when(keys::VM_ORDERS, Expected::from_version(version))
        .put(keys::VM_ORDERS, value)
}

/// The write that records how far a wave has come.
pub(super) fn wave_batch(
    lease_revision: u64,
    wave: u64,
    version: u64,
    record: &WithOthers<&WaveRecord>,
) -> Batch {
    // OK because a number and texts can always be written.
    let value = serde_json::to_vec(record).expect("plain JSON");
    Batch::default()
        .when(keys::OWNER, Expected::Version(lease_revision))
        .when(&keys::wave(wave), Expected::from_version(version))
        .put(&keys::wave(wave), value)
}
