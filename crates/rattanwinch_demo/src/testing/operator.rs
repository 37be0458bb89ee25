use std::net::SocketAddr;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use eyre::Result;
use eyre::eyre;
use rattanwinch_decisions::ConfigChange;
use rattanwinch_operators::AcceptedChange;
use rattanwinch_operators::ChangeRequest;
use rattanwinch_operators::ConfigChanges;
use rattanwinch_operators::WireChangeRequest;
use rattanwinch_platform::EtcdStore;
use rattanwinch_types::ChangeId;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use super::HttpAnswer;
use super::post;
use crate::site::client;

/// An operator who changes the configuration of a site by compare-and-swap.
#[derive(Debug)]
pub struct Operator {
    changes: ConfigChanges<EtcdStore>,
    name: String,
}

impl Operator {
    /// An operator with a store client of its own.
    #[must_use]
    pub fn new(store: SocketAddr, name: &str) -> Self {
        Self {
            changes: ConfigChanges::new(Arc::new(client(store, name))),
            name: name.to_owned(),
        }
    }

    /// The revision of the document in the store.
    ///
    /// # Errors
    ///
    /// If the store can't be read.
    pub async fn revision(&self) -> Result<Revision> {
        let current = self.changes.current().await;
        Ok(current.map_err(|error| eyre!("{error}"))?.revision)
    }

    /// Makes a change that is based on the given revision.
    ///
    /// # Errors
    ///
    /// If the change is refused or its outcome isn't known.
    pub async fn apply(
        &self,
        id: &str,
        based_on: Revision,
        change: ConfigChange,
    ) -> Result<AcceptedChange> {
        let req = ChangeRequest::builder()
            .id(ChangeId::new(id)?)
            .author(self.name.as_str())
            .reason("maintenance")
            .based_on(based_on)
            .change(change)
            .build();
        let now = UNIX_EPOCH.elapsed().unwrap_or_default();
        let applied = self.changes.apply(&req, Timestamp::ZERO + now).await;
        applied.map_err(|failure| eyre!("change {id}: {failure:?}"))
    }

    /// Closes an availability zone; the change and its exception have the given id.
    ///
    /// # Errors
    ///
    /// As [`Self::apply`].
    pub async fn close_zone(&self, id: &str, zone: &str) -> Result<AcceptedChange> {
        let change = ConfigChange::close_zone(ExceptionId::new(id)?, ZoneName::new(zone)?);
        self.apply(id, self.revision().await?, change).await
    }

    /// Removes the closing with the id `closing`.
    ///
    /// # Errors
    ///
    /// As [`Self::apply`].
    pub async fn reopen_zone(&self, id: &str, closing: &str) -> Result<AcceptedChange> {
        let change = ConfigChange::reopen_zone(ExceptionId::new(closing)?);
        self.apply(id, self.revision().await?, change).await
    }
}

/// Closes an availability zone over the HTTP interface of an entry; `url` is that of
/// `/v1/config/changes`.
///
/// # Errors
///
/// If a name isn't valid.
pub async fn close_zone_at(
    url: String,
    id: &str,
    zone: &str,
    based_on: Revision,
) -> Result<HttpAnswer> {
    let change = ConfigChange::close_zone(ExceptionId::new(id)?, ZoneName::new(zone)?);
    let body = WireChangeRequest {
        id: id.to_owned(),
        author: "operator".to_owned(),
        reason: "maintenance".to_owned(),
        based_on: based_on.0,
        dry_run: false,
        change: change.into(),
    };
    Ok(post(url, serde_json::to_value(body)?).await)
}
