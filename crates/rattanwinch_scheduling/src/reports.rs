use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::EndedTask;
use crate::Event;
use crate::ListExtent;
use crate::RemovalCause;
use crate::RunId;
use crate::RunOutcome;
use crate::RunningTask;
use crate::Scheduler;
use crate::TargetInstance;
use crate::TargetReport;
use crate::run_lists::Presence;
use crate::target::Target;
use crate::target_speeds::ProgressBase;

/// A run that fails within this time of its placement has done hardly any work: orders take some
/// tens of milliseconds, and the shortest task in the users' requirements a second.
const IMMEDIATE_FAILURE_WINDOW: Duration = Duration::from_millis(400);

/// Consecutive failures of different jobs that are attributed to the target, not to the jobs.
const FAILURES_BEFORE_QUARANTINE: u32 = 2;

/// A started run that is missing from the reports for this long is stopped. Reports come every
/// second, and a report made just before the start does not list the run.
const MISSING_RUN_TIMEOUT: Duration = Duration::from_millis(2500);

impl Scheduler {
    /// Handles an agent's report on its target.
    ///
    /// The reports of an agent must be passed in the order in which they were made.
    pub fn handle_report(&mut self, report: &TargetReport, now: Timestamp) {
        let instance = &report.description.instance;
        self.remove_former_instances(instance);
        self.unreported_instances.remove(instance);
        let max_age = self.limits.max_report_age;
        let known = self.targets.get(&instance.target);
        let is_unchanged = known.is_some_and(|target| {
            target.description == report.description && now.since(target.last_report_at) <= max_age
        });
        if is_unchanged {
            if let Some(target) = self.targets.get_mut(&instance.target) {
                target.last_report_at = now;
            }
        } else {
            self.request_placement();
            let target = self
                .targets
                .entry(instance.target.clone())
                .or_insert_with(|| Target::new(report.description.clone(), now));
            target.description = report.description.clone();
            target.last_report_at = now;
        }
        if let Some(target) = self.targets.get_mut(&instance.target) {
            target.leases_end_at = report.leases_end_in.map(|time| now + time);
            target.leaves_at = report.leaves_in.map(|time| now + time);
        }
        let lists = &report.lists;
        for ended in &lists.ended {
            self.handle_ended_task(instance, ended, now);
        }
        self.update_lists_time(instance, report.lists_clock_ms, now);
        let of_others = lists.presence_of_others();
        self.active
            .update_on(instance, |active| active.presence = of_others);
        for running in &lists.running {
            self.handle_running_task(instance, running, report.lists_clock_ms, now);
        }
        self.update_missing_runs(instance, now);
        let listed = lists.running.iter().map(|running| &running.run);
        let mut unknown_runs: BTreeSet<_> = listed
            .filter(|run| !self.is_placed_on(run, instance))
            .cloned()
            .collect();
        // An unknown run whose end may be unlisted still counts: if it is done, its task must not
        // run again.
        if let Some(target) = self.targets.get(&instance.target) {
            let ends_of = lists.ended_runs();
            let vanished = target
                .unknown_runs
                .iter()
                .filter(|run| lists.extent == ListExtent::Partial && !ends_of.contains(run));
            unknown_runs.extend(vanished.cloned());
        }
        self.update_unknown_runs(&instance.target, unknown_runs, now);
    }

    /// Records when the target made its lists. After a time in which it made none, the progress of
    /// its runs is watched afresh: they may have worked, or the target may have been paused.
    fn update_lists_time(&mut self, instance: &TargetInstance, clock_ms: u64, now: Timestamp) {
        let Some(target) = self.targets.get_mut(&instance.target) else {
            return;
        };
        if target.lists.0 == clock_ms {
            return;
        }
        let silence = now.since(target.lists.1);
        target.lists = (clock_ms, now);
        if silence > self.limits.max_report_age {
            self.active.update_on(instance, |active| {
                active.progressed_at = now;
                active.progress_base = None;
            });
        }
    }

    fn is_placed_on(&self, run: &RunId, instance: &TargetInstance) -> bool {
        let active = self.active.get(run);
        active.is_some_and(|active| active.target == *instance)
    }

    fn update_unknown_runs(
        &mut self,
        target: &TargetName,
        unknown_runs: BTreeSet<RunId>,
        now: Timestamp,
    ) {
        let Some(known) = self.targets.get_mut(target) else {
            return;
        };
        if known.unknown_runs == unknown_runs {
            return;
        }
        let previous = std::mem::replace(&mut known.unknown_runs, unknown_runs);
        let new: Vec<_> = known
            .unknown_runs
            .iter()
            .filter(|run| !previous.contains(run))
            .cloned()
            .collect();
        if !new.is_empty() {
            known.unknown_runs_retry_at = now;
        }
        self.request_placement();
        for run in new {
            self.mark_started(&run.task.step.job);
            self.record_event(Event::UnknownRun {
                run,
                target: target.clone(),
            });
        }
    }

    /// Removes an instance of a target; its runs lapse.
    pub fn remove_instance(&mut self, instance: &TargetInstance, cause: RemovalCause) {
        let current = self.targets.get(&instance.target);
        if current.is_some_and(|target| target.description.instance == *instance) {
            self.remove_target(&instance.target, cause);
        } else {
            self.lapse_runs(|other| other == instance);
        }
    }

    fn remove_target(&mut self, target: &TargetName, cause: RemovalCause) {
        let Some(known) = self.targets.remove(target) else {
            return;
        };
        self.advisor_tickets.forget_target(target);
        self.speeds.forget_target(target);
        self.record_event(Event::TargetRemoved {
            instance: known.description.instance.clone(),
            cause,
        });
        self.lapse_runs(|instance| *instance == known.description.instance);
    }

    /// Removes targets whose leases have all expired: those that were silent for so long, or whose
    /// agents said so when they stopped.
    pub fn expire_silent_targets(&mut self, now: Timestamp) {
        let silence_timeout = self.limits.silence_timeout;
        let silent: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| {
                now.since(target.last_report_at) > silence_timeout
                    || target.leases_end_at.is_some_and(|end| now > end)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.remove_target(&name, RemovalCause::Silent);
        }
        let unreported = self.unreported_instances.iter();
        let expired: BTreeSet<_> = unreported
            .filter(|instance| self.silence_of(instance, now) > silence_timeout)
            .cloned()
            .collect();
        if !expired.is_empty() {
            self.lapse_runs(|instance| expired.contains(instance));
        }
    }

    /// Removes former instances of the target and other targets of its VM; their runs are gone.
    fn remove_former_instances(&mut self, current: &TargetInstance) {
        // The first report of an instance has removed them.
        let known = self.targets.get(&current.target);
        if known.is_some_and(|target| target.description.instance == *current) {
            return;
        }
        let former = |instance: &TargetInstance| {
            instance != current && (instance.target == current.target || instance.vm == current.vm)
        };
        let gone: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| former(&target.description.instance))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.remove_target(&name, RemovalCause::Replaced);
        }
        self.lapse_runs(former);
    }

    fn lapse_runs(&mut self, affected: impl Fn(&TargetInstance) -> bool) {
        self.unreported_instances
            .retain(|instance| !affected(instance));
        let instances = self
            .active
            .instances()
            .filter(|instance| affected(instance));
        let lapsed = instances.flat_map(|instance| self.active.on_instance(instance));
        let mut lapsed: Vec<_> = lapsed.map(|(run, _)| run.clone()).collect();
        lapsed.sort_unstable();
        for run in lapsed {
            self.end_run(&run, RunOutcome::Lapsed);
        }
    }

    fn handle_running_task(
        &mut self,
        instance: &TargetInstance,
        running: &RunningTask,
        lists_clock_ms: u64,
        now: Timestamp,
    ) {
        if !self.is_placed_on(&running.run, instance) {
            return;
        }
        let job = &running.run.task.step.job;
        self.mark_started(job);
        let saved = self.jobs.get_mut(job);
        if saved
            .is_some_and(|saved| saved.update_checkpoint(&running.run, running.checkpoint.clone()))
        {
            self.unsaved_progress.insert(job.clone());
        }
        let Some(active) = self.active.get_mut(&running.run) else {
            return;
        };
        if !active.started || active.percent != running.percent {
            active.progressed_at = now;
        }
        active.started = true;
        active.started_at.get_or_insert(now);
        active.presence = Presence::Running;
        active.percent = running.percent;
        let (_, first_percent) = *active.first_progress.get_or_insert((now, running.percent));
        let Some(base) = &mut active.progress_base else {
            // A run waits for the other members of its gang, and restores its checkpoint, before it
            // makes progress.
            if running.percent > first_percent {
                active.progress_base = ProgressBase::begin(lists_clock_ms, running.percent);
            }
            return;
        };
        if let Some(rate) = base.advance(lists_clock_ms, running.percent) {
            self.learn_from_rate(&running.run, &instance.target, rate, now);
        }
    }

    fn update_missing_runs(&mut self, instance: &TargetInstance, now: Timestamp) {
        self.active.update_on(instance, |active| {
            if active.presence != Presence::Absent || !active.started {
                active.missing_since = None;
                return;
            }
            active.missing_since.get_or_insert(now);
        });
        let missing = self.active.on_instance(instance).filter(|(_, active)| {
            let since = active.missing_since;
            since.is_some_and(|since| now.since(since) > MISSING_RUN_TIMEOUT)
        });
        let missing: Vec<RunId> = missing.map(|(run, _)| run.clone()).collect();
        for run in missing {
            self.active.stop(&run);
        }
    }

    fn handle_ended_task(&mut self, instance: &TargetInstance, ended: &EndedTask, now: Timestamp) {
        // A target reports an ended run until it is acknowledged, so most arrive several times.
        let Some(target) = self.targets.get_mut(&instance.target) else {
            return;
        };
        if ended.sequence <= target.processed_sequence {
            return;
        }
        target.processed_sequence = ended.sequence;
        self.mark_end_processed(instance, ended.sequence);
        let run = &ended.run;
        let job_id = run.task.step.job.clone();
        self.mark_started(&job_id);
        if let Some(job) = self.jobs.get_mut(&job_id) {
            job.update_checkpoint(run, ended.checkpoint.clone());
        }
        if self.is_placed_on(run, instance) {
            self.update_target_health(instance, ended, now);
            if ended.outcome == RunOutcome::Done {
                self.learn_from_end(run, now);
            }
            self.end_run(run, ended.outcome);
        } else if !self.active.contains_key(run)
            && let Some(job) = self.jobs.get_mut(&job_id)
            && job.handle_run_end(run, ended.outcome, &instance.target)
        {
            // The run was abandoned, and its task has not been placed again since.
            self.request_placement();
            self.mark_changed(&job_id);
            self.close_if_final(&job_id);
        }
    }

    fn update_target_health(
        &mut self,
        instance: &TargetInstance,
        ended: &EndedTask,
        now: Timestamp,
    ) {
        let job = &ended.run.task.step.job;
        let placed_at = self.active.get(&ended.run).map(|active| active.placed_at);
        let job_fails_elsewhere = self
            .jobs
            .get(job)
            .is_some_and(|job| job.has_failed_elsewhere(&instance.target));
        let service = self
            .target(&instance.target)
            .map(|target| &target.description.service);
        // Without another target, a faulty job and a faulty target are indistinguishable.
        let has_other_targets = self.targets.values().any(|other| {
            Some(&other.description.service) == service && other.description.instance != *instance
        });
        let Some(target) = self.targets.get_mut(&instance.target) else {
            return;
        };
        match ended.outcome {
            // A run placed before the failures is no evidence of the current health of the target.
            RunOutcome::Done if placed_at >= target.failing_since => {
                target.consecutive_failures = 0;
                target.failing_since = None;
                target.last_failed_job = None;
                target.suspected_until = Timestamp::ZERO;
                target.quarantine_count = 0;
            }
            RunOutcome::Failed => {
                let failed_immediately =
                    placed_at.is_some_and(|placed| now.since(placed) <= IMMEDIATE_FAILURE_WINDOW);
                let is_other_job = target.last_failed_job.as_ref() != Some(job);
                let is_suspicious = failed_immediately && has_other_targets && !job_fails_elsewhere;
                if is_suspicious {
                    target.suspected_until = now + self.limits.initial_quarantine;
                }
                if is_other_job || is_suspicious {
                    target.consecutive_failures += 1;
                    target.failing_since.get_or_insert(now);
                    target.last_failed_job = Some(job.clone());
                }
            }
            _ => {}
        }
        if target.consecutive_failures < FAILURES_BEFORE_QUARANTINE {
            return;
        }
        target.consecutive_failures = 0;
        target.failing_since = None;
        self.quarantine(&instance.target, now);
    }

    /// Quarantines a target; the duration doubles with each further quarantine.
    pub(crate) fn quarantine(&mut self, name: &TargetName, now: Timestamp) {
        let limits = self.limits;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let duration = limits.initial_quarantine * 2_u32.saturating_pow(target.quarantine_count);
        let duration = duration.min(limits.max_quarantine);
        target.quarantine_count = target.quarantine_count.saturating_add(1);
        target.quarantined_until = now + duration;
        self.record_event(Event::Quarantined {
            target: name.clone(),
            for_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
        });
    }

    /// Ends an active run; its task returns to the queue unless it is done.
    pub(crate) fn end_run(&mut self, run: &RunId, outcome: RunOutcome) {
        let Some(active) = self.active.remove(run) else {
            return;
        };
        let target = active.target.target;
        let run_time = active
            .started_at
            .map(|started| active.progressed_at.max(started).since(started));
        let run_time =
            run_time.map(|run_time| u64::try_from(run_time.as_millis()).unwrap_or(u64::MAX));
        self.record_event(Event::Ended {
            run: run.clone(),
            target: target.clone(),
            outcome,
            run_time_ms: run_time,
        });
        self.finish_run(run, outcome, &target);
    }

    /// Abandons a run that is not on its target and can no longer start there.
    pub(crate) fn abandon(&mut self, run: &RunId) {
        let Some(active) = self.active.remove(run) else {
            return;
        };
        let target = active.target.target;
        self.record_event(Event::Abandoned {
            run: run.clone(),
            target: target.clone(),
        });
        self.finish_run(run, RunOutcome::Stopped, &target);
    }

    fn finish_run(&mut self, run: &RunId, outcome: RunOutcome, target: &TargetName) {
        self.request_placement();
        let step = run.task.step.clone();
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let gang = job
            .step(step.step)
            .is_some_and(|description| description.gang);
        if job.handle_run_end(run, outcome, target) {
            self.mark_changed(&step.job);
            self.close_if_final(&step.job);
        }
        if gang && outcome != RunOutcome::Done {
            // The remaining members of a gang cannot work without the ended one.
            self.active.stop_gang(&step, run.number);
        }
    }
}
