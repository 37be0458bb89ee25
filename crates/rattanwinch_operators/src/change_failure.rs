use rattanwinch_decisions::ChangeError;
use rattanwinch_platform::records::ChangeRecord;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::Revision;

use crate::CurrentConfig;

rattanwinch_types::value! {
    /// An error of a change; the change is not known to be in the store.
    pub enum ChangeFailure {
        /// The change was refused, or the store did not respond; the verdict tells which.
        Refused(RequestError),
        /// The change was based on a revision other than the current one; nothing was changed.
        Stale(Box<StaleChange>),
    }
}

rattanwinch_types::value! {
    /// The information that the author of a change on a stale revision needs.
    pub struct StaleChange {
        /// The revision that the change was based on.
        pub based_on: Revision,
        /// The current configuration.
        pub current: CurrentConfig,
        /// The changes since then that the document still contains, oldest first.
        pub changed_since: Vec<ChangeRecord>,
        /// Whether `changed_since` contains all changes since then.
        pub complete: bool,
    }
}

impl StaleChange {
    /// Compares the base revision of a change with the current configuration.
    #[must_use]
    pub fn new(based_on: Revision, current: CurrentConfig) -> Self {
        let recent = current.document.recent.iter();
        let changed_since: Vec<_> = recent
            .filter(|record| record.based_on >= based_on)
            .cloned()
            .collect();
        // Each change is based on the one before it, so the list is complete if it starts at the
        // base of the refused change.
        let complete = changed_since
            .first()
            .is_some_and(|first| first.based_on == based_on);
        Self {
            based_on,
            current,
            changed_since,
            complete,
        }
    }

    /// Returns the error without the newer configuration.
    #[must_use]
    pub fn to_error(&self) -> RequestError {
        let message = format!(
            "based_on is {}, but the configuration is at revision {}: expected a change that is \
             based on the current revision",
            self.based_on.0, self.current.revision.0
        );
        RequestError::not_run(ErrorKind::Conflict, message)
    }
}

impl ChangeFailure {
    /// Returns the error without the newer configuration.
    #[must_use]
    pub fn to_error(&self) -> RequestError {
        match self {
            Self::Refused(error) => error.clone(),
            Self::Stale(stale) => stale.to_error(),
        }
    }
}

impl From<RequestError> for ChangeFailure {
    fn from(error: RequestError) -> Self {
        Self::Refused(error)
    }
}

impl From<ChangeError> for ChangeFailure {
    fn from(error: ChangeError) -> Self {
        Self::Refused(error.into())
    }
}
