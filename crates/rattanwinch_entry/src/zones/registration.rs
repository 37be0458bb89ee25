use std::sync::Arc;
use std::time::Duration;

use rattanwinch_platform::Retention;
use rattanwinch_platform::Store;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::keys;
use rattanwinch_platform::records::EntryRecord;
use rattanwinch_types::Timestamp;
use slog::warn;

use crate::entry_state::EntryState;

/// The interval between writes of a registration that control reads do not show; longer than the
/// time after which they show it.
const REGISTRATION_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Keeps this entry registered in the store.
#[derive(Debug, Default)]
pub(super) struct Registration {
    sent_at: Option<Timestamp>,
}

impl Registration {
    /// Writes the registration if the last control read does not show it, for example because its
    /// lease has expired.
    pub fn ensure_registered<S: Store>(&mut self, state: &Arc<EntryState<S>>, now: Timestamp) {
        let Some(address) = state.rpc_address.get() else {
            return;
        };
        let record = EntryRecord {
            entry: state.settings.entry.clone(),
            incarnation: state.incarnation,
            address: *address,
            zone: state.settings.zone.clone(),
        };
        let control = state.control.load();
        let registered = control.entries.contains(&record);
        let is_recent = |at| now.since(at) < REGISTRATION_RETRY_INTERVAL;
        if registered || control.confirmed_at.is_none() || self.sent_at.is_some_and(is_recent) {
            return;
        }
        self.sent_at = Some(now);
        let state = Arc::clone(state);
        tokio::spawn(async move {
            let key = keys::entry(&record.entry);
            let put = Transaction::new().with_put(key, record.encode(), Retention::ProcessLease);
            if let Err(error) = state.store.transact(put).await {
                warn!(state.logger, "failed to register this entry in the store; retrying";
                    "error" => %error);
            }
        });
    }
}
