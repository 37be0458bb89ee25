use std::time::Duration;

use rattanwinch_types::ErrorKind;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::RequestError;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;

/// Result of a check of the gate.
pub type Result<T> = std::result::Result<T, RequestError>;

/// How long an answered heartbeat lets plain requests start. An agent that was frozen while its
/// zone was closed resumes after this time and first needs another heartbeat response. The 2 s
/// leave 3 s of the time limit for closing a zone, in which the entries learn of the closure.
const HEARTBEAT_VALIDITY: Duration = Duration::from_secs(2);

rattanwinch_types::value! {
    /// Admission of starts at an agent, according to its latest view of the configuration.
    ///
    /// The value is immutable; each heartbeat response creates a new one. The revision never
    /// decreases, so a late response or one from a lagging entry has no effect.
    pub struct AdmissionGate {
        /// Configuration revision of the view.
        pub config_revision: Revision,
        /// Whether operators have closed the availability zone.
        pub zone_closed: bool,
        /// Whether the target is leaving.
        pub leaving: bool,
        /// When the view expires.
        pub fresh_until: Timestamp,
        /// When the last answered heartbeat was sent, not counting responses from an older view.
        pub last_heartbeat_at: Timestamp,
        /// How long after `fresh_until` plain requests are still accepted.
        pub plain_when_stale: Duration,
    }
}

impl Default for AdmissionGate {
    /// The gate before the first heartbeat, which admits nothing.
    fn default() -> Self {
        Self {
            config_revision: Revision(0),
            zone_closed: false,
            leaving: false,
            fresh_until: Timestamp::ZERO,
            last_heartbeat_at: Timestamp::ZERO,
            plain_when_stale: Duration::ZERO,
        }
    }
}

impl AdmissionGate {
    /// Returns the gate after the response to a heartbeat that was sent at `sent_at`.
    ///
    /// Freshness counts from the time of sending, because the entry's view may have been taken at
    /// any time before the response arrived.
    #[must_use]
    pub fn after_heartbeat(&self, sent_at: Timestamp, response: &HeartbeatResponse) -> Self {
        if response.config_revision < self.config_revision {
            return self.clone();
        }
        // An entry without the store reports how long its view has been stale. If its view counted
        // as fresh at each heartbeat, `plain_when_stale` would restart every time and never end.
        let fresh_until = sent_at + response.freshness - response.stale_for;
        Self {
            config_revision: response.config_revision,
            zone_closed: response.zone_closed,
            leaving: self.leaving,
            fresh_until: self.fresh_until.max(fresh_until),
            last_heartbeat_at: self.last_heartbeat_at.max(sent_at),
            plain_when_stale: response.plain_when_stale,
        }
    }

    /// Returns the gate for a target that is leaving.
    #[must_use]
    pub fn with_leaving(&self) -> Self {
        Self {
            leaving: true,
            ..self.clone()
        }
    }

    /// Checks that a gang's task may start.
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

    /// Checks that a plain request may run.
    ///
    /// # Errors
    ///
    /// As [`Self::check_gang_start`], but a view that entries confirm without the store is accepted
    /// for `plain_when_stale`. An agent without heartbeat responses accepts nothing: otherwise, an
    /// agent that was frozen would start its queued requests in a zone that was closed in the
    /// meantime.
    pub fn check_plain_request(&self, now: Timestamp) -> Result<()> {
        self.check_open()?;
        if now >= self.heartbeat_valid_until() {
            return refuse("the target has received no heartbeat response for too long");
        }
        if now >= self.fresh_until + self.plain_when_stale {
            return refuse(
                "the view of closed availability zones has been out of date for too long",
            );
        }
        Ok(())
    }

    /// Returns when [`Self::check_plain_request`] starts to refuse, unless another heartbeat is
    /// answered.
    #[must_use]
    pub fn plain_until(&self) -> Timestamp {
        self.heartbeat_valid_until()
            .min(self.fresh_until + self.plain_when_stale)
    }

    fn heartbeat_valid_until(&self) -> Timestamp {
        self.fresh_until
            .max(self.last_heartbeat_at + HEARTBEAT_VALIDITY)
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
