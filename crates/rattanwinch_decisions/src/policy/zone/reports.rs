use std::sync::Arc;

use rattanwinch_types::Organisation;

use crate::policy::outcomes::ZoneCapacity;
use crate::policy::workers::blocks;
use crate::policy::zone::zone_policy::ZonePolicy;
use rattanwinch_types::GuaranteeStatus;

impl ZonePolicy {
    /// What the zone has and how it is used. A closed zone has no free blocks.
    #[must_use]
    pub fn capacity(&self) -> ZoneCapacity {
        let mut capacity = ZoneCapacity {
            accelerators: self.usable_accelerators(),
            waiting: u32::try_from(self.queue.len() + self.reclaiming.len()).unwrap_or(u32::MAX),
            ..ZoneCapacity::default()
        };
        if self.rules.closure.is_none() {
            for (_, worker) in self.pool.iter() {
                let free = blocks::largest_blocks(worker.free());
                for (total, count) in capacity.free_blocks.iter_mut().zip(free) {
                    *total += count;
                }
            }
        }
        let owners = self.plan.organisations();
        capacity.guarantees = owners.map(|owner| self.guarantee_report(owner)).collect();
        capacity
    }

    pub(super) fn usable_accelerators(&self) -> u32 {
        let workers = self.pool.iter().map(|(_, worker)| worker.usable());
        workers.map(u8::count_ones).sum()
    }

    fn guarantee_report(&self, owner: &Organisation) -> GuaranteeStatus {
        let mut report = GuaranteeStatus {
            organisation: owner.clone(),
            guaranteed: 0,
            used: 0,
            borrowed: 0,
            unmet: 0,
            cause: self.rules.closure.as_ref().map(|closure| {
                Arc::from(format!(
                    "operators have closed the availability zone: {closure}"
                ))
            }),
        };
        let is_closed = report.cause.is_some();
        for id in self.plan.of(owner) {
            let block = self.plan.block(*id);
            report.guaranteed += block.accelerators;
            let cause = self.plan.unmet_cause(block, &self.pool);
            if is_closed || cause.is_some() {
                report.unmet += block.accelerators;
            }
            report.cause = report.cause.or(cause);
        }
        let own = self.active.values();
        for job in own.filter(|job| job.spec().key.organisation == *owner) {
            let accelerators = job.spec().shape.accelerators();
            if job.allocation().is_guaranteed() {
                report.used += accelerators;
            } else {
                report.borrowed += accelerators;
            }
        }
        report
    }
}
