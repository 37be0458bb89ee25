use std::time::Duration;

use rattanwinch_types::ErrorKind;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::RequestError;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;

/// What a call that asks the gate returns.
pub type Result<T> = std::result::Result<T, RequestError>;

/// How long an answered heartbeat lets plain requests start. An agent that was frozen across a
/// closing goes on later than this and first has to hear an entry again; the 2 s leave 3 s of the
/// bound on closings for the closing's way to the entries.
const HEARD_FOR: Duration = Duration::from_secs(2);

rattanwinch_types::value! {
    /// What an agent may start now, from its latest view of the configuration.
    ///
    /// The value is immutable; each response to a heartbeat makes a new one. The revision never
    /// goes back, so a response that was late or comes from an entry that lags changes nothing.
    pub struct AdmissionGate {
        /// The configuration revision that the view is from.
        pub config_revision: Revision,
        /// Whether operators have closed the availability zone.
        pub zone_closed: bool,
        /// Whether the target is leaving.
        pub leaving: bool,
        /// Until when the view is known to be fresh.
        pub fresh_until: Timestamp,
        /// When the last answered heartbeat was sent whose answer wasn't from an older view.
        pub heard_at: Timestamp,
        /// How long after `fresh_until` plain requests are still taken.
        pub plain_when_stale: Duration,
    }
}

impl Default for AdmissionGate {
    /// The gate before the first heartbeat: nothing may start.
    fn default() -> Self {
        Self {
            config_revision: Revision(0),
            zone_closed: false,
            leaving: false,
            fresh_until: Timestamp::ZERO,
            heard_at: Timestamp::ZERO,
            plain_when_stale: Duration::ZERO,
        }
    }
}

impl AdmissionGate {
    /// The gate after the response to a heartbeat that was sent at `sent_at`.
    ///
    /// Freshness runs from the sending, not from the response's arrival, because the entry's
    /// view may have been taken at any moment in between.
    #[must_use]
    pub fn after_heartbeat(&self, sent_at: Timestamp, response: &HeartbeatResponse) -> Self {
        if response.config_revision < self.config_revision {
            return self.clone();
        }
        // An entry that has lost the store says for how long: taking its view as fresh at each
        // heartbeat would restart `plain_when_stale` every time, so that it would never end.
        let fresh_until = sent_at + response.freshness - response.stale_for;
        Self {
            config_revision: response.config_revision,
            zone_closed: response.zone_closed,
            leaving: self.leaving,
            fresh_until: self.fresh_until.max(fresh_until),
            heard_at: self.heard_at.max(sent_at),
            plain_when_stale: response.plain_when_stale,
        }
    }

    /// The same gate for a target that is leaving.
    #[must_use]
    pub fn with_leaving(&self) -> Self {
        Self {
            leaving: true,
            ..self.clone()
        }
    }

    /// Whether a gang's task may start.
    ///
    /// # Errors
    ///
    /// With the verdict "not run": [`ErrorKind::Closed`] if the zone is closed,
    /// [`ErrorKind::Unavailable`] if the target is leaving or the view isn't fresh.
    pub fn check_gang_start(&self, now: Timestamp) -> Result<()> {
        self.check_open()?;
        if now >= self.fresh_until {
            return refuse("the view of closed availability zones is out of date");
        }
        Ok(())
    }

    /// Whether a plain request may run.
    ///
    /// # Errors
    ///
    /// As [`Self::check_gang_start`], but a view that entries confirm without the store is accepted
    /// for `plain_when_stale`. An agent that hears no entry takes nothing: without that, one that
    /// was frozen would start what it has queued in a zone that was closed in the meantime.
    pub fn check_plain_request(&self, now: Timestamp) -> Result<()> {
        self.check_open()?;
        if now >= self.heard_until() {
            return refuse("the target has heard no entry for too long");
        }
        if now >= self.fresh_until + self.plain_when_stale {
            return refuse("the view of closed availability zones has been out of date too long");
        }
        Ok(())
    }

    /// The moment from which no plain request may start any more, unless another heartbeat is
    /// answered; [`Self::check_plain_request`] refuses from then on.
    #[must_use]
    pub fn plain_until(&self) -> Timestamp {
        self.heard_until()
            .min(self.fresh_until + self.plain_when_stale)
    }

    fn heard_until(&self) -> Timestamp {
        self.fresh_until.max(self.heard_at + HEARD_FOR)
    }

    fn check_open(&self) -> Result<()> {
        if self.leaving {
            return refuse("the target is leaving");
        }
        if self.zone_closed {
            let message = "operators have closed the availability zone";
            return Err(RequestError::not_run(ErrorKind::Closed, message));
        }
        Ok(())
    }
}

fn refuse(message: &str) -> Result<()> {
    Err(RequestError::not_run(ErrorKind::Unavailable, message))
}
