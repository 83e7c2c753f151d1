/*!
A data hall's document: its VMs as the platform lists them.
*/

use {
    super::{
        controller::Controller,
        documents::{Update, Verdict},
    },
    crate::{clock, counters, view::View},
    dewspar::fleet::{Hall, Listing, VmState},
    dewspar_platform::{Error, KeyValue, Workers},
    std::collections::{BTreeMap, BTreeSet},
};

impl<K: KeyValue, W: Workers> Controller<K, W> {
    /// Brings each hall's rows up to the list, where this node is first.
    pub(super) async fn step_halls(
        &mut self,
        view: &View,
    ) -> Result<(), Error> {
        let list = &view.listed;
        if list.number == 0 {
            return Ok(());
        }
        let mut by_hall: BTreeMap<&str, Vec<&Listing>> = BTreeMap::new();
        for listing in &list.vms {
            by_hall.entry(listing.hall()).or_default().push(listing);
        }
        let halls: BTreeSet<&str> = by_hall
            .keys()
            .copied()
            .chain(view.halls.keys().map(String::as_str))
            .collect();
        for hall in halls {
            if !self.is_first(&format!("hall/{hall}")) {
                continue;
            }
            let listed =
                by_hall.get(hall).map(Vec::as_slice).unwrap_or_default();
            let now_ms = clock::unix_ms();
            let decide = |document: &mut Hall| {
                let mut changed = take_over(document, listed);
                // One whose row of the list can't be read isn't gone.
                if !list.is_partial {
                    changed |= lose_unlisted(document, listed, now_ms);
                }
                Verdict::from(changed)
            };
            let update =
                self.documents.update_hall(view, hall, decide).await?;
            if update == Update::Written {
                counters::count_by(counters::FLEET_STEPS, "step", "list");
            }
        }
        Ok(())
    }

    /// Moves one VM by an event of its chart.
    ///
    /// Returns whether the document was written.
    pub(super) async fn move_vm(
        &mut self,
        view: &View,
        vm: &str,
        event: &'static str,
    ) -> Result<bool, Error> {
        self.change_vm(view, vm, event, |hall, now_ms| {
            hall.handle(vm, event, now_ms).is_ok()
        })
        .await
    }

    /// Changes one VM's row as `change` decides.
    ///
    /// Returns whether the document was written.
    pub(super) async fn change_vm(
        &mut self,
        view: &View,
        vm: &str,
        step: &'static str,
        change: impl Fn(&mut Hall, u64) -> bool,
    ) -> Result<bool, Error> {
        let Some(row) = view.row(vm) else { return Ok(false) };
        let epoch = row.epoch();
        let now_ms = clock::unix_ms();
        let decide = |hall: &mut Hall| {
            // Another node may have moved the VM meanwhile.
            let same = hall.row(vm).is_some_and(|row| row.epoch() == epoch);
            Verdict::from(same && change(hall, now_ms))
        };
        let update =
            self.documents.update_hall(view, row.hall(), decide).await?;
        let written = update == Update::Written;
        if written {
            counters::count_by(counters::FLEET_STEPS, "step", step);
            slog::info!(self.log, "fleet: VM stepped"; "vm" => vm, "step" => step);
        }
        Ok(written)
    }
}

/// Takes over a list; returns whether any row changed.
fn take_over(hall: &mut Hall, listed: &[&Listing]) -> bool {
    let mut changed = false;
    for listing in listed {
        changed |= hall.apply_listing(listing);
    }
    changed
}

/// Counts VMs as lost that are no longer listed; returns whether any was.
fn lose_unlisted(hall: &mut Hall, listed: &[&Listing], now_ms: u64) -> bool {
    let mut changed = false;
    let names: BTreeSet<&str> =
        listed.iter().map(|listing| listing.name()).collect();
    let gone: Vec<String> = hall
        .rows()
        .filter(|(vm, row)| {
            let free_or_lost =
                matches!(row.state(), VmState::Free | VmState::Lost);
            !names.contains(vm) && !free_or_lost
        })
        .map(|(vm, _)| vm.to_owned())
        .collect();
    for vm in gone {
        changed |= hall.handle(&vm, "lose", now_ms).is_ok();
    }
    changed
}
