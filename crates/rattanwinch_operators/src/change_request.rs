use std::sync::Arc;

use bon::Builder;
use rattanwinch_decisions::ConfigChange;
use rattanwinch_platform::records::ChangeRecord;
use rattanwinch_platform::records::ConfigDocument;
use rattanwinch_types::ChangeId;
use rattanwinch_types::Revision;

/// A configuration change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct ChangeRequest {
    /// The id chosen by the author's program; a retry uses the same id.
    pub id: ChangeId,
    /// The author of the change.
    #[builder(into)]
    pub author: Arc<str>,
    /// The reason for the change.
    #[builder(into)]
    pub reason: Arc<str>,
    /// The revision that the author based the change on; zero if there was no configuration.
    pub based_on: Revision,
    /// The change itself.
    pub change: ConfigChange,
}

rattanwinch_types::value! {
    /// A change that the store has accepted.
    pub struct AcceptedChange {
        /// The revision created by the change.
        pub revision: Revision,
        /// True if an earlier request with the same id and content made the change.
        pub repeated: bool,
        /// The effects of the change, one sentence each.
        pub effects: Vec<Arc<str>>,
        /// The configuration as it was last seen in the store. It includes this change or a later
        /// one, unless the change is a repetition of one that was being written at the same time.
        pub current: CurrentConfig,
    }
}

rattanwinch_types::value! {
    /// The configuration in the store.
    pub struct CurrentConfig {
        /// Its revision; zero if there is none yet.
        pub revision: Revision,
        /// The document.
        pub document: ConfigDocument,
    }
}

impl CurrentConfig {
    /// The revision of a store without a configuration; real revisions are higher.
    pub const NO_REVISION: Revision = Revision(0);

    /// The configuration of a store that has none.
    #[must_use]
    pub fn absent() -> Self {
        Self {
            revision: Self::NO_REVISION,
            document: ConfigDocument::default(),
        }
    }
}

rattanwinch_types::value! {
    /// A page of the history, ordered by change id.
    pub struct HistoryPage {
        /// The changes, each with the revision that it created.
        pub changes: Vec<(Revision, ChangeRecord)>,
        /// Whether there are more after the last one.
        pub more: bool,
    }
}
