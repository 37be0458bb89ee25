use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::Timestamp;

use crate::Scheduler;
use crate::TargetInstance;

/// Silent target instances, each with its minimum silence when the list was made durable.
pub type SilentInstances = BTreeMap<TargetInstance, Duration>;

/// The durable record of silent targets, which lets the next scheduler continue the wait for their
/// leases instead of restarting it.
///
/// While an instance may be in the durable list, its leases are not renewed and nothing is started
/// on it. A scheduler that reads the list can therefore treat the instance as silent ever since.
#[derive(Clone, Debug, Default)]
pub(crate) struct SilenceRecords {
    /// The list of the previous scheduler.
    inherited: SilentInstances,
    durable: SilentInstances,
    /// The list that is being written; it may already be durable.
    writing: Option<SilentInstances>,
    /// Since when agents have been able to report without interruption.
    tracking_since: Timestamp,
    last_checked_at: Timestamp,
}

impl SilenceRecords {
    /// Returns the list to write, if it differs from the durable one and no write is in progress.
    fn propose_list(&mut self, list: SilentInstances) -> Option<SilentInstances> {
        if self.writing.is_some() || list == self.durable {
            return None;
        }
        self.writing = Some(list.clone());
        Some(list)
    }

    /// Marks the last proposed list as durable.
    pub(crate) fn mark_committed(&mut self) {
        if let Some(written) = self.writing.take() {
            self.durable = written;
        }
    }

    fn may_contain_vm(&self, vm: &str) -> bool {
        let lists = std::iter::once(&self.durable).chain(&self.writing);
        lists
            .flat_map(BTreeMap::keys)
            .any(|instance| *instance.vm == *vm)
    }
}

impl Scheduler {
    /// Restores the silences that the previous scheduler made durable.
    pub fn restore_silences(&mut self, recorded: SilentInstances) {
        self.silence_records = SilenceRecords {
            inherited: recorded.clone(),
            durable: recorded,
            ..SilenceRecords::default()
        };
    }

    /// Restarts the tracking of silences, because agents cannot report at present.
    ///
    /// Their silence is no evidence then; listing all of them would only delay the renewal of
    /// their leases after their next reports.
    pub const fn restart_silence_tracking(&mut self, now: Timestamp) {
        self.silence_records.tracking_since = now;
    }

    /// Returns true if the agent of the VM may be told to renew leases: no instance on the VM is
    /// in the durable list of silent instances or in one being written.
    #[must_use]
    pub fn may_renew_leases(&self, vm: &str) -> bool {
        !self.silence_records.may_contain_vm(vm)
    }

    /// Returns the minimum silence of an instance.
    pub(crate) fn silence_of(&self, instance: &TargetInstance, now: Timestamp) -> Duration {
        let target = self.targets.get(&instance.target);
        match target.filter(|target| target.description.instance == *instance) {
            Some(target) => now.since(target.last_report_at),
            None => {
                let before = self.silence_records.inherited.get(instance).copied();
                now.since(self.started_at) + before.unwrap_or_default()
            }
        }
    }

    /// Returns the silent instances with active runs, if the list must be written.
    pub(crate) fn take_silence_changes(&mut self, now: Timestamp) -> Option<SilentInstances> {
        let interval = self.limits.silence_record_interval;
        // A process that was suspended has received no reports in the meantime.
        if now.since(self.silence_records.last_checked_at) > self.limits.max_report_age {
            self.restart_silence_tracking(now);
        }
        self.silence_records.last_checked_at = now;
        let tracked_for = now.since(self.silence_records.tracking_since);
        let known = self.targets.values();
        let known = known.map(|target| &target.description.instance);
        let silent = known
            .chain(&self.unreported_instances)
            .map(|instance| (instance, self.silence_of(instance, now)))
            .filter(|(_, silence)| *silence >= interval);
        let mut list = SilentInstances::new();
        for (instance, silence) in silent {
            let listed = self.silence_records.durable.contains_key(instance);
            let is_evident = tracked_for >= interval || listed;
            if is_evident && self.active.on_instance(instance).next().is_some() {
                let intervals = silence.as_millis() / interval.as_millis().max(1);
                let intervals = u32::try_from(intervals).unwrap_or(u32::MAX);
                list.insert(instance.clone(), interval * intervals);
            }
        }
        self.silence_records.propose_list(list)
    }
}
