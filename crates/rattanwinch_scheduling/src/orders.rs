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
use crate::active_runs::ActiveRun;
use crate::active_runs::DesiredState;
use crate::run_lists::Presence;

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Scheduler {
    /// Returns the orders that are due, for target instances that have reported.
    ///
    /// Each order counts as in flight until [`Self::handle_order_outcome`].
    pub fn take_due_orders(&mut self, now: Timestamp) -> Vec<TargetOrders> {
        self.withdraw_starts(now);
        self.abandon_unsent();
        let mut orders: BTreeMap<TargetInstance, TargetOrders> = BTreeMap::new();
        self.active.settle();
        let due: Vec<_> = self
            .active
            .unsettled()
            .filter(|(_, active)| self.is_due(active, now))
            .map(|(run, active)| (run.clone(), active.desired()))
            .collect();
        for (run, desired) in due {
            let start = (desired == DesiredState::Run)
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
        self.add_unknown_run_stops(&mut orders, now);
        orders.into_values().collect()
    }

    fn is_due(&self, active: &ActiveRun, now: Timestamp) -> bool {
        // Checked first, since most active runs are running and need no order.
        let needs_order = active.desired() == DesiredState::Stop || !active.started;
        if !needs_order || !active.durable || active.in_flight || now < active.retry_at {
            return false;
        }
        let target = self.target(&active.target.target);
        let Some(target) = target.filter(|target| target.description.instance == active.target)
        else {
            return false;
        };
        match active.desired() {
            // A start grants a lease, and silence is measured from the last report: a start sent
            // long after a report could grant a lease that outlasts the silence timeout.
            DesiredState::Run => {
                !self.starts_held
                    && now.since(target.last_report_at) <= self.limits.max_report_age
                    && self.may_renew_leases(&active.target.vm)
            }
            DesiredState::Stop => true,
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

    fn add_unknown_run_stops(
        &mut self,
        orders: &mut BTreeMap<TargetInstance, TargetOrders>,
        now: Timestamp,
    ) {
        for target in self.targets.values_mut() {
            if target.unknown_runs.is_empty() || now < target.unknown_runs_retry_at {
                continue;
            }
            target.unknown_runs_retry_at = now + self.limits.stop_retry_delay;
            let instance = target.description.instance.clone();
            let for_target = orders
                .entry(instance.clone())
                .or_insert_with(|| TargetOrders {
                    instance,
                    starts: Vec::new(),
                    stops: Vec::new(),
                });
            for_target.stops.extend(target.unknown_runs.iter().cloned());
        }
    }

    /// Withdraws starts that are due on targets that have been closed since the placement; their
    /// tasks can run elsewhere. A start that was sent before may still be carried out, so the run
    /// is stopped like any other.
    fn withdraw_starts(&mut self, now: Timestamp) {
        if self.rules.closed_zones.is_empty() && self.cordoned.is_empty() {
            return;
        }
        let due = self.active.unsettled().filter(|(_, active)| {
            active.desired() == DesiredState::Run && self.is_due(active, now)
        });
        let withdrawn: Vec<_> = due
            .filter_map(|(run, active)| {
                let target = active.target.target.clone();
                let closure = self.closure(self.target(&target)?)?;
                Some((run.clone(), target, closure))
            })
            .collect();
        for (run, target, closure) in withdrawn {
            self.stop_with_gang(&run);
            self.record_event(Event::StartWithdrawn {
                run,
                target,
                closure,
            });
        }
    }

    /// Stops a run, and with it the other members of its gang.
    pub(crate) fn stop_with_gang(&mut self, run: &RunId) {
        let step = &run.task.step;
        let gang = self.step(step).is_some_and(|description| description.gang);
        if gang {
            self.active.stop_gang(step, run.number);
        } else {
            self.active.stop(run);
        }
    }

    /// Abandons runs that were cancelled before any order for them was sent.
    fn abandon_unsent(&mut self) {
        let unsent: Vec<_> = self
            .active
            .unsettled()
            .filter(|(_, active)| active.desired() == DesiredState::Stop && !active.maybe_sent)
            .map(|(run, _)| run.clone())
            .collect();
        for run in unsent {
            self.abandon(&run);
        }
    }

    /// Handles the outcome of an order.
    ///
    /// If the agent sent a report on the target with the outcome, made after the order was carried
    /// out, the caller must pass it to [`Self::handle_report`] first, and its target instance as
    /// `reported`.
    pub fn handle_order_outcome(
        &mut self,
        run: &RunId,
        outcome: OrderOutcome,
        reported: Option<&TargetInstance>,
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
                // A subsequent stop is sent without delay.
                active.retry_at = now;
                if !active.started {
                    active.started = true;
                    active.started_at = Some(now);
                    active.progressed_at = now;
                    let after_ms = millis(now.since(active.placed_at));
                    self.record_event(Event::Started {
                        run: run.clone(),
                        after_ms,
                    });
                }
                self.mark_started(&run.task.step.job);
            }
            OrderOutcome::Refused(refusal) => self.handle_refusal(run, refusal, now),
            OrderOutcome::Stopped if reported == Some(&active.target) => {
                self.handle_stopped(run, now);
            }
            OrderOutcome::Stopped | OrderOutcome::Unknown => {}
        }
    }

    /// Handles a confirmed stop; a run that the following lists show to be absent is gone.
    ///
    /// Partial lists do not show that: the run may have ended, and its end be listed later.
    fn handle_stopped(&mut self, run: &RunId, now: Timestamp) {
        let repeat_at = now + self.limits.stop_retry_delay;
        let Some(active) = self.active.get_mut(run) else {
            return;
        };
        active.retry_at = repeat_at;
        if active.presence == Presence::Absent {
            self.abandon(run);
        }
    }

    fn handle_refusal(&mut self, run: &RunId, refusal: StartRefusal, now: Timestamp) {
        let Some(active) = self.active.get(run) else {
            return;
        };
        let target = active.target.target.clone();
        let started = active.started;
        self.record_event(Event::Refused {
            run: run.clone(),
            target: target.clone(),
            refusal,
        });
        match refusal {
            // Another scheduler has taken over, or the order only needs to be sent again.
            StartRefusal::Fence | StartRefusal::Late => return,
            StartRefusal::NotSent if started => return,
            StartRefusal::Ticket => self.advisor_tickets.invalidate(&run.task.step),
            StartRefusal::Room | StartRefusal::Unhealthy => self.back_off_target(&target, now),
            StartRefusal::Old | StartRefusal::NotSent | StartRefusal::Invalid => {}
        }
        // An earlier copy of the order may still be in transit, so a stop first prevents the run
        // from starting; the following report shows whether it had started.
        if let Some(active) = self.active.get_mut(run) {
            active.retry_at = now;
        }
        self.stop_with_gang(run);
    }

    /// Places no new tasks on a target for a retry delay, after it has refused one.
    fn back_off_target(&mut self, target: &TargetName, now: Timestamp) {
        let until = now + self.limits.order_retry_delay;
        if let Some(target) = self.targets.get_mut(target) {
            target.quarantined_until = target.quarantined_until.max(until);
        }
    }
}
