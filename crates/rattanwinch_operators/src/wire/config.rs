use rattanwinch_http_errors::WireError;
use rattanwinch_platform::records::WireChangeRecord;
use rattanwinch_platform::records::WireFleetConfig;

use crate::CurrentConfig;
use crate::HistoryPage;
use crate::StaleChange;

rattanwinch_types::value! { wire
    /// The configuration.
    pub struct WireConfig {
        /// Its revision; 0 if there is none yet.
        pub revision: i64,
        /// What operators have decided.
        pub config: WireFleetConfig,
        /// The latest changes, oldest first.
        pub recent: Vec<WireChangeRecord>,
    }
}

impl From<CurrentConfig> for WireConfig {
    fn from(current: CurrentConfig) -> Self {
        let recent = current.document.recent;
        Self {
            revision: current.revision.0,
            config: current.document.config.into(),
            recent: recent.into_iter().map(Into::into).collect(),
        }
    }
}

rattanwinch_types::value! { wire
    /// The answer to a change that was based on another revision than the present one.
    pub struct WireStaleChange {
        /// The error.
        pub error: WireError,
        /// The present revision.
        pub revision: i64,
        /// The present configuration.
        pub config: WireFleetConfig,
        /// The changes since the one that the refused change was based on, oldest first.
        pub changed_since: Vec<WireChangeRecord>,
        /// Whether these are all changes since then; the history has the others.
        pub complete: bool,
    }
}

impl WireStaleChange {
    /// Packs the error with the newer configuration.
    #[must_use]
    pub fn new(error: WireError, stale: StaleChange) -> Self {
        let changed_since = stale.changed_since.into_iter();
        Self {
            error,
            revision: stale.current.revision.0,
            config: stale.current.document.config.into(),
            changed_since: changed_since.map(Into::into).collect(),
            complete: stale.complete,
        }
    }
}

rattanwinch_types::value! { wire
    /// One change with the revision that it made.
    pub struct WireHistoryItem {
        /// The revision.
        pub revision: i64,
        /// The change.
        #[serde(flatten)]
        pub record: WireChangeRecord,
    }
}

rattanwinch_types::value! { wire
    /// The answer to `GET /v1/config/changes`.
    pub struct WireHistory {
        /// The changes, in the order of their ids.
        pub changes: Vec<WireHistoryItem>,
        /// The value of `after` for the next page; absent on the last one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub next_after: Option<String>,
    }
}

impl From<HistoryPage> for WireHistory {
    fn from(page: HistoryPage) -> Self {
        let last = page.changes.last();
        let next_after = last
            .filter(|_| page.more)
            .map(|(_, record)| record.id.to_string());
        let changes = page.changes.into_iter();
        let changes = changes.map(|(revision, record)| WireHistoryItem {
            revision: revision.0,
            record: record.into(),
        });
        Self {
            changes: changes.collect(),
            next_after,
        }
    }
}
