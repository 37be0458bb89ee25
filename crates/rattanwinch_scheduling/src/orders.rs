use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::Event;
use crate::OrderOutcome;
use crate::RunId;
use crate::Scheduler;
use crate::StartOrder;
use crate::StartRefusal;
use crate::TargetInstance;
use crate::TargetOrders;
use crate::active_run::ActiveRun;
use crate::active_run::Intent;

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Scheduler {
    /// The orders that are due, for targets that have been heard in this instance; each counts as on
    /// its way until [`Self::handle_order_outcome`].
    pub fn take_due_orders(&mut self, now: Timestamp) -> Vec<TargetOrders> {
        self.abandon_unsent();
        let mut orders: BTreeMap<TargetInstance, TargetOrders> = BTreeMap::new();
        let due: Vec<_> = self
            .active
            .iter()
            .filter(|(_, active)| self.is_due(active, now))
            .map(|(run, active)| (run.clone(), active.intent))
            .collect();
        for (run, intent) in due {
            let start = (intent == Intent::Run)
                .then(|| self.start_order(&run))
                .flatten();
            let Some(active) = self.active.get_mut(&run) else {
                continue;
            };
            active.in_flight = true;
            active.maybe_sent = true;
            let instance = active.target.clone();
            let for_target = orders
                .entry(instance.clone())
                .or_insert_with(|| TargetOrders {
                    instance,
                    starts: Vec::new(),
                    stops: Vec::new(),
                });
            match start {
                Some(start) => for_target.starts.push(start),
                None => for_target.stops.push(run),
            }
        }
        self.add_strangers(&mut orders);
        orders.into_values().collect()
    }

    fn is_due(&self, active: &ActiveRun, now: Timestamp) -> bool {
        // Most runs are at work and want nothing, so that is looked at first.
        let wanted = active.intent == Intent::Stop || !active.started;
        if !wanted || !active.durable || active.in_flight || now < active.retry_at {
            return false;
        }
        let target = self.target(&active.target.target);
        let Some(target) = target.filter(|target| target.description.instance == active.target)
        else {
            return false;
        };
        match active.intent {
            // A start sets a lease, and silence counts from the last report: a start that is sent
            // later than just after one could hold a lease beyond the end of the wait.
            Intent::Run => {
                now.since(target.heard_at) <= self.limits.max_report_age
                    && self.may_renew_leases(&active.target.vm)
            }
            Intent::Stop => true,
        }
    }

    fn start_order(&self, run: &RunId) -> Option<StartOrder> {
        let job = self.jobs.get(&run.task.step.job)?;
        let active = self.active.get(run)?;
        Some(StartOrder {
            run: run.clone(),
            payload: Arc::clone(&job.accepted.description.payload),
            checkpoint: job.checkpoint(&run.task),
            ticket: active.ticket.clone(),
        })
    }

    fn add_strangers(&self, orders: &mut BTreeMap<TargetInstance, TargetOrders>) {
        for target in self.targets.values() {
            if target.strangers.is_empty() {
                continue;
            }
            let instance = target.description.instance.clone();
            let for_target = orders
                .entry(instance.clone())
                .or_insert_with(|| TargetOrders {
                    instance,
                    starts: Vec::new(),
                    stops: Vec::new(),
                });
            for_target.stops.extend(target.strangers.iter().cloned());
        }
    }

    /// Runs that were placed and are no longer wanted before any order was sent.
    fn abandon_unsent(&mut self) {
        let unsent: Vec<_> = self
            .active
            .iter()
            .filter(|(_, active)| active.intent == Intent::Stop && !active.maybe_sent)
            .map(|(run, _)| run.clone())
            .collect();
        for run in unsent {
            self.abandon(&run);
        }
    }

    /// Takes the outcome of an order.
    ///
    /// If the target's agent sent a report with the outcome, made after the order was carried
    /// out, it has to be given to [`Self::handle_report`] first and `reported` has to be true.
    pub fn handle_order_outcome(
        &mut self,
        run: &RunId,
        outcome: OrderOutcome,
        reported: bool,
        now: Timestamp,
    ) {
        let retry_at = now + self.limits.order_retry_delay;
        let Some(active) = self.active.get_mut(run) else {
            return;
        };
        active.in_flight = false;
        active.retry_at = retry_at;
        match outcome {
            OrderOutcome::Started => {
                // A stop that follows needn't wait.
                active.retry_at = now;
                if !active.started {
                    active.started = true;
                    active.started_at = Some(now);
                    active.progressed_at = now;
                    let after_ms = millis(now.since(active.placed_at));
                    self.note(Event::Started {
                        run: run.clone(),
                        after_ms,
                    });
                }
            }
            OrderOutcome::Refused(refusal) => self.refused(run, refusal, now),
            OrderOutcome::Stopped if reported => self.stopped(run, now),
            OrderOutcome::Stopped | OrderOutcome::Unknown => {}
        }
    }

    /// A run that was stopped and that the report after it doesn't show isn't there any more.
    fn stopped(&mut self, run: &RunId, now: Timestamp) {
        let repeat_at = now + self.limits.stop_retry_delay;
        let Some(active) = self.active.get_mut(run) else {
            return;
        };
        active.retry_at = repeat_at;
        if !active.present {
            self.abandon(run);
        }
    }

    fn refused(&mut self, run: &RunId, refusal: StartRefusal, now: Timestamp) {
        let Some(active) = self.active.get(run) else {
            return;
        };
        let target = active.target.target.clone();
        let started = active.started;
        self.note(Event::Refused {
            run: run.clone(),
            target: target.clone(),
            refusal,
        });
        match refusal {
            // Another scheduler has taken over, or the order just has to be sent again.
            StartRefusal::Fence | StartRefusal::Late => return,
            StartRefusal::NotSent if started => return,
            StartRefusal::Ticket => self.advice.invalidate(&run.task.step),
            StartRefusal::Room | StartRefusal::Unhealthy => self.rest_target(&target, now),
            StartRefusal::Old | StartRefusal::NotSent | StartRefusal::Invalid => {}
        }
        // An earlier copy of the order may still be on its way, so the run is first made
        // impossible by a stop; the report after that tells whether it had started.
        if let Some(active) = self.active.get_mut(run) {
            active.intent = Intent::Stop;
            active.retry_at = now;
        }
        let step = run.task.step.clone();
        let gang = self.step(&step).is_some_and(|described| described.gang);
        if gang {
            let number = run.number;
            self.stop_runs(|other| other.task.step == step && other.number == number);
        }
    }

    /// Keeps new tasks from a target that can't take any for the moment.
    fn rest_target(&mut self, target: &TargetName, now: Timestamp) {
        let until = now + self.limits.order_retry_delay;
        if let Some(target) = self.targets.get_mut(target) {
            target.quarantined_until = target.quarantined_until.max(until);
        }
    }
}
