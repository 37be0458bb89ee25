//! Room that is kept for large steps, and what it keeps other work from.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::StepDescription;

use crate::fixture::Fixture;
use crate::fixture::step;

fn gang(count: u32, accelerators: u64) -> StepDescription {
    StepDescription {
        gang: true,
        ..step(count, accelerators)
    }
}

fn lasting(count: u32, accelerators: u64) -> StepDescription {
    StepDescription {
        long_running: true,
        ..step(count, accelerators)
    }
}

fn taking(seconds: u64, step: StepDescription) -> StepDescription {
    StepDescription {
        estimated_run_time: Duration::from_secs(seconds),
        ..step
    }
}

/// Returns true if a task of the job runs, or has run.
fn has_started(site: &Fixture, job: &JobId) -> bool {
    site.scheduler
        .job_state(job)
        .is_some_and(|state| state.as_str() != "queued")
}

/// A site whose jobs take as long as given from their start on, with progress reported accordingly.
struct Play {
    site: Fixture,
    /// Each job with its run time, and when it was submitted and started, in milliseconds.
    jobs: Vec<(JobId, u64, u64, Option<u64>)>,
    /// When each run started, in milliseconds.
    started: BTreeMap<RunId, u64>,
    clock_ms: u64,
}

impl Play {
    const STEP_MS: u64 = 100;

    fn new(targets: usize) -> Self {
        let mut site = Fixture::new(targets);
        // The runs of the fixture make progress by themselves, unlike those of a play.
        site.is_hung = true;
        Self {
            site,
            jobs: Vec::new(),
            started: BTreeMap::new(),
            clock_ms: 0,
        }
    }

    fn submit(&mut self, priority: u32, run_ms: u64, step: StepDescription) -> usize {
        self.submit_estimated(priority, run_ms, run_ms, step)
    }

    fn submit_estimated(
        &mut self,
        priority: u32,
        run_ms: u64,
        estimate_ms: u64,
        step: StepDescription,
    ) -> usize {
        // A target whose accelerators are all in use has no free core either.
        let resources = Resources {
            cpu_millis: 8_000 * step.resources.accelerators,
            ..step.resources
        };
        let step = StepDescription {
            estimated_run_time: Duration::from_millis(estimate_ms),
            resources,
            ..step
        };
        let job = self.site.submit(priority, "a", &[step]);
        self.jobs.push((job, run_ms, self.clock_ms, None));
        self.jobs.len() - 1
    }

    fn play(&mut self, millis: u64) {
        for _ in 0..millis / Self::STEP_MS {
            self.clock_ms += Self::STEP_MS;
            self.work();
            self.site.wait(Self::STEP_MS);
            self.site.step();
            for (job, _, _, started) in &mut self.jobs {
                if started.is_none() && has_started(&self.site, job) {
                    *started = Some(self.clock_ms);
                }
            }
        }
    }

    /// Reports the progress of all runs, and ends those that have worked for long enough.
    fn work(&mut self) {
        let mut ended = Vec::new();
        for number in 0..self.site.target_count() {
            for running in &mut self.site.report_mut(number).lists.running {
                let job = &running.run.task.step.job;
                let job = self.jobs.iter().find(|(id, ..)| id == job);
                let run_ms = job.expect("a job of the play").1;
                let started = self.started.entry(running.run.clone());
                let worked = self.clock_ms - *started.or_insert(self.clock_ms - Self::STEP_MS);
                let percent = (worked * 100 / run_ms).min(99);
                running.percent = u32::try_from(percent).expect("below 100");
                if worked >= run_ms {
                    ended.push(running.run.clone());
                }
            }
        }
        for run in ended {
            self.site.end(&run, RunOutcome::Done);
        }
    }

    /// Returns how long a job waited for its first start; `None` if it has not started.
    fn waited_ms(&self, job: usize) -> Option<u64> {
        let (_, _, submitted, started) = &self.jobs[job];
        started.map(|started| started - submitted)
    }
}

/// Guards against a gang that can't start while a lasting task runs, and keeps later work off an
/// idle site for as long.
#[test]
fn no_room_is_kept_beside_a_run_that_lasts() {
    let mut site = Fixture::new(3);
    let serving = site.submit(2, "a", &[lasting(1, 1)]);
    site.step();
    assert_eq!(site.running(&serving).len(), 1);
    let wide = site.submit(1, "a", &[gang(3, 8)]);
    site.play(2_000);
    let small = site.submit(2, "a", &[taking(8, step(1, 1))]);
    site.play(100);
    assert!(has_started(&site, &small));
    assert!(!has_started(&site, &wide));
    // Once the lasting run is gone, the gang waits for the small one alone.
    site.scheduler.cancel(&serving);
    site.play(2_000);
    site.end_job(&small, RunOutcome::Done);
    site.play(200);
    assert_eq!(site.running(&wide).len(), 3);
}

/// Guards against small tasks that take each piece of room as it becomes free, so that a gang never
/// starts.
#[test]
fn a_gang_starts_although_small_tasks_keep_coming() {
    for targets in 1..=4 {
        let mut play = Play::new(targets);
        let mut gang_index = None;
        for round in 0..60 {
            // Two thirds of the site, in tasks of 4 s that start one after the other.
            for _ in 0..targets {
                play.submit(1, 4_000, step(1, 1));
            }
            if round == 10 {
                let count = u32::try_from(targets).expect("a few targets");
                gang_index = Some(play.submit(1, 2_000, gang(count, 8)));
            }
            play.play(700);
        }
        let waited = play.waited_ms(gang_index.expect("a gang"));
        let waited = waited.unwrap_or_else(|| panic!("{targets} targets: the gang starves"));
        // The longest run, the time before room is kept, and the delay of a pass.
        assert!(waited <= 5_500, "{targets} targets: {waited} ms");
    }
}

/// Guards against kept room that stays idle although work would be over before it is needed.
#[test]
fn work_that_is_over_in_time_uses_kept_room() {
    let mut play = Play::new(2);
    let long = play.submit(2, 8_000, step(1, 5));
    play.play(100);
    let wide = play.submit(1, 2_000, gang(2, 8));
    play.play(1_500);
    let short = play.submit(2, 3_000, step(1, 3));
    let too_long = play.submit(2, 30_000, step(1, 3));
    play.play(1_000);
    assert_eq!(play.waited_ms(long), Some(100));
    assert_eq!(play.waited_ms(short), Some(100));
    assert_eq!(play.waited_ms(too_long), None);
    play.play(7_000);
    let waited = play.waited_ms(wide).expect("the gang has started");
    assert!(
        waited <= 8_200,
        "the short task delayed the gang: {waited} ms"
    );
}

/// Guards against room that is kept without an end, because a run takes far longer than expected.
#[test]
fn a_reservation_lapses_when_runs_do_not_end_in_time() {
    let mut play = Play::new(2);
    let late = play.submit_estimated(1, 60_000, 4_000, step(1, 8));
    play.play(100);
    let wide = play.submit(1, 2_000, gang(2, 8));
    play.play(2_000);
    let other = play.submit(2, 60_000, step(1, 8));
    play.play(1_000);
    assert_eq!(play.waited_ms(other), None, "the room is kept at first");
    // The run was expected to take 3 s more, and may take a second longer.
    play.play(2_500);
    let waited = play.waited_ms(other).expect("the room is kept no longer");
    assert!(waited <= 3_500, "{waited} ms");
    assert_eq!(play.waited_ms(wide), None);
    let events = play.site.scheduler.take_events();
    let lapsed = events.iter().find_map(|event| match event {
        Event::ReservationLapsed { awaited, .. } => Some(awaited),
        _ => None,
    });
    let [awaited] = &lapsed.expect("an event")[..] else {
        panic!("{lapsed:?}");
    };
    assert_eq!(awaited.task.step.job, play.jobs[late].0);
}

/// Guards against steps that wait beside a mostly idle service for room that is expected late.
#[test]
fn no_step_waits_for_long_beside_idle_room() {
    let mut play = Play::new(3);
    play.submit(2, 60_000, step(1, 1));
    play.play(100);
    let wide = play.submit(1, 2_000, gang(3, 8));
    play.play(1_500);
    let long = play.submit(2, 100_000, step(1, 1));
    let serving = play.submit(2, 1_000_000, lasting(1, 1));
    play.play(3_000);
    for job in [long, serving] {
        let waited = play.waited_ms(job).expect("the job has started");
        assert!(waited < 3_000, "{waited} ms");
    }
    assert_eq!(play.waited_ms(wide), None);
}

/// Guards against many gangs that keep each other, or all other work, waiting.
#[test]
fn many_gangs_and_small_tasks_all_start() {
    let mut play = Play::new(4);
    let mut gangs = Vec::new();
    let mut small = Vec::new();
    for round in 0..40 {
        if round % 4 == 0 {
            let count = 1 + round % 3;
            gangs.push(play.submit(1, 1_500, gang(count, 8)));
        }
        small.push(play.submit(1, 2_000, step(2, 1)));
        small.push(play.submit(2, 2_000, step(2, 1)));
        play.play(900);
    }
    play.play(15_000);
    for job in gangs.into_iter().chain(small) {
        let waited = play.waited_ms(job).expect("each job starts");
        assert!(waited <= 15_000, "job {job} waited {waited} ms");
    }
}

/// Guards against shorter work that delays a task whose room is expected soon, because other tasks
/// of its step have to wait for longer.
#[test]
fn each_task_of_a_step_has_its_own_time() {
    let mut play = Play::new(2);
    play.submit(2, 4_000, step(1, 5));
    play.submit(2, 60_000, step(1, 8));
    play.play(100);
    let wide = play.submit(1, 2_000, step(2, 8));
    play.play(1_500);
    let short = play.submit(2, 1_000, step(1, 2));
    let longer = play.submit(2, 30_000, step(1, 2));
    play.play(200);
    assert_eq!(play.waited_ms(short), Some(100));
    assert_eq!(play.waited_ms(longer), None);
    play.play(2_500);
    let waited = play.waited_ms(wide).expect("a task has started");
    assert!(waited <= 4_100, "{waited} ms");
}

/// Guards against a step that loses its room to smaller tasks while its own start one after the
/// other as expected.
#[test]
fn a_reservation_goes_on_while_tasks_of_its_step_start() {
    let mut play = Play::new(1);
    let wide = play.submit(1, 3_000, step(4, 8));
    for _ in 0..14 {
        play.submit(2, 3_000, step(1, 1));
        play.play(1_000);
    }
    let events = play.site.scheduler.take_events();
    let of_wide = |event: &&Event| matches!(event, Event::Placed { step, .. } if step.job == play.jobs[wide].0);
    assert_eq!(events.iter().filter(of_wide).count(), 4);
    let wide = &play.jobs[wide].0;
    let lapsed =
        |event: &Event| matches!(event, Event::ReservationLapsed { step, .. } if step.job == *wide);
    assert!(!events.iter().any(lapsed), "{events:?}");
}
