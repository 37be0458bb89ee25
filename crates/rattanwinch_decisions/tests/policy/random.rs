//! A long randomised run of the policy over arbitrary orders of events.

use std::collections::BTreeMap;
use std::time::Duration;

use arbitrary::Unstructured;
use rattanwinch_decisions::Decision;
use rattanwinch_decisions::JobEnd;
use rattanwinch_decisions::Placement;
use rattanwinch_decisions::ZonePolicy;
use rattanwinch_testing::PropertyTest;
use rattanwinch_types::Adjacency;
use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::JobSpec;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::RequestKey;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;

use crate::fixtures;

const WORKERS: usize = 11;

/// The caller of the policy, who keeps books of its own.
struct Caller {
    policy: ZonePolicy,
    cfg: FleetConfig,
    now: Timestamp,
    specs: Vec<JobSpec>,
    started: BTreeMap<RequestKey, Placement>,
    usable: BTreeMap<TargetName, bool>,
    next_id: u32,
}

impl Caller {
    fn new(u: &mut Unstructured<'_>) -> arbitrary::Result<Self> {
        let mut caller = Self {
            policy: ZonePolicy::new(fixtures::zone()),
            cfg: fixtures::config(Vec::new()),
            now: Timestamp::ZERO,
            specs: Vec::new(),
            started: BTreeMap::new(),
            usable: BTreeMap::new(),
            next_id: 0,
        };
        for index in 0..u.int_in_range(0..=WORKERS)? {
            caller.worker_ready(index);
        }
        Ok(caller)
    }

    fn worker_ready(&mut self, index: usize) {
        let worker = fixtures::worker(index);
        self.usable.insert(worker.target.clone(), true);
        self.policy.worker_ready(worker, self.now);
    }

    fn submit(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let organisation = *u.choose(&["a", "b", "c", "d"])?;
        let each = *u.choose(&[1, 2, 4, 8])?;
        let adjacency = *u.choose(&[
            Adjacency::Zone,
            Adjacency::Racks,
            Adjacency::Rack,
            Adjacency::Worker,
        ])?;
        let most = if adjacency == Adjacency::Worker {
            8 / u16::from(each)
        } else {
            9
        };
        let shape = fixtures::shape(u.int_in_range(1..=most)?, each, adjacency);
        self.next_id += 1;
        let mut spec = fixtures::job(
            fixtures::key(organisation, &self.next_id.to_string()),
            shape,
        );
        spec.declared_run_time = Duration::from_secs(u.int_in_range(0..=20_000)?);
        spec.deadline = self.now + Duration::from_secs(u.int_in_range(1..=50_000)?);
        if u.ratio(1, 5)? {
            spec.urgency = Urgency::Urgent;
        }
        self.specs.push(spec.clone());
        let _ = self.policy.submit(spec, self.now);
        Ok(())
    }

    fn resubmit(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        if let Ok(spec) = u.choose_iter(self.specs.iter()) {
            let _ = self.policy.submit(spec.clone(), self.now);
        }
        Ok(())
    }

    fn pick_started(&self, u: &mut Unstructured<'_>) -> Option<RequestKey> {
        u.choose_iter(self.started.keys()).ok().cloned()
    }

    fn end(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let Some(key) = self.pick_started(u) else {
            return Ok(());
        };
        let placement = self.started.remove(&key).expect("it was picked");
        let failed_workers = placement.tasks.iter().take(u.int_in_range(0..=3)?);
        let failed_workers: Vec<TargetName> =
            failed_workers.map(|task| task.target.clone()).collect();
        match u.int_in_range(0..=5)? {
            0 => self
                .policy
                .job_start_failed(&key, &failed_workers, self.now),
            1 => {
                let failed_workers = failed_workers.into_iter().collect();
                self.policy
                    .job_ended(&key, JobEnd::Failed { failed_workers }, self.now);
            }
            2 => self.policy.job_ended(&key, JobEnd::Evicted, self.now),
            3 => self.policy.job_ended(&key, JobEnd::WorkerLost, self.now),
            4 => self.policy.job_ended(&key, JobEnd::Cancelled, self.now),
            _ => self.policy.job_ended(&key, JobEnd::Succeeded, self.now),
        }
        // A start that fails after the tasks were released is no such start; the caller reports
        // the job's end.
        self.policy.job_ended(&key, JobEnd::WorkerLost, self.now);
        Ok(())
    }

    fn change_config(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let mut cfg = fixtures::config(Vec::new());
        for name in ["a", "b", "c"] {
            for _ in 0..u.int_in_range(0..=2)? {
                let accelerators = *u.choose(&[1, 2, 4, 8, 16, 24, 32, 3])?;
                let blocks = u.int_in_range(0..=3)?;
                cfg.guarantees
                    .push(fixtures::guarantee(name, blocks, accelerators));
            }
        }
        if u.ratio(1, 4)? {
            cfg.organisations.push(OrganisationConfig {
                name: "d".parse().expect("a valid name"),
                quota_accelerators: Some(u.int_in_range(0..=40)?),
            });
        }
        if u.ratio(1, 3)? {
            cfg.exceptions
                .push(exception(ExceptionEffect::CloseZone(fixtures::zone())));
        }
        if u.ratio(1, 3)? {
            let target = fixtures::worker(u.int_in_range(0..=WORKERS - 1)?).target;
            cfg.exceptions
                .push(exception(ExceptionEffect::ExcludeTarget(target)));
        }
        self.policy.set_config(&cfg, self.now);
        self.cfg = cfg;
        Ok(())
    }

    fn change_worker(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let index = u.int_in_range(0..=WORKERS - 1)?;
        let target = fixtures::worker(index).target;
        let change = u.int_in_range(0..=5)?;
        if change > 2 {
            self.worker_ready(index);
            return Ok(());
        }
        self.usable.insert(target.clone(), false);
        match change {
            0 => self.policy.worker_unknown(&target, self.now),
            1 => self.policy.worker_leaving(&target, self.now),
            _ => self.policy.worker_lost(&target, self.now),
        }
        Ok(())
    }

    fn restore(&mut self) {
        let specs = self.specs.iter();
        let by_key: BTreeMap<_, _> = specs.map(|spec| (&spec.key, spec)).collect();
        let mut policy = ZonePolicy::new(fixtures::zone());
        policy.set_config(&self.cfg, self.now);
        for (key, placement) in &self.started {
            policy.restore_running(by_key[key].clone(), placement.clone(), self.now);
        }
        for (index, worker) in (0..WORKERS).map(fixtures::worker).enumerate() {
            if self.usable.get(&worker.target) == Some(&true) && index % 2 == 0 {
                policy.worker_ready(worker, self.now);
            } else {
                self.usable.insert(worker.target, false);
            }
        }
        self.policy = policy;
    }

    fn decide(&mut self) {
        let is_closed = self.cfg.zone_closure(&fixtures::zone()).is_some();
        for decision in self.policy.decide(self.now) {
            match decision {
                Decision::Start { key, placement, .. } => {
                    assert!(!is_closed, "{key} starts in a closed zone");
                    self.check_start(&key, &placement);
                    self.started.insert(key, placement);
                }
                Decision::Evict { key, .. } => {
                    assert!(self.started.contains_key(&key), "{key} doesn't run");
                }
                Decision::Refuse { key, .. } => {
                    assert!(
                        !self.started.contains_key(&key),
                        "{key} is refused and runs"
                    );
                }
            }
        }
    }

    fn check_start(&self, key: &RequestKey, placement: &Placement) {
        let spec = self.specs.iter().find(|spec| spec.key == *key);
        let shape = spec.expect("it was submitted").shape;
        assert_eq!(placement.tasks.len(), usize::from(shape.tasks()));
        for (index, task) in placement.tasks.iter().enumerate() {
            assert_eq!(
                task.accelerators.count(),
                u32::from(shape.accelerators_per_task())
            );
            assert_eq!(
                self.usable.get(&task.target),
                Some(&true),
                "{} isn't usable",
                task.target
            );
            assert!(self.cfg.target_exclusion(&task.target).is_none());
            let others = placement.tasks.iter().take(index);
            for other in others.chain(self.started.values().flat_map(|other| &other.tasks)) {
                let is_shared = other.target == task.target;
                assert!(!(is_shared && other.accelerators.overlaps(task.accelerators)));
            }
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        match u.int_in_range(0..=31)? {
            0..=9 => self.submit(u)?,
            10..=17 => self.end(u)?,
            18..=21 => {
                if let Some(key) = self.pick_started(u) {
                    self.policy.job_started(&key, self.now);
                }
            }
            22 => self.resubmit(u)?,
            23 => {
                if let Ok(spec) = u.choose_iter(self.specs.iter()) {
                    self.policy.cancel(&spec.key, self.now);
                }
            }
            24 | 25 => self.change_worker(u)?,
            26 => self.change_config(u)?,
            27 if u.ratio(1, 8)? => self.restore(),
            _ => {
                let longest = *u.choose(&[100, 1000, 40_000, 2_000_000])?;
                self.now = self.now + Duration::from_millis(u.int_in_range(1..=longest)?);
            }
        }
        if u.ratio(2, 3)? {
            self.decide();
            self.policy.check_invariants().expect("the invariants hold");
        }
        assert_eq!(self.policy.violation_count(), 0);
        Ok(())
    }
}

fn exception(effect: ExceptionEffect) -> Exception {
    Exception {
        id: "x".parse().expect("a valid name"),
        effect,
        reason: "maintenance".into(),
        author: "operator".into(),
        at: Timestamp::ZERO,
    }
}

/// Seeds that showed a reservation on a worker which had left.
const KNOWN_SEEDS: [u64; 5] = [
    0x3ed1_500b,
    0x047c_251e,
    0x4fe8_2f92,
    0xbc76_d39b,
    0x9376_9ad5,
];

/// Guards against any order of events that grants an accelerator twice, starts work where it
/// must not run, makes a guarantee unreclaimable or loses count.
#[test]
fn invariants_hold_for_arbitrary_orders_of_events() {
    let (mut all_steps, mut started) = (0_u64, 0_u64);
    let run = PropertyTest::new("policy")
        .with_regression_seeds(&KNOWN_SEEDS)
        .with_seeds(60)
        .with_entropy_bytes(16_384);
    run.run(|u| {
        let (mut caller, mut steps) = (Caller::new(u)?, 0);
        while !u.is_empty() {
            caller.step(u)?;
            steps += 1;
        }
        started += caller.started.len() as u64;
        all_steps += steps;
        Ok(steps)
    });
    assert!(
        all_steps > 10_000 && started > 0,
        "only {all_steps} steps and {started} jobs"
    );
}
