use std::sync::Arc;

use bon::Builder;
use rattanwinch_decisions::ConfigChange;
use rattanwinch_platform::records::ChangeRecord;
use rattanwinch_platform::records::ConfigDocument;
use rattanwinch_types::ChangeId;
use rattanwinch_types::Revision;

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct ChangeRequest {
    /// The id that the author's program gave it; a repetition uses the same.
    pub id: ChangeId,
    /// Who makes it.
    #[builder(into)]
    pub author: Arc<str>,
    /// Why.
    #[builder(into)]
    pub reason: Arc<str>,
    /// The revision that the author looked at; zero if there was no configuration.
    pub based_on: Revision,
    /// What is to change.
    pub change: ConfigChange,
}

rattanwinch_types::value! {
    /// A change that is in the store.
    pub struct AcceptedChange {
        /// The revision that the change made.
        pub revision: Revision,
        /// True if an earlier request with the same id and content made it.
        pub repeated: bool,
        /// What it changed, a sentence each.
        pub effects: Vec<Arc<str>>,
        /// The configuration as it was last seen in the store, with this change or a later one,
        /// unless a repeated change was only just being made.
        pub current: CurrentConfig,
    }
}

rattanwinch_types::value! {
    /// The configuration as it is in the store.
    pub struct CurrentConfig {
        /// Its revision; zero if there is none yet.
        pub revision: Revision,
        /// The document.
        pub document: ConfigDocument,
    }
}

impl CurrentConfig {
    /// The revision of a store without a configuration; real revisions are above it.
    pub const NO_REVISION: Revision = Revision(0);

    /// What a store without a configuration holds.
    #[must_use]
    pub fn absent() -> Self {
        Self {
            revision: Self::NO_REVISION,
            document: ConfigDocument::default(),
        }
    }
}

rattanwinch_types::value! {
    /// Part of the history, in the order of the change ids.
    pub struct HistoryPage {
        /// The changes, each with the revision that it made.
        pub changes: Vec<(Revision, ChangeRecord)>,
        /// Whether there are more after the last one.
        pub more: bool,
    }
}
