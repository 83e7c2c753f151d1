/*!
Orders to the VM service, and which VMs may be ordered at all.

These orders aren't fenced where they are carried out. So a holder records of
which VMs it orders changes before it does, and its successor leaves those
alone until two holders can't be taken to quarrel over one.
*/

use {
    crate::schedule::{Now, Scheduler, VmOrder},
    std::collections::BTreeSet,
};

impl Scheduler {
    /// Returns what is to be ordered of the VM service now.
    ///
    /// Call it only while the lease is certainly held: these orders are
    /// carried out whoever sends them.
    pub fn plan_vms(&mut self, now: Now) -> Vec<VmOrder> {
        let mut orders = Vec::new();
        let newest = self.vms_asked_ms + self.options.vm_list_age_ms;
        // What the list said long ago isn't so any more.
        if self.superseded || now.steady_ms > newest {
            return orders;
        }
        self.measure_pools(now);
        self.maintain(now, &mut orders);
        self.size_pools(now, &mut orders);
        self.empty_workers(now);
        for order in &orders {
            if let VmOrder::Maintain { vm, .. } | VmOrder::Move { vm, .. } =
                order
            {
                self.ordered_vms.insert(vm.clone(), now.steady_ms);
            }
        }
        orders
    }

    /// Returns the VMs of which changes were ordered a short while ago; the
    /// next holder must leave them alone at first.
    pub fn ordered_vms(&mut self, now: Now) -> BTreeSet<&str> {
        let gap_ms = self.options.duty_gap_ms;
        self.ordered_vms.retain(|_, at| now.steady_ms <= *at + gap_ms);
        self.ordered_vms.keys().map(String::as_str).collect()
    }

    /// Orders nothing of these VMs for a while, because a former holder
    /// just has; `None` stands for all.
    pub fn leave_vms_alone(
        &mut self,
        now: Now,
        vms: Option<BTreeSet<String>>,
    ) {
        let until_ms = now.steady_ms + self.options.duty_gap_ms;
        match vms {
            None => self.all_vms_from_ms = until_ms,
            Some(vms) => {
                let untils = vms.into_iter().map(|vm| (vm, until_ms));
                self.vms_from_ms.extend(untils);
            }
        }
    }

    /// Returns whether changes of a VM may be ordered.
    pub(super) fn may_order(&self, vm: &str, now: Now) -> bool {
        let from_ms = self.vms_from_ms.get(vm).copied().unwrap_or(0);
        now.steady_ms >= from_ms.max(self.all_vms_from_ms)
    }
}
