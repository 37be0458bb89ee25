use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::Timestamp;

use crate::Scheduler;
use crate::TargetInstance;

/// Lives of targets, and how long each had been silent at least when that was made durable.
pub type SilentInstances = BTreeMap<TargetInstance, Duration>;

/// What is durable of the silence of targets, so that the next scheduler counts it as passed
/// instead of beginning the wait for their leases anew.
///
/// As long as a instance may be listed durably, nobody lets its leases be renewed and nothing is
/// started on it. So a scheduler that finds it listed knows that its leases end no later than if
/// it had been silent ever since.
#[derive(Clone, Debug, Default)]
pub(crate) struct Silences {
    /// What the scheduler before had listed.
    inherited: SilentInstances,
    durable: SilentInstances,
    /// What is being written; it may be durable already.
    writing: Option<SilentInstances>,
    /// Since when agents could be heard without a break.
    listening_since: Timestamp,
    looked_at: Timestamp,
}

impl Silences {
    /// Takes the list to be written in place of the durable one, if they differ.
    fn change(&mut self, wanted: SilentInstances) -> Option<SilentInstances> {
        if self.writing.is_some() || wanted == self.durable {
            return None;
        }
        self.writing = Some(wanted.clone());
        Some(wanted)
    }

    /// Notes that the list given last is durable.
    pub(crate) fn committed(&mut self) {
        if let Some(written) = self.writing.take() {
            self.durable = written;
        }
    }

    fn may_list_vm(&self, vm: &str) -> bool {
        let lists = std::iter::once(&self.durable).chain(&self.writing);
        lists
            .flat_map(BTreeMap::keys)
            .any(|instance| *instance.vm == *vm)
    }
}

impl Scheduler {
    /// Takes over how long instances had been silent when the scheduler before made that durable.
    pub fn restore_silences(&mut self, silences: SilentInstances) {
        self.silences = Silences {
            inherited: silences.clone(),
            durable: silences,
            ..Silences::default()
        };
    }

    /// Notes that agents have no reason to report at present, since they aren't confirmed. Their
    /// silence then says nothing of them; to list them all would only hold up their first report.
    pub const fn restart_silence_tracking(&mut self, now: Timestamp) {
        self.silences.listening_since = now;
    }

    /// True if the agent of this VM may be told to renew leases: no instance there is listed as
    /// silent, durably or perhaps.
    #[must_use]
    pub fn may_renew_leases(&self, vm: &str) -> bool {
        !self.silences.may_list_vm(vm)
    }

    /// How long a instance has been silent at least.
    pub(crate) fn silence(&self, instance: &TargetInstance, now: Timestamp) -> Duration {
        let target = self.targets.get(&instance.target);
        match target.filter(|target| target.description.instance == *instance) {
            Some(target) => now.since(target.heard_at),
            None => {
                let before = self.silences.inherited.get(instance).copied();
                now.since(self.started_at) + before.unwrap_or_default()
            }
        }
    }

    /// The instances with runs that have been silent for a while, if that is to be made durable.
    pub(crate) fn take_silences(&mut self, now: Timestamp) -> Option<SilentInstances> {
        let step = self.limits.silence_record_interval;
        // A process that was frozen has heard nobody meanwhile.
        if now.since(self.silences.looked_at) > self.limits.max_report_age {
            self.restart_silence_tracking(now);
        }
        self.silences.looked_at = now;
        let listened = now.since(self.silences.listening_since);
        let known = self.targets.values();
        let known = known.map(|target| &target.description.instance);
        let silent = known
            .chain(&self.unheard)
            .map(|instance| (instance, self.silence(instance, now)))
            .filter(|(_, silence)| *silence >= step);
        let mut wanted = SilentInstances::new();
        for (instance, silence) in silent {
            let listed = self.silences.durable.contains_key(instance);
            let told = listened >= step || listed;
            if told
                && self
                    .active
                    .values()
                    .any(|active| active.target == *instance)
            {
                let steps = silence.as_millis() / step.as_millis().max(1);
                let steps = u32::try_from(steps).unwrap_or(u32::MAX);
                wanted.insert(instance.clone(), step * steps);
            }
        }
        self.silences.change(wanted)
    }
}
