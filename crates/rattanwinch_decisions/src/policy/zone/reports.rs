use std::sync::Arc;

use rattanwinch_types::Organisation;

use crate::policy::outcomes::ZoneCapacity;
use crate::policy::workers::blocks;
use crate::policy::zone::zone_policy::ZonePolicy;
use rattanwinch_types::GuaranteeStatus;

impl ZonePolicy {
    /// Returns the zone's capacity and its use. A closed zone has no free blocks.
    #[must_use]
    pub fn capacity(&self) -> ZoneCapacity {
        let mut capacity = ZoneCapacity {
            accelerators: self.usable_accelerators(),
            waiting: u32::try_from(self.queue.len() + self.reclaiming.len()).unwrap_or(u32::MAX),
            ..ZoneCapacity::default()
        };
        if self.zone_config.closure_reason.is_none() {
            for (_, worker) in self.pool.iter() {
                let free = blocks::largest_blocks(worker.free_accelerators());
                for (total, count) in capacity.free_blocks.iter_mut().zip(free) {
                    *total += count;
                }
            }
        }
        let owners = self.plan.organisations();
        capacity.guarantees = owners.map(|owner| self.guarantee_status(owner)).collect();
        capacity
    }

    pub(super) fn usable_accelerators(&self) -> u32 {
        let workers = self
            .pool
            .iter()
            .map(|(_, worker)| worker.usable_accelerators());
        workers.map(u8::count_ones).sum()
    }

    fn guarantee_status(&self, owner: &Organisation) -> GuaranteeStatus {
        let mut report = GuaranteeStatus {
            organisation: owner.clone(),
            guaranteed: 0,
            used: 0,
            borrowed: 0,
            unmet: 0,
            cause: self
                .zone_config
                .closure_reason
                .as_ref()
                .map(|closure_reason| {
                    Arc::from(format!(
                        "operators have closed the availability zone: {closure_reason}"
                    ))
                }),
        };
        let is_closed = report.cause.is_some();
        for id in self.plan.blocks_owned_by(owner) {
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
