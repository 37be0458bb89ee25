use std::sync::Arc;

use rattanwinch_decisions::ConfigChange;
use rattanwinch_types::ChangeId;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::Revision;

use super::WireConfigChange;
use crate::AcceptedChange;
use crate::ChangeRequest;

rattanwinch_types::value! { wire
    /// The body of `POST /v1/config/changes`.
    #[serde(deny_unknown_fields)]
    pub struct WireChangeRequest {
        /// The id chosen by the author's program; a retry uses the same id.
        pub id: String,
        /// The author of the change.
        pub author: String,
        /// The reason for the change.
        pub reason: String,
        /// The revision that the author based the change on; 0 if there was no configuration.
        pub based_on: i64,
        /// True to get the effects without making the change.
        #[serde(default)]
        pub dry_run: bool,
        /// The change itself.
        pub change: WireConfigChange,
    }
}

impl TryFrom<WireChangeRequest> for ChangeRequest {
    type Error = RequestError;

    fn try_from(wire: WireChangeRequest) -> Result<Self, RequestError> {
        let invalid = |error: &dyn std::fmt::Display| {
            RequestError::not_run(ErrorKind::Invalid, error.to_string())
        };
        if wire.based_on < 0 {
            let message = format!(
                "invalid based_on {}: expected a revision, or 0",
                wire.based_on
            );
            return Err(RequestError::not_run(ErrorKind::Invalid, message));
        }
        Ok(Self {
            id: ChangeId::new(wire.id).map_err(|error| invalid(&error))?,
            author: Arc::from(wire.author),
            reason: Arc::from(wire.reason),
            based_on: Revision(wire.based_on),
            change: ConfigChange::try_from(wire.change).map_err(|error| invalid(&error))?,
        })
    }
}

rattanwinch_types::value! { wire
    /// The response body of `POST /v1/config/changes`.
    pub struct WireChangeAnswer {
        /// False for a dry run.
        pub accepted: bool,
        /// The revision created by the change, or the base revision of a dry run.
        pub revision: i64,
        /// True if an earlier request with the same id and content made the change.
        pub repeated: bool,
        /// The effects of the change, one sentence each.
        pub effects: Vec<String>,
    }
}

impl WireChangeAnswer {
    /// Creates the response to a dry run.
    #[must_use]
    pub fn dry_run(based_on: Revision, effects: &[Arc<str>]) -> Self {
        Self {
            accepted: false,
            revision: based_on.0,
            repeated: false,
            effects: effects.iter().map(ToString::to_string).collect(),
        }
    }
}

impl From<AcceptedChange> for WireChangeAnswer {
    fn from(change: AcceptedChange) -> Self {
        Self {
            accepted: true,
            revision: change.revision.0,
            repeated: change.repeated,
            effects: change.effects.iter().map(ToString::to_string).collect(),
        }
    }
}
