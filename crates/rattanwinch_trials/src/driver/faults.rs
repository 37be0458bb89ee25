//! The effects of faults on workers, zones and jobs.

use rattanwinch_decisions::JobEnd;
use rattanwinch_types::TargetName;

use crate::driver::Driver;
use crate::job_run::Stage;
use crate::workload::Fault;

/// The number of failures after which the caller gives up a job.
const MAX_FAILURES: u32 = 8;

impl Driver<'_> {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::WorkerDown(zone, worker) => {
                self.zones[zone].outages[worker] += 1;
                self.lose_worker(zone, worker);
            }
            Fault::WorkerUnresponsive(zone, worker) => {
                let zone_state = &mut self.zones[zone];
                zone_state.outages[worker] += 1;
                if zone_state.outages[worker] == 1 {
                    let target = &zone_state.workers[worker].target;
                    zone_state.map.set_up(target, false);
                    zone_state.scheduler.worker_unresponsive(target, self.now);
                    zone_state.invalidate_fragmentation();
                }
            }
            Fault::WorkerUp(zone, worker) => {
                let zone_state = &mut self.zones[zone];
                zone_state.outages[worker] -= 1;
                if zone_state.outages[worker] == 0 {
                    let info = zone_state.workers[worker].clone();
                    zone_state.map.set_up(&info.target, true);
                    zone_state.scheduler.worker_up(info, self.now);
                    zone_state.invalidate_fragmentation();
                }
            }
            Fault::ExecutorBroken(zone, worker) => self.zones[zone].faulty[worker] = true,
            Fault::ExecutorRepaired(zone, worker) => self.zones[zone].faulty[worker] = false,
            Fault::ZoneClosed(zone) => {
                self.zones[zone].is_closed = true;
                self.zones[zone].scheduler.set_closed(true, self.now);
                for index in self.zones[zone].queued.clone() {
                    self.remove_from_queue(index);
                    self.submit(index);
                }
            }
            Fault::ZoneOpened(zone) => {
                self.zones[zone].is_closed = false;
                self.zones[zone].scheduler.set_closed(false, self.now);
                self.zones[zone].invalidate_fragmentation();
            }
        }
    }

    fn lose_worker(&mut self, zone: usize, worker: usize) {
        let zone_state = &mut self.zones[zone];
        let target = zone_state.workers[worker].target.clone();
        zone_state.map.set_up(&target, false);
        zone_state.scheduler.worker_down(&target, self.now);
        zone_state.invalidate_fragmentation();
        for index in 0..self.runs.len() {
            let job = &self.runs[index];
            let has_started = matches!(job.stage, Stage::Running | Stage::Evicting);
            if has_started && job.placement.tasks.iter().any(|task| task.target == target) {
                self.count_lost_progress(index, false);
                self.release(index, JobEnd::WorkerLost);
                self.submit(index);
            }
        }
    }

    pub(super) fn fail(&mut self, index: usize) {
        let zone = self.runs[index].zone;
        let tasks = &self.runs[index].placement.tasks;
        let is_faulty = |target: &TargetName| {
            let zone_state = &self.zones[zone];
            let position = zone_state
                .workers
                .iter()
                .position(|worker| worker.target == *target);
            position.is_some_and(|worker| zone_state.faulty[worker])
        };
        let always_fails = self.workload.jobs[index].always_fails;
        let failed_workers = tasks
            .iter()
            .enumerate()
            .filter(|(task, place)| is_faulty(&place.target) || (always_fails && *task == 0));
        let failed_workers = failed_workers
            .map(|(_, place)| place.target.clone())
            .collect();
        self.count_lost_progress(index, false);
        self.release(index, JobEnd::Failed { failed_workers });
        self.runs[index].failures += 1;
        if self.runs[index].failures >= MAX_FAILURES {
            self.finish(index, false);
        } else {
            self.submit(index);
        }
    }
}
