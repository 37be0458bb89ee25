use std::time::Duration;

use rattanwinch_types::value;

value! { copy
    /// Timeouts and intervals of the scheduler, derived from the site's settings.
    #[derive(bon::Builder)]
    pub struct SchedulingLimits {
        /// The silence of a target after which all its leases have expired, even those in transit.
        pub silence_timeout: Duration,
        /// The granularity in which the silence of targets with runs is made durable.
        pub silence_record_interval: Duration,
        /// A target whose last report is older than this gets no new tasks.
        pub max_report_age: Duration,
        /// The delay before an order is sent again.
        pub order_retry_delay: Duration,
        /// The delay before a confirmed stop is repeated if the run is still reported.
        pub stop_retry_delay: Duration,
        /// How long a step of priority 0 waits for its preferred racks; other steps wait as long as
        /// their estimated run time.
        pub urgent_locality_wait: Duration,
        /// The longest time within which a guaranteed step must have started on reclaimed room.
        pub max_reclaim_time: Duration,
        /// The longest time that a target takes to stop a run.
        pub max_stop_time: Duration,
        /// The interval at which checkpoints and first starts of jobs are made durable.
        pub progress_write_interval: Duration,
        /// The least time without progress after which a run is stopped and started elsewhere; runs
        /// of long steps have more.
        pub stall_timeout: Duration,
        /// The duration of the first quarantine of a target; doubled for each further one.
        pub initial_quarantine: Duration,
        /// The maximum duration of a quarantine.
        pub max_quarantine: Duration,
    }
}

impl SchedulingLimits {
    /// Derives the limits of a site; the other limits follow from the users' requirements.
    ///
    /// `max_reclaim_time` and `max_stop_time` are what the site promises to its organisations and
    /// what its targets promise; `silence_timeout` is how long the leases of a target can last after its last report, and
    /// `report_interval` the interval of its reports while nothing changes.
    #[must_use]
    pub fn for_site(
        silence_timeout: Duration,
        report_interval: Duration,
        max_reclaim_time: Duration,
        max_stop_time: Duration,
    ) -> Self {
        Self::builder()
            .max_reclaim_time(max_reclaim_time)
            .max_stop_time(max_stop_time)
            .silence_timeout(silence_timeout)
            // A quarter of the wait for leases, which bounds how much of it a new scheduler repeats.
            .silence_record_interval(Duration::from_secs(4))
            // Two and a half report intervals.
            .max_report_age(report_interval * 5 / 2)
            // Many times the round trip of an order, which is a few milliseconds.
            .order_retry_delay(Duration::from_millis(300))
            // The slowest stop in the users' requirements takes 900 ms.
            .stop_retry_delay(Duration::from_millis(1500))
            // A third of the shortest reclaim time in the users' requirements, which includes the
            // stop.
            .urgent_locality_wait(Duration::from_millis(800))
            // Tasks write checkpoints every 0.5 or 2 s; a lost record repeats at most this much work.
            .progress_write_interval(Duration::from_secs(2))
            // Progress is reported in whole per cent each second. One per cent of the longest
            // task on the slowest target in the users' requirements takes 2 s.
            .stall_timeout(Duration::from_millis(3000))
            // A target that fails every run does so for 6.5 s in the users' requirements. A
            // target that keeps failing is retried less and less often.
            .initial_quarantine(Duration::from_secs(5))
            .max_quarantine(Duration::from_secs(40))
            .build()
    }
}
