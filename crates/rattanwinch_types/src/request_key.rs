use std::fmt;

use crate::Organisation;
use crate::RequestId;

crate::value! { copy
    /// The version of a key in the platform's store (its modification revision); 0 is older
    /// than any.
    #[derive(Default)]
    pub struct Revision(pub i64);
}

crate::value! { copy
    /// The fencing token of an availability zone's decider: the revision at which it took over.
    ///
    /// Zero is older than any decider.
    pub struct Epoch(pub i64);
}

crate::value! { copy
    /// One life of a process, drawn at random when it starts.
    pub struct Incarnation(pub u64);
}

/// What identifies a request or a job: the caller's id within an organisation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// The owner.
    pub organisation: Organisation,
    /// The caller's id.
    pub id: RequestId,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.id)
    }
}

/// One attempt at a request or job; attempts count from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The request or job.
    pub key: RequestKey,
    /// The number of the attempt.
    pub attempt: u32,
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.key, self.attempt)
    }
}
