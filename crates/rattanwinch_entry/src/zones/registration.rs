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

/// The time between two writes of a registration that doesn't show in the control reads; above
/// the time in which one does.
const REGISTER_AGAIN_AFTER: Duration = Duration::from_secs(2);

/// Keeps this entry registered in the store.
#[derive(Debug, Default)]
pub(super) struct Registration {
    sent_at: Option<Timestamp>,
}

impl Registration {
    /// Writes the registration if the last control read doesn't show it, for example because the
    /// lease that it was attached to has expired.
    pub fn look<S: Store>(&mut self, state: &Arc<EntryState<S>>, now: Timestamp) {
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
        let shown = control.entries.contains(&record);
        let waits = |at| now.since(at) < REGISTER_AGAIN_AFTER;
        if shown || control.confirmed_at.is_none() || self.sent_at.is_some_and(waits) {
            return;
        }
        self.sent_at = Some(now);
        let state = Arc::clone(state);
        tokio::spawn(async move {
            let key = keys::entry(&record.entry);
            let put = Transaction::new().with_put(key, record.encode(), Retention::ProcessLease);
            if let Err(error) = state.store.transact(put).await {
                warn!(state.logger, "entry wasn't registered"; "error" => %error);
            }
        });
    }
}
