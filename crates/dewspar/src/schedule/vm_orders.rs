/*!
Orders to the VM service, and which VMs may be ordered to change.

The VM service doesn't fence these orders. So a holder records which VMs it
orders to change before it sends the orders, and its successor doesn't touch
those until orders of the two holders can no longer conflict.

The record names the process that sent each order, and the order's age when the
record was written. The order is at least that old when another node takes
over, which shortens the wait by that much. Orders of an earlier process on the
holder's own node need no wait: that process is gone, and orders of one node
don't conflict.
*/

use {
    crate::{
        fields::{UnknownFields, WithUnknownFields},
        schedule::{Now, Scheduler, VmOrder},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The process of a node that issued an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderIssuer {
    /// The node's name.
    pub node: String,
    /// The number of the process; it changes with each restart.
    pub incarnation: u64,
}

impl OrderIssuer {
    /// Returns whether this is another process of the same node, and so an
    /// earlier one.
    fn is_former_process_of(&self, other: &OrderIssuer) -> bool {
        self.node == other.node && self.incarnation != other.incarnation
    }
}

/// A recently ordered change of a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecentVmOrder {
    /// The process that ordered it, with fields of a newer version.
    pub by: WithUnknownFields<OrderIssuer>,
    /// The age of the order when this was written, in milliseconds.
    pub age_ms: u64,
    /// The fields of a newer version.
    pub other: UnknownFields,
}

/// A change that a former holder ordered recently.
#[derive(Clone, Debug)]
pub(super) struct InheritedOrder {
    by: WithUnknownFields<OrderIssuer>,
    /// The time until which no change of the VM is ordered.
    until_ms: u64,
    other: UnknownFields,
}

/// The VMs with recently ordered changes, and the processes that ordered them.
///
/// It is written with each burst of orders and may hold hundreds of VMs,
/// nearly all ordered by one process. So each process is named once for all of
/// its VMs, which takes some 20 bytes per VM instead of 85: with 20 writes a
/// second of 500 VMs, the record took 1.2 MB/s of the holder's link.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "Vec<OrdersByIssuer>", into = "Vec<OrdersByIssuer>")]
pub struct OrderedVms(BTreeMap<String, RecentVmOrder>);

/// The serialized form of the orders of one process.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct OrdersByIssuer {
    by: WithUnknownFields<OrderIssuer>,
    /// The age of the order for each VM, in milliseconds.
    ages_ms: BTreeMap<String, u64>,
    #[serde(flatten)]
    other: UnknownFields,
}

impl OrdersByIssuer {
    /// Returns whether an order belongs to this group.
    fn includes(&self, order: &RecentVmOrder) -> bool {
        self.by == order.by && self.other == order.other
    }
}

impl From<OrderedVms> for Vec<OrdersByIssuer> {
    fn from(vms: OrderedVms) -> Vec<OrdersByIssuer> {
        let mut orders: Vec<OrdersByIssuer> = Vec::new();
        for (vm, order) in vms.0 {
            match orders.iter_mut().find(|orders| orders.includes(&order)) {
                Some(orders) => {
                    orders.ages_ms.insert(vm, order.age_ms);
                }
                None => {
                    let RecentVmOrder { by, age_ms, other } = order;
                    let ages_ms = BTreeMap::from([(vm, age_ms)]);
                    orders.push(OrdersByIssuer { by, ages_ms, other });
                }
            }
        }
        orders
    }
}

impl From<Vec<OrdersByIssuer>> for OrderedVms {
    fn from(orders: Vec<OrdersByIssuer>) -> OrderedVms {
        let mut vms = BTreeMap::new();
        for OrdersByIssuer { by, ages_ms, other } in orders {
            for (vm, age_ms) in ages_ms {
                let (by, other) = (by.clone(), other.clone());
                vms.insert(vm, RecentVmOrder { by, age_ms, other });
            }
        }
        OrderedVms(vms)
    }
}

impl OrderedVms {
    /// Returns the names of the VMs.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Scheduler {
    /// Returns the orders to send to the VM service now.
    ///
    /// Call it only while the lease is certainly held: these orders are
    /// carried out whoever sends them.
    pub fn plan_vms(&mut self, now: Now) -> Vec<VmOrder> {
        let mut orders = Vec::new();
        let blocker = self.vm_order_blocker(now);
        self.report_waves(blocker, now);
        if blocker.is_some() {
            // Evicting tasks from workers that are about to end requires no
            // order to the VM service.
            if self.knows_all_runs() && !self.may_be_superseded() {
                self.drain_workers(now);
            }
            return orders;
        }
        self.update_down_halls();
        self.measure_pools(now);
        self.plan_maintenance(now, &mut orders);
        self.size_pools(now, &mut orders);
        self.drain_workers(now);
        for order in &orders {
            if let VmOrder::Maintain { vm, .. } | VmOrder::Move { vm, .. } =
                order
            {
                self.ordered_vms.insert(vm.clone(), now.steady_ms);
            }
        }
        orders
    }

    /// Returns why no orders are sent to the VM service, if there is a reason.
    fn vm_order_blocker(&self, now: Now) -> Option<&'static str> {
        let newest = self.vms_asked_ms + self.options.vm_list_age_ms;
        if self.may_be_superseded() {
            return Some("a worker has seen a newer holder");
        }
        // An outdated list may be wrong.
        if now.steady_ms > newest {
            return Some("the list of VMs is outdated");
        }
        if !self.knows_all_runs() {
            return Some("what runs isn't known");
        }
        None
    }

    /// Returns the VMs with changes that were ordered recently, by `holder` or
    /// before it; the next holder must not touch them at first.
    pub fn ordered_vms(
        &mut self,
        now: Now,
        holder: &OrderIssuer,
    ) -> OrderedVms {
        let gap_ms = self.options.duty_gap_ms;
        self.ordered_vms.retain(|_, at| now.steady_ms <= *at + gap_ms);
        self.inherited_orders
            .retain(|_, order| now.steady_ms < order.until_ms);
        let inherited = self.inherited_orders.iter().map(|(vm, order)| {
            let InheritedOrder { by, until_ms, other } = order.clone();
            let left_ms = until_ms.saturating_sub(now.steady_ms);
            let age_ms = gap_ms.saturating_sub(left_ms);
            (vm.clone(), RecentVmOrder { by, age_ms, other })
        });
        let own = self.ordered_vms.iter().map(|(vm, ordered_ms)| {
            let age_ms = now.steady_ms.saturating_sub(*ordered_ms);
            let (record, other) = (holder.clone(), UnknownFields::default());
            let by = WithUnknownFields { record, other: other.clone() };
            (vm.clone(), RecentVmOrder { by, age_ms, other })
        });
        OrderedVms(inherited.chain(own).collect())
    }

    /// Orders no changes of these VMs for a while, because a former holder
    /// ordered some recently; `None` stands for all VMs.
    ///
    /// VMs that an earlier process of `holder`'s node ordered aren't
    /// restricted.
    pub fn hold_off_vm_orders(
        &mut self,
        now: Now,
        holder: &OrderIssuer,
        vms: Option<OrderedVms>,
    ) {
        let gap_ms = self.options.duty_gap_ms;
        let Some(vms) = vms else {
            self.all_vm_orders_from_ms = now.steady_ms + gap_ms;
            return;
        };
        for (vm, RecentVmOrder { by, age_ms, other }) in vms.0 {
            if by.record.is_former_process_of(holder) || age_ms >= gap_ms {
                continue;
            }
            let until_ms = now.steady_ms + gap_ms - age_ms;
            self.vm_orders_from_ms.insert(vm.clone(), until_ms);
            let order = InheritedOrder { by, until_ms, other };
            self.inherited_orders.insert(vm, order);
        }
    }

    /// Returns whether a former holder recently ordered a change of a VM.
    pub(super) fn was_ordered_by_former(&self, vm: &str, now: Now) -> bool {
        let inherited = self.inherited_orders.get(vm);
        inherited.is_some_and(|order| now.steady_ms < order.until_ms)
    }

    /// Returns whether changes of a VM may be ordered.
    pub(super) fn may_order_vm(&self, vm: &str, now: Now) -> bool {
        let from_ms = self.vm_orders_from_ms.get(vm).copied().unwrap_or(0);
        now.steady_ms >= from_ms.max(self.all_vm_orders_from_ms)
    }
}
