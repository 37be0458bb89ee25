use std::fmt;

use crate::Organisation;
use crate::RequestId;

crate::value! { copy
    /// The modification revision of a key in the platform's store; 0 is older than any.
    #[derive(Default)]
    pub struct Revision(pub i64);
}

crate::value! { copy
    /// The fencing token of an availability zone's decider: the store revision of its takeover.
    ///
    /// Zero is lower than the epoch of any decider.
    pub struct Epoch(pub i64);
}

crate::value! { copy
    /// Identifies one run of a process; a random number drawn at its start.
    pub struct Incarnation(pub u64);
}

/// Identifies a request or a job: the organisation and the caller's id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// The organisation that owns the request.
    pub organisation: Organisation,
    /// The caller's id, unique within the organisation.
    pub id: RequestId,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.id)
    }
}

/// Identifies an attempt at a request or job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The request or job.
    pub key: RequestKey,
    /// The number of the attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.key, self.attempt)
    }
}
