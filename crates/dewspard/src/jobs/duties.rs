/*!
Orders to the VM service: maintenance, moves, and telling the operator.
*/

use {
    super::{holder::Event, keys},
    crate::counters,
    dewspar::schedule::{VmOrder, VmOrderError},
    dewspar_platform::{
        Batch, Error, Expected, Fleet, KeyValue, VmChange,
    },
    slog::{Logger, info, warn},
    std::collections::{BTreeMap, BTreeSet},
    tokio::sync::mpsc,
};

/// Sends an order and reports its result as an event.
pub(super) fn send<F: Fleet>(
    fleet: &F,
    holder: &str,
    fence: u64,
    order: VmOrder,
    events: &mpsc::Sender<Event>,
    log: &Logger,
) {
    let fleet = fleet.clone();
    let events = events.clone();
    let holder = holder.to_owned();
    let log = log.clone();
    tokio::spawn(async move {
        let change = |vm: &str| VmChange {
            vm: vm.to_owned(),
            holder: holder.clone(),
            fence,
        };
        let event = match order {
            VmOrder::Maintain { vm, wave } => {
                let result = fleet.maintain(&change(&vm), wave).await;
                record(&log, "maintain", &vm, &wave.to_string(), &result);
                Event::Maintained { vm, wave, result }
            }
            VmOrder::Move { vm, pool } => {
                let result = fleet.move_to(&change(&vm), &pool).await;
                record(&log, "move", &vm, &pool, &result);
                Event::Moved { vm, pool, result }
            }
            VmOrder::ReportCompleted { wave } => {
                match fleet.report_wave(wave, true).await {
                    Ok(()) => {
                        info!(log, "wave: completed"; "wave" => wave);
                        return;
                    }
                    Err(error) => {
                        counters::platform_failure(&error);
                        Event::ReportFailed { wave }
                    }
                }
            }
        };
        // A holder that is gone has no use for it.
        let _ = events.send(event).await;
    });
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

/// Reads which VMs earlier holders have maintained, wave by wave.
pub(super) async fn load_done<K: KeyValue>(
    store: &K,
    log: &Logger,
) -> Result<BTreeMap<u64, BTreeSet<String>>, Error> {
    let (_, stored) = store.list(keys::WAVES).await?;
    let mut done = BTreeMap::new();
    for item in &stored {
        let Some(wave) = keys::wave_of(&item.key) else { continue };
        match serde_json::from_slice(&item.value) {
            Ok(vms) => {
                done.insert(wave, vms);
            }
            Err(error) => warn!(log, "wave: stored state can't be read";
                "wave" => wave, "error" => %error),
        }
    }
    Ok(done)
}

/// The write that records which VMs of a wave are done.
pub(super) fn done_batch(
    lease_revision: u64,
    wave: u64,
    done: &BTreeSet<String>,
) -> Batch {
    // OK because a list of texts can always be written.
    let value = serde_json::to_vec(done).expect("plain JSON");
    Batch::default()
        .when(keys::OWNER, Expected::Version(lease_revision))
        .put(&keys::wave(wave), value)
}
