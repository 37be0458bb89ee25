use std::time::Duration;

use rattanwinch_types::value;

value! { copy
    /// Times that the scheduler counts with; they follow from the site's settings.
    #[derive(bon::Builder)]
    pub struct SchedulingLimits {
        /// After this silence every lease of a target has run out, whatever was on its way.
        pub silence_timeout: Duration,
        /// Silence of targets with runs is made durable in steps of this length.
        pub silence_record_interval: Duration,
        /// A target heard less recently than this gets no new tasks.
        pub max_report_age: Duration,
        /// The wait before an order is sent again.
        pub order_retry_delay: Duration,
        /// The wait before a stop that was confirmed is repeated, if the run is still there.
        pub stop_retry_delay: Duration,
        /// A step waits this long for its best racks if its queue comes first, and as long as
        /// its estimate otherwise.
        pub urgent_locality_wait: Duration,
        /// How long saved states of running tasks may wait until they are made durable.
        pub checkpoint_write_interval: Duration,
        /// A run without progress for so long is stopped and started elsewhere.
        pub stall_timeout: Duration,
        /// The first quarantine of a target; each further one is twice as long.
        pub initial_quarantine: Duration,
        /// The longest quarantine.
        pub max_quarantine: Duration,
    }
}

impl SchedulingLimits {
    /// The limits of a site; the others follow from the users' sheets.
    ///
    /// `silence` is how long a target's leases can hold after its last report, and
    /// `report_interval` how often it is heard if nothing happens.
    #[must_use]
    pub fn for_site(silence: Duration, report_interval: Duration) -> Self {
        Self::builder()
            .silence_timeout(silence)
            // A quarter of the wait for leases; each step is a write, which costs a tenth of a
            // start.
            .silence_record_interval(Duration::from_secs(4))
            // Two reports and a half.
            .max_report_age(report_interval * 5 / 2)
            // Many times the way of an order and its answer, which is a few milliseconds.
            .order_retry_delay(Duration::from_millis(300))
            // The longest stop on the users' sheets takes 900 ms.
            .stop_retry_delay(Duration::from_millis(1500))
            // A third of the shortest reclaim time on the users' sheets, with the stop after it.
            .urgent_locality_wait(Duration::from_millis(800))
            // Tasks save their state every 0.5 or 2 s, and a write costs a tenth of a start.
            .checkpoint_write_interval(Duration::from_secs(2))
            // Progress is reported in whole per cent each second; one per cent of the longest
            // task on the slowest target of the users' sheets takes 2 s.
            .stall_timeout(Duration::from_millis(3000))
            // Targets that fail all they start do so for 6.5 s on the users' sheets; one that
            // goes on is tried again less and less often.
            .initial_quarantine(Duration::from_secs(5))
            .max_quarantine(Duration::from_secs(40))
            .build()
    }
}
