use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::EndedTask;
use crate::Event;
use crate::GoneCause;
use crate::RunEnd;
use crate::RunId;
use crate::RunningTask;
use crate::Scheduler;
use crate::TargetLife;
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
    pub fn report(&mut self, report: &TargetReport, now: Timestamp) {
        let life = &report.description.life;
        self.end_former_lives(life);
        self.unheard.remove(life);
        let fresh = self.limits.fresh;
        let known = self.targets.get(&life.target);
        let same = known.is_some_and(|target| {
            target.description == report.description && now.since(target.heard_at) <= fresh
        });
        if same {
            if let Some(target) = self.targets.get_mut(&life.target) {
                target.heard_at = now;
            }
        } else {
            self.note_news();
            let target = self
                .targets
                .entry(life.target.clone())
                .or_insert_with(|| Target::new(report.description.clone(), now));
            target.description = report.description.clone();
            target.heard_at = now;
        }
        for ended in &report.ended {
            self.note_end(life, ended, now);
        }
        for active in self
            .active
            .values_mut()
            .filter(|active| active.target == *life)
        {
            active.present = false;
        }
        for running in &report.running {
            self.note_running(life, running, now);
        }
        self.note_missing(life, now);
        let strangers = report.running.iter().map(|running| &running.run);
        let strangers: Vec<_> = strangers
            .filter(|run| !self.placed_on(run, life))
            .cloned()
            .collect();
        self.note_strangers(&life.target, strangers);
    }

    fn placed_on(&self, run: &RunId, life: &TargetLife) -> bool {
        let active = self.active.get(run);
        active.is_some_and(|active| active.target == *life)
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
            self.note(Event::Stranger {
                run,
                target: target.clone(),
            });
        }
    }

    /// Notes that a life of a target is over, and with it all that ran there.
    pub fn life_gone(&mut self, life: &TargetLife, cause: GoneCause) {
        let present = self.targets.get(&life.target);
        if present.is_some_and(|target| target.description.life == *life) {
            self.target_gone(&life.target, cause);
        } else {
            self.lapse(|other| other == life);
        }
    }

    fn target_gone(&mut self, target: &TargetName, cause: GoneCause) {
        let Some(known) = self.targets.remove(target) else {
            return;
        };
        self.advice.forget_target(target);
        self.note(Event::TargetGone {
            life: known.description.life.clone(),
            cause,
        });
        self.lapse(|life| *life == known.description.life);
    }

    /// Gives up targets that have been silent for so long that nothing can run there.
    pub fn expire(&mut self, now: Timestamp) {
        let silence = self.limits.silence;
        let silent: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| now.since(target.heard_at) > silence)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.target_gone(&name, GoneCause::Silent);
        }
        let unheard = self.unheard.iter();
        let over: BTreeSet<_> = unheard
            .filter(|life| self.silence(life, now) > silence)
            .cloned()
            .collect();
        if !over.is_empty() {
            self.lapse(|life| over.contains(life));
        }
    }

    /// Ends what the target, or another one on its VM, was before: it holds nothing of it.
    fn end_former_lives(&mut self, present: &TargetLife) {
        let former = |life: &TargetLife| {
            life != present && (life.target == present.target || life.vm == present.vm)
        };
        let gone: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| former(&target.description.life))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.target_gone(&name, GoneCause::Replaced);
        }
        self.lapse(former);
    }

    fn lapse(&mut self, affected: impl Fn(&TargetLife) -> bool) {
        self.unheard.retain(|life| !affected(life));
        let lapsed: Vec<_> = self
            .active
            .iter()
            .filter(|(_, active)| affected(&active.target))
            .map(|(run, _)| run.clone())
            .collect();
        for run in lapsed {
            self.end_run(&run, RunEnd::Lapsed);
        }
    }

    fn note_running(&mut self, life: &TargetLife, running: &RunningTask, now: Timestamp) {
        if !self.placed_on(&running.run, life) {
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

    fn note_missing(&mut self, life: &TargetLife, now: Timestamp) {
        for active in self
            .active
            .values_mut()
            .filter(|active| active.target == *life)
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

    fn note_end(&mut self, life: &TargetLife, ended: &EndedTask, now: Timestamp) {
        // A target lists its ends until they are acknowledged, so most come several times.
        let Some(target) = self.targets.get_mut(&life.target) else {
            return;
        };
        if ended.sequence <= target.processed {
            return;
        }
        target.processed = ended.sequence;
        self.mark_processed(life, ended.sequence);
        let run = &ended.run;
        let job_id = run.task.step.job.clone();
        if let Some(job) = self.jobs.get_mut(&job_id) {
            job.save(run, ended.checkpoint.clone());
        }
        if self.placed_on(run, life) {
            self.judge_target(life, ended, now);
            self.end_run(run, ended.end);
        } else if !self.active.contains_key(run)
            && let Some(job) = self.jobs.get_mut(&job_id)
            && job.end(run, ended.end, &life.target)
        {
            // The run had been given up, and its task hasn't been started again since.
            self.note_news();
            self.mark_changed(&job_id);
            self.close_if_final(&job_id);
        }
    }

    fn judge_target(&mut self, life: &TargetLife, ended: &EndedTask, now: Timestamp) {
        let job = &ended.run.task.step.job;
        let placed_at = self.active.get(&ended.run).map(|active| active.placed_at);
        let fails_elsewhere = self
            .jobs
            .get(job)
            .is_some_and(|job| job.has_failed_elsewhere(&life.target));
        let service = self
            .target(&life.target)
            .map(|target| &target.description.service);
        // Without another target the job and the target can't be told apart.
        let has_others = self.targets.values().any(|other| {
            Some(&other.description.service) == service && other.description.life != *life
        });
        let Some(target) = self.targets.get_mut(&life.target) else {
            return;
        };
        match ended.end {
            // A run from before the failures says nothing of the target since.
            RunEnd::Done if placed_at >= target.failing_since => {
                target.failures_in_row = 0;
                target.failing_since = None;
                target.last_failed = None;
                target.quarantines = 0;
            }
            RunEnd::Failed => {
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
        self.quarantine(&life.target, now);
    }

    /// Keeps new tasks from a target, longer each time it comes to that.
    pub(crate) fn quarantine(&mut self, name: &TargetName, now: Timestamp) {
        let limits = self.limits;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let length = limits.quarantine * 2_u32.saturating_pow(target.quarantines);
        let length = length.min(limits.quarantine_most);
        target.quarantines = target.quarantines.saturating_add(1);
        target.quarantined_until = now + length;
        self.note(Event::Quarantined {
            target: name.clone(),
            for_ms: u64::try_from(length.as_millis()).unwrap_or(u64::MAX),
        });
    }

    /// Ends an active run and gives its task back to the queue, unless the task is over.
    pub(crate) fn end_run(&mut self, run: &RunId, end: RunEnd) {
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
            end,
            worked_ms: worked,
        });
        self.release(run, end, &target);
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
        self.release(run, RunEnd::Stopped, &target);
    }

    fn release(&mut self, run: &RunId, end: RunEnd, target: &TargetName) {
        self.note_news();
        let step = run.task.step.clone();
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let gang = job.step(step.step).is_some_and(|described| described.gang);
        if job.end(run, end, target) {
            self.mark_changed(&step.job);
            self.close_if_final(&step.job);
        }
        if gang && end != RunEnd::Done {
            // What is left of a gang can't do any work.
            for (other, active) in &mut self.active {
                if other.task.step == step && other.number == run.number {
                    active.intent = Intent::Stop;
                }
            }
        }
    }
}
