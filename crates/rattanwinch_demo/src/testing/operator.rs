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
use crate::site::store_client;

/// A client that changes the configuration of a site directly in the store, as an operator.
#[derive(Debug)]
pub struct Operator {
    changes: ConfigChanges<EtcdStore>,
    name: String,
}

impl Operator {
    /// Creates an operator with a separate store client.
    #[must_use]
    pub fn new(store: SocketAddr, name: &str) -> Self {
        Self {
            changes: ConfigChanges::new(Arc::new(store_client(store, name))),
            name: name.to_owned(),
        }
    }

    /// Returns the revision of the configuration document.
    ///
    /// # Errors
    ///
    /// If the store cannot be read.
    pub async fn revision(&self) -> Result<Revision> {
        let current = self.changes.current().await;
        Ok(current.map_err(|error| eyre!("{error}"))?.revision)
    }

    /// Applies a change that is based on the given revision.
    ///
    /// # Errors
    ///
    /// If the change is rejected or its outcome is unknown.
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

    /// Closes an availability zone; `id` is the id of the change and of its exception.
    ///
    /// # Errors
    ///
    /// See [`Self::apply`].
    pub async fn close_zone(&self, id: &str, zone: &str) -> Result<AcceptedChange> {
        let change = ConfigChange::close_zone(ExceptionId::new(id)?, ZoneName::new(zone)?);
        self.apply(id, self.revision().await?, change).await
    }

    /// Reopens a zone by removing the exception with the id `closing`.
    ///
    /// # Errors
    ///
    /// See [`Self::apply`].
    pub async fn reopen_zone(&self, id: &str, closing: &str) -> Result<AcceptedChange> {
        let change = ConfigChange::reopen_zone(ExceptionId::new(closing)?);
        self.apply(id, self.revision().await?, change).await
    }
}

/// Closes an availability zone over an entry's HTTP API; `url` is the URL of `/v1/config/changes`.
///
/// # Errors
///
/// If a name is not valid.
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
