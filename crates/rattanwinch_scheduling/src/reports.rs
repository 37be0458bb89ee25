use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::EndedTask;
use crate::Event;
use crate::RemovalCause;
use crate::RunId;
use crate::RunOutcome;
use crate::RunningTask;
use crate::Scheduler;
use crate::TargetInstance;
use crate::TargetReport;
use crate::active_run::Intent;
use crate::target::Target;

/// A run that fails so soon after its placement has hardly begun to work: orders take some tens of
/// milliseconds, and the shortest work on the users' sheets a second.
const AT_ONCE: Duration = Duration::from_millis(400);

/// Failures of different jobs in a row that speak against the target rather than the jobs.
const FAILURES_BEFORE_QUARANTINE: u32 = 2;

/// A run that had started and that no report has shown for so long is looked for by a stop; a
/// report that was made just before the start is no sign, and reports come every second.
const MISSING_LIMIT: Duration = Duration::from_millis(2500);

impl Scheduler {
    /// Takes in what a target's agent has read from it.
    ///
    /// Reports of one agent have to come in the order in which they were made.
    pub fn handle_report(&mut self, report: &TargetReport, now: Timestamp) {
        let instance = &report.description.instance;
        self.end_former_lives(instance);
        self.unheard.remove(instance);
        let fresh = self.limits.max_report_age;
        let known = self.targets.get(&instance.target);
        let same = known.is_some_and(|target| {
            target.description == report.description && now.since(target.heard_at) <= fresh
        });
        if same {
            if let Some(target) = self.targets.get_mut(&instance.target) {
                target.heard_at = now;
            }
        } else {
            self.note_news();
            let target = self
                .targets
                .entry(instance.target.clone())
                .or_insert_with(|| Target::new(report.description.clone(), now));
            target.description = report.description.clone();
            target.heard_at = now;
        }
        for ended in &report.ended {
            self.note_end(instance, ended, now);
        }
        for active in self
            .active
            .values_mut()
            .filter(|active| active.target == *instance)
        {
            active.present = false;
        }
        for running in &report.running {
            self.note_running(instance, running, now);
        }
        self.note_missing(instance, now);
        let strangers = report.running.iter().map(|running| &running.run);
        let strangers: Vec<_> = strangers
            .filter(|run| !self.placed_on(run, instance))
            .cloned()
            .collect();
        self.note_strangers(&instance.target, strangers);
    }

    fn placed_on(&self, run: &RunId, instance: &TargetInstance) -> bool {
        let active = self.active.get(run);
        active.is_some_and(|active| active.target == *instance)
    }

    fn note_strangers(&mut self, target: &TargetName, strangers: Vec<RunId>) {
        let Some(known) = self.targets.get_mut(target) else {
            return;
        };
        if known.strangers == strangers {
            return;
        }
        let before = std::mem::replace(&mut known.strangers, strangers);
        let new: Vec<_> = known
            .strangers
            .iter()
            .filter(|run| !before.contains(run))
            .cloned()
            .collect();
        self.note_news();
        for run in new {
            self.note(Event::UnknownRun {
                run,
                target: target.clone(),
            });
        }
    }

    /// Notes that a instance of a target is over, and with it all that ran there.
    pub fn remove_instance(&mut self, instance: &TargetInstance, cause: RemovalCause) {
        let present = self.targets.get(&instance.target);
        if present.is_some_and(|target| target.description.instance == *instance) {
            self.target_gone(&instance.target, cause);
        } else {
            self.lapse(|other| other == instance);
        }
    }

    fn target_gone(&mut self, target: &TargetName, cause: RemovalCause) {
        let Some(known) = self.targets.remove(target) else {
            return;
        };
        self.advice.forget_target(target);
        self.note(Event::TargetRemoved {
            instance: known.description.instance.clone(),
            cause,
        });
        self.lapse(|instance| *instance == known.description.instance);
    }

    /// Gives up targets that have been silent for so long that nothing can run there.
    pub fn expire_silent_targets(&mut self, now: Timestamp) {
        let silence = self.limits.silence_timeout;
        let silent: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| now.since(target.heard_at) > silence)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.target_gone(&name, RemovalCause::Silent);
        }
        let unheard = self.unheard.iter();
        let over: BTreeSet<_> = unheard
            .filter(|instance| self.silence(instance, now) > silence)
            .cloned()
            .collect();
        if !over.is_empty() {
            self.lapse(|instance| over.contains(instance));
        }
    }

    /// Ends what the target, or another one on its VM, was before: it holds nothing of it.
    fn end_former_lives(&mut self, present: &TargetInstance) {
        let former = |instance: &TargetInstance| {
            instance != present && (instance.target == present.target || instance.vm == present.vm)
        };
        let gone: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| former(&target.description.instance))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.target_gone(&name, RemovalCause::Replaced);
        }
        self.lapse(former);
    }

    fn lapse(&mut self, affected: impl Fn(&TargetInstance) -> bool) {
        self.unheard.retain(|instance| !affected(instance));
        let lapsed: Vec<_> = self
            .active
            .iter()
            .filter(|(_, active)| affected(&active.target))
            .map(|(run, _)| run.clone())
            .collect();
        for run in lapsed {
            self.end_run(&run, RunOutcome::Lapsed);
        }
    }

    fn note_running(&mut self, instance: &TargetInstance, running: &RunningTask, now: Timestamp) {
        if !self.placed_on(&running.run, instance) {
            return;
        }
        let job = &running.run.task.step.job;
        let saved = self.jobs.get_mut(job);
        if saved.is_some_and(|saved| saved.save(&running.run, running.checkpoint.clone())) {
            self.unsaved.insert(job.clone());
        }
        let Some(active) = self.active.get_mut(&running.run) else {
            return;
        };
        if !active.started || active.percent != running.percent {
            active.progressed_at = now;
        }
        active.started = true;
        active.started_at.get_or_insert(now);
        active.present = true;
        active.percent = running.percent;
    }

    fn note_missing(&mut self, instance: &TargetInstance, now: Timestamp) {
        for active in self
            .active
            .values_mut()
            .filter(|active| active.target == *instance)
        {
            if active.present || !active.started {
                active.missing_since = None;
                continue;
            }
            let since = *active.missing_since.get_or_insert(now);
            if now.since(since) > MISSING_LIMIT {
                active.intent = Intent::Stop;
            }
        }
    }

    fn note_end(&mut self, instance: &TargetInstance, ended: &EndedTask, now: Timestamp) {
        // A target lists its ends until they are acknowledged, so most come several times.
        let Some(target) = self.targets.get_mut(&instance.target) else {
            return;
        };
        if ended.sequence <= target.processed {
            return;
        }
        target.processed = ended.sequence;
        self.mark_processed(instance, ended.sequence);
        let run = &ended.run;
        let job_id = run.task.step.job.clone();
        if let Some(job) = self.jobs.get_mut(&job_id) {
            job.save(run, ended.checkpoint.clone());
        }
        if self.placed_on(run, instance) {
            self.judge_target(instance, ended, now);
            self.end_run(run, ended.outcome);
        } else if !self.active.contains_key(run)
            && let Some(job) = self.jobs.get_mut(&job_id)
            && job.end(run, ended.outcome, &instance.target)
        {
            // The run had been given up, and its task hasn't been started again since.
            self.note_news();
            self.mark_changed(&job_id);
            self.close_if_final(&job_id);
        }
    }

    fn judge_target(&mut self, instance: &TargetInstance, ended: &EndedTask, now: Timestamp) {
        let job = &ended.run.task.step.job;
        let placed_at = self.active.get(&ended.run).map(|active| active.placed_at);
        let fails_elsewhere = self
            .jobs
            .get(job)
            .is_some_and(|job| job.has_failed_elsewhere(&instance.target));
        let service = self
            .target(&instance.target)
            .map(|target| &target.description.service);
        // Without another target the job and the target can't be told apart.
        let has_others = self.targets.values().any(|other| {
            Some(&other.description.service) == service && other.description.instance != *instance
        });
        let Some(target) = self.targets.get_mut(&instance.target) else {
            return;
        };
        match ended.outcome {
            // A run from before the failures says nothing of the target since.
            RunOutcome::Done if placed_at >= target.failing_since => {
                target.failures_in_row = 0;
                target.failing_since = None;
                target.last_failed = None;
                target.quarantines = 0;
            }
            RunOutcome::Failed => {
                let at_once = placed_at.is_some_and(|placed| now.since(placed) <= AT_ONCE);
                let another = target.last_failed.as_ref() != Some(job);
                if another || (at_once && has_others && !fails_elsewhere) {
                    target.failures_in_row += 1;
                    target.failing_since.get_or_insert(now);
                    target.last_failed = Some(job.clone());
                }
            }
            _ => {}
        }
        if target.failures_in_row < FAILURES_BEFORE_QUARANTINE {
            return;
        }
        target.failures_in_row = 0;
        target.failing_since = None;
        self.quarantine(&instance.target, now);
    }

    /// Keeps new tasks from a target, longer each time it comes to that.
    pub(crate) fn quarantine(&mut self, name: &TargetName, now: Timestamp) {
        let limits = self.limits;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let length = limits.initial_quarantine * 2_u32.saturating_pow(target.quarantines);
        let length = length.min(limits.max_quarantine);
        target.quarantines = target.quarantines.saturating_add(1);
        target.quarantined_until = now + length;
        self.note(Event::Quarantined {
            target: name.clone(),
            for_ms: u64::try_from(length.as_millis()).unwrap_or(u64::MAX),
        });
    }

    /// Ends an active run and gives its task back to the queue, unless the task is over.
    pub(crate) fn end_run(&mut self, run: &RunId, outcome: RunOutcome) {
        let Some(active) = self.active.remove(run) else {
            return;
        };
        let target = active.target.target;
        let worked = active
            .started_at
            .map(|started| active.progressed_at.max(started).since(started));
        let worked = worked.map(|worked| u64::try_from(worked.as_millis()).unwrap_or(u64::MAX));
        self.note(Event::Ended {
            run: run.clone(),
            target: target.clone(),
            outcome,
            run_time_ms: worked,
        });
        self.release(run, outcome, &target);
    }

    /// Gives up a run that isn't on its target and can't start there any more.
    pub(crate) fn abandon(&mut self, run: &RunId) {
        let Some(active) = self.active.remove(run) else {
            return;
        };
        let target = active.target.target;
        self.note(Event::Abandoned {
            run: run.clone(),
            target: target.clone(),
        });
        self.release(run, RunOutcome::Stopped, &target);
    }

    fn release(&mut self, run: &RunId, outcome: RunOutcome, target: &TargetName) {
        self.note_news();
        let step = run.task.step.clone();
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let gang = job.step(step.step).is_some_and(|described| described.gang);
        if job.end(run, outcome, target) {
            self.mark_changed(&step.job);
            self.close_if_final(&step.job);
        }
        if gang && outcome != RunOutcome::Done {
            // What is left of a gang can't do any work.
            for (other, active) in &mut self.active {
                if other.task.step == step && other.number == run.number {
                    active.intent = Intent::Stop;
                }
            }
        }
    }
}
