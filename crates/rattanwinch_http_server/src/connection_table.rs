use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::connection::Connection;

/// The open connections of a port. It is locked when a connection opens or closes and by the
/// sweeper, but not for a request.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    next_id: AtomicU64,
    open: Mutex<BTreeMap<u64, Arc<Connection>>>,
}

/// A connection's entry in the table, which is removed on drop.
#[derive(Debug)]
pub(crate) struct TableEntry {
    table: Arc<ConnectionTable>,
    id: u64,
    pub(crate) connection: Arc<Connection>,
}

impl ConnectionTable {
    pub(crate) fn add(self: &Arc<Self>, connection: Connection) -> TableEntry {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(connection);
        self.lock().insert(id, Arc::clone(&connection));
        TableEntry {
            table: Arc::clone(self),
            id,
            connection,
        }
    }

    /// All open connections.
    pub(crate) fn snapshot(&self) -> Vec<Arc<Connection>> {
        self.lock().values().map(Arc::clone).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.table.lock().remove(&self.id);
    }
}
