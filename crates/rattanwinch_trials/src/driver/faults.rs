//! What happens to workers, zones and jobs that fail.

use rattanwinch_decisions::JobEnd;
use rattanwinch_types::TargetName;

use crate::driver::Driver;
use crate::job_run::Stage;
use crate::workload::Fault;

/// The caller gives a job up after so many failures.
const MOST_FAILURES: u32 = 8;

impl Driver<'_> {
    pub(super) fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::WorkerDown(zone, worker) => {
                self.zones[zone].outages[worker] += 1;
                self.lose_worker(zone, worker);
            }
            Fault::WorkerSilent(zone, worker) => {
                let run = &mut self.zones[zone];
                run.outages[worker] += 1;
                if run.outages[worker] == 1 {
                    let target = &run.workers[worker].target;
                    run.map.set_up(target, false);
                    run.scheduler.worker_silent(target, self.now);
                    run.touch();
                }
            }
            Fault::WorkerUp(zone, worker) => {
                let run = &mut self.zones[zone];
                run.outages[worker] -= 1;
                if run.outages[worker] == 0 {
                    let info = run.workers[worker].clone();
                    run.map.set_up(&info.target, true);
                    run.scheduler.worker_up(info, self.now);
                    run.touch();
                }
            }
            Fault::ExecutorBroken(zone, worker) => self.zones[zone].broken[worker] = true,
            Fault::ExecutorRepaired(zone, worker) => self.zones[zone].broken[worker] = false,
            Fault::ZoneClosed(zone) => {
                self.zones[zone].is_closed = true;
                self.zones[zone].scheduler.set_closed(true, self.now);
                for index in self.zones[zone].queued.clone() {
                    self.unqueue(index);
                    self.submit(index);
                }
            }
            Fault::ZoneOpened(zone) => {
                self.zones[zone].is_closed = false;
                self.zones[zone].scheduler.set_closed(false, self.now);
                self.zones[zone].touch();
            }
        }
    }

    fn lose_worker(&mut self, zone: usize, worker: usize) {
        let run = &mut self.zones[zone];
        let target = run.workers[worker].target.clone();
        run.map.set_up(&target, false);
        run.scheduler.worker_down(&target, self.now);
        run.touch();
        for index in 0..self.runs.len() {
            let job = &self.runs[index];
            let has_started = matches!(job.stage, Stage::Running | Stage::Leaving);
            if has_started && job.placement.tasks.iter().any(|task| task.target == target) {
                self.lose_progress(index, false);
                self.release(index, JobEnd::WorkerLost);
                self.submit(index);
            }
        }
    }

    pub(super) fn fail(&mut self, index: usize) {
        let zone = self.runs[index].zone;
        let tasks = &self.runs[index].placement.tasks;
        let broken = |target: &TargetName| {
            let run = &self.zones[zone];
            let position = run
                .workers
                .iter()
                .position(|worker| worker.target == *target);
            position.is_some_and(|worker| run.broken[worker])
        };
        let is_faulty = self.workload.jobs[index].is_faulty;
        let failed_workers = tasks
            .iter()
            .enumerate()
            .filter(|(task, place)| broken(&place.target) || (is_faulty && *task == 0));
        let failed_workers = failed_workers
            .map(|(_, place)| place.target.clone())
            .collect();
        self.lose_progress(index, false);
        self.release(index, JobEnd::Failed { failed_workers });
        self.runs[index].failures += 1;
        if self.runs[index].failures >= MOST_FAILURES {
            self.finish(index, false);
        } else {
            self.submit(index);
        }
    }
}
