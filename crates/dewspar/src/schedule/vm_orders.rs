/*!
Orders to the VM service, and which VMs may be ordered at all.

These orders aren't fenced where they are carried out. So a holder records of
which VMs it orders changes before it does, and its successor leaves those
alone until two holders can't be taken to quarrel over one.

The record names the process that ordered each, and how long before the record
was written. The order is at least that old when another node takes over, so
that much less is to be waited. What an earlier process of
the holder's own node ordered needn't wait: that process is gone, and orders
of one node are no quarrel.
*/

use {
    crate::{
        fields::{OtherFields, WithOthers},
        schedule::{Now, Scheduler, VmOrder},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A process of a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderIssuer {
    /// The node's name.
    pub node: String,
    /// The process; a restarted one has another number.
    pub incarnation: u64,
}

impl OrderIssuer {
    /// Returns whether this is an earlier process of the same node.
    fn is_former_process_of(&self, other: &OrderIssuer) -> bool {
        self.node == other.node && self.incarnation != other.incarnation
    }
}

/// A change of a VM that was ordered of late.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecentVmOrder {
    /// Who ordered it, and what else a newer version has said of that process.
    pub by: WithOthers<OrderIssuer>,
    /// How long before this was written, in milliseconds.
    pub age_ms: u64,
    /// What else a newer version has said of it.
    pub other: OtherFields,
}

/// A change that a former holder ordered of late.
#[derive(Clone, Debug)]
pub(super) struct InheritedOrder {
    by: WithOthers<OrderIssuer>,
    /// Until when the VM is left alone.
    until_ms: u64,
    other: OtherFields,
}

/// The VMs of which changes were ordered of late, and by whom.
///
/// It is written with each burst of orders, and hundreds of VMs may be in it,
/// nearly all ordered by one process. So that is named once for all of them,
/// which takes some 20 bytes a VM instead of 85: at 20 writes a second of 500
/// VMs the record took 1.2 MB/s of the holder's link.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "Vec<OrdersByIssuer>", into = "Vec<OrdersByIssuer>")]
pub struct OrderedVms(BTreeMap<String, RecentVmOrder>);

/// The written form of what one process ordered.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct OrdersByIssuer {
    by: WithOthers<OrderIssuer>,
    /// How long ago each VM was ordered, in milliseconds.
    ages_ms: BTreeMap<String, u64>,
    #[serde(flatten)]
    other: OtherFields,
}

impl OrdersByIssuer {
    /// Returns whether an order is of these.
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
    /// Returns the VMs' names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Scheduler {
    /// Returns what is to be ordered of the VM service now.
    ///
    /// Call it only while the lease is certainly held: these orders are
    /// carried out whoever sends them.
    pub fn plan_vms(&mut self, now: Now) -> Vec<VmOrder> {
        let mut orders = Vec::new();
        let vm_order_blocker = self.vm_order_blocker(now);
        self.report_waves(vm_order_blocker, now);
        if vm_order_blocker.is_some() {
            // What leaves workers that are about to end needs no order to the
            // VM service.
            if self.knows_all_runs() && !self.may_be_superseded() {
                self.drain_workers(now);
            }
            return orders;
        }
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

    /// Returns why nothing is ordered of the VM service, if so.
    fn vm_order_blocker(&self, now: Now) -> Option<&'static str> {
        let newest = self.vms_asked_ms + self.options.vm_list_age_ms;
        if self.may_be_superseded() {
            return Some("a worker has seen a newer holder");
        }
        // What the list said long ago isn't so any more.
        if now.steady_ms > newest {
            return Some("the list of VMs is outdated");
        }
        if !self.knows_all_runs() {
            return Some("what runs isn't known");
        }
        None
    }

    /// Returns the VMs of which changes were ordered a short while ago, by
    /// `holder` or before it; the next holder must leave them alone at first.
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
            let (record, other) = (holder.clone(), OtherFields::default());
            let by = WithOthers { record, other: other.clone() };
            (vm.clone(), RecentVmOrder { by, age_ms, other })
        });
        OrderedVms(inherited.chain(own).collect())
    }

    /// Orders nothing of these VMs for a while, because a former holder
    /// just has; `None` stands for all.
    ///
    /// Those that an earlier process of `holder`'s node ordered are free.
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

    /// Returns whether a former holder ordered a change of a VM of late.
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
