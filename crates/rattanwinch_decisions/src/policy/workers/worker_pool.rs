use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::RackName;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::policy::workers::ids::JobId;
use crate::policy::workers::slot::Slot;
use crate::policy::workers::worker::Occupant;
use crate::policy::workers::worker::Worker;
use crate::policy::workers::worker::WorkerState;
use crate::policy::workers::worker_id::WorkerId;
use crate::policy::workers::worker_info::WorkerInfo;

/// How long a lost worker still counts as capacity of the empty zone. VMs are replaced within
/// minutes, and a job that needs the whole zone must not be refused during a restart.
pub(crate) const LOST_WORKER_RETENTION: Duration = Duration::from_secs(600);

/// Sort key of a rack. Racks are adjacent in the order of the text and then of the number at the
/// end of their names, so that `r10` follows `r9`.
type RackKey = (String, u64, RackName);

/// One rack.
#[derive(Clone, Debug)]
pub(crate) struct Rack {
    key: RackKey,
    /// Its workers.
    pub workers: Vec<WorkerId>,
}

/// Workers of the zone, by rack.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerPool {
    workers: Vec<Option<Worker>>,
    by_name: BTreeMap<TargetName, WorkerId>,
    /// Racks sorted by [`RackKey`].
    racks: Vec<Rack>,
    generation: u64,
}

fn rack_key(rack: &RackName) -> RackKey {
    let text = rack.as_str();
    let prefix = text.trim_end_matches(|c: char| c.is_ascii_digit());
    let number = text[prefix.len()..].parse().unwrap_or(0);
    (prefix.to_owned(), number, rack.clone())
}

impl WorkerPool {
    /// Generation number, which changes when workers or racks are added or removed.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn find(&self, target: &TargetName) -> Option<WorkerId> {
        self.by_name.get(target).copied()
    }

    pub(crate) fn get(&self, id: WorkerId) -> &Worker {
        self.workers[id.0 as usize]
            .as_ref()
            .expect("ids name workers of the pool")
    }

    pub(crate) fn get_mut(&mut self, id: WorkerId) -> &mut Worker {
        self.workers[id.0 as usize]
            .as_mut()
            .expect("ids name workers of the pool")
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerId, &Worker)> {
        let ids = self.racks.iter().flat_map(|rack| &rack.workers).copied();
        ids.map(|id| (id, self.get(id)))
    }

    pub(crate) fn ids(&self) -> Vec<WorkerId> {
        self.iter().map(|(id, _)| id).collect()
    }

    /// Racks sorted by [`RackKey`].
    pub(crate) fn racks(&self) -> &[Rack] {
        &self.racks
    }

    /// Applies `change` to the job's occupant on each slot.
    pub(crate) fn change_occupant(
        &mut self,
        job: JobId,
        slots: &[Slot],
        change: impl Fn(&mut Occupant),
    ) {
        for slot in slots {
            let worker = self.get_mut(slot.worker);
            for occupant in &mut worker.occupants {
                if occupant.job == job {
                    change(occupant);
                }
            }
            worker.update_sets();
        }
    }

    /// Adds the occupant to each slot.
    pub(crate) fn occupy(&mut self, slots: &[Slot], occupant: &Occupant) {
        for slot in slots {
            let worker = self.get_mut(slot.worker);
            worker.occupants.push(Occupant {
                bits: slot.bits,
                ..occupant.clone()
            });
            worker.update_sets();
        }
    }

    /// Removes the job from each slot.
    pub(crate) fn vacate(&mut self, job: JobId, slots: &[Slot]) {
        for slot in slots {
            let worker = self.get_mut(slot.worker);
            worker.occupants.retain(|occupant| occupant.job != job);
            worker.update_sets();
        }
    }

    /// Adds the worker or updates its rack and size. Returns its id.
    pub(crate) fn upsert(&mut self, info: WorkerInfo, state: WorkerState) -> WorkerId {
        if let Some(id) = self.find(&info.target) {
            if self.get(id).info != info {
                self.remove_from_rack(id);
                self.add_to_rack(id, &info.rack);
                self.get_mut(id).info = info;
            }
            self.get_mut(id).state = state;
            return id;
        }
        let vacant = self.workers.iter().position(Option::is_none);
        let index = vacant.unwrap_or(self.workers.len());
        let id = WorkerId(u32::try_from(index).expect("fewer than 2^32 workers"));
        if vacant.is_none() {
            self.workers.push(None);
        }
        self.by_name.insert(info.target.clone(), id);
        let rack = info.rack.clone();
        self.workers[index] = Some(Worker::new(info, state));
        self.add_to_rack(id, &rack);
        id
    }

    /// Removes workers whose retention has expired and that no job, block or reservation refers to.
    pub(crate) fn remove_expired(&mut self, now: Timestamp) {
        let expired = |worker: &Worker| {
            let WorkerState::Lost(since) = worker.state else {
                return false;
            };
            now.since(since) >= LOST_WORKER_RETENTION
                && worker.occupants.is_empty()
                && worker.blocks.is_empty()
                && worker.head_reserved == 0
        };
        let old: Vec<WorkerId> = self
            .iter()
            .filter(|(_, worker)| expired(worker))
            .map(|(id, _)| id)
            .collect();
        for id in old {
            self.remove_from_rack(id);
            let target = self.get(id).info.target.clone();
            self.by_name.remove(&target);
            self.workers[id.0 as usize] = None;
        }
    }

    fn add_to_rack(&mut self, id: WorkerId, rack: &RackName) {
        self.generation += 1;
        let key = rack_key(rack);
        match self.racks.binary_search_by(|known| known.key.cmp(&key)) {
            Ok(index) => {
                self.racks[index].workers.push(id);
                self.get_mut(id).rack = index;
            }
            Err(index) => {
                let workers = vec![id];
                self.racks.insert(index, Rack { key, workers });
                self.update_rack_indices(index);
            }
        }
    }

    fn remove_from_rack(&mut self, id: WorkerId) {
        self.generation += 1;
        let index = self.get(id).rack;
        let workers = &mut self.racks[index].workers;
        workers.retain(|other| *other != id);
        if workers.is_empty() {
            self.racks.remove(index);
            self.update_rack_indices(index);
        }
    }

    /// Updates the rack index of the workers, from rack `first` on.
    fn update_rack_indices(&mut self, first: usize) {
        for index in first..self.racks.len() {
            for id in self.racks[index].workers.clone() {
                self.get_mut(id).rack = index;
            }
        }
    }
}
