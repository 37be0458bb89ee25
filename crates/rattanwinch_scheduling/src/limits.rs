use std::time::Duration;

use rattanwinch_types::value;

value! { copy
    /// Times that the scheduler counts with; they follow from the site's settings.
    #[derive(bon::Builder)]
    pub struct SchedulingLimits {
        /// After this silence every lease of a target has run out, whatever was on its way.
        pub silence: Duration,
        /// Silence of targets with runs is made durable in steps of this length.
        pub silence_step: Duration,
        /// A target heard less recently than this gets no new tasks.
        pub fresh: Duration,
        /// The wait before an order is sent again.
        pub order_retry: Duration,
        /// The wait before a stop that was confirmed is repeated, if the run is still there.
        pub stop_repeat: Duration,
        /// A step waits this long for its best racks if its queue comes first, and as long as
        /// its estimate otherwise.
        pub urgent_patience: Duration,
        /// How long saved states of running tasks may wait until they are made durable.
        pub save_interval: Duration,
        /// A run without progress for so long is stopped and started elsewhere.
        pub stall: Duration,
        /// The first quarantine of a target; each further one is twice as long.
        pub quarantine: Duration,
        /// The longest quarantine.
        pub quarantine_most: Duration,
    }
}
