use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;

use super::CallError;
use super::CallKind;
use super::CallReservation;
use super::CallResult;
use super::DayLease;
use super::Gateway;
use super::GroupLeases;
use super::PendingTransaction;
use super::ProcessLeaseManager;
use super::choose_group;
use super::decode_group;
use super::encode_group;
use super::key_range;
use super::read_back;
use crate::Retention;
use crate::StoreError;
use crate::StoreRevision;
use crate::TransactionOutcome;
use crate::Write;
use crate::keys;
use crate::wire::WireRange;
use crate::wire::WireRangeResponse;
use crate::wire::WireTxnResponse;

/// The minimum time between the starts of two commits, so that transactions are batched under
/// load.
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(100);

/// Commits the transactions of this process in groups, with one call in flight at a time.
#[derive(Debug)]
pub(crate) struct Committer {
    gateway: Arc<Gateway>,
    lease_manager: Arc<ProcessLeaseManager>,
    day_lease: DayLease,
    incoming: mpsc::Receiver<PendingTransaction>,
    waiting: VecDeque<PendingTransaction>,
    last_start: Option<Instant>,
    logger: Logger,
}

impl Committer {
    /// Creates a committer for the transactions received from `incoming`.
    pub fn new(
        gateway: Arc<Gateway>,
        lease_manager: Arc<ProcessLeaseManager>,
        incoming: mpsc::Receiver<PendingTransaction>,
        logger: Logger,
    ) -> Self {
        Self {
            gateway,
            lease_manager,
            day_lease: DayLease::default(),
            incoming,
            waiting: VecDeque::new(),
            last_start: None,
            logger,
        }
    }

    /// Commits transactions until the channel is closed and no transaction is pending.
    pub async fn run(mut self) {
        while self.wait_for_work().await {
            let reserved = self.reserve_commit().await;
            while let Ok(pending) = self.incoming.try_recv() {
                self.waiting.push_back(pending);
            }
            let waiting = std::mem::take(&mut self.waiting);
            self.waiting = self.reject_expired(waiting);
            match reserved {
                Ok(reservation) => {
                    let group = self.take_next_group();
                    self.commit(group, reservation).await;
                }
                Err(error) => self.reject_all(&error),
            }
        }
    }

    /// Waits for a pending transaction; false if there is none and the channel is closed.
    async fn wait_for_work(&mut self) -> bool {
        if self.waiting.is_empty() {
            match self.incoming.recv().await {
                Some(pending) => self.waiting.push_back(pending),
                None => return false,
            }
        }
        true
    }

    async fn reserve_commit(&self) -> CallResult<CallReservation> {
        if let Some(last) = self.last_start {
            tokio::time::sleep_until((last + MIN_COMMIT_INTERVAL).into()).await;
        }
        self.gateway.reserve(CallKind::Commit).await
    }

    /// Rejects the transactions that have waited longer than `max_wait`, drops those whose caller
    /// no longer waits, and returns the others.
    fn reject_expired<C: FromIterator<PendingTransaction>>(
        &self,
        all: impl IntoIterator<Item = PendingTransaction>,
    ) -> C {
        let now = Instant::now();
        let limit = self.gateway.settings.max_wait;
        let open = all.into_iter().filter(|pending| !pending.reply.is_closed());
        let in_time = open.filter_map(|pending| {
            if now.duration_since(pending.queued_at) <= limit {
                return Some(pending);
            }
            let message = format!(
                "write not sent to the store within {} ms",
                limit.as_millis()
            );
            pending.complete(Err(StoreError::not_applied(message)));
            None
        });
        in_time.collect()
    }

    fn reject_all(&mut self, error: &CallError) {
        for pending in self.waiting.drain(..) {
            pending.complete(Err(error.clone().into()));
        }
    }

    fn take_next_group(&mut self) -> Vec<PendingTransaction> {
        let chosen = choose_group(self.waiting.iter().map(|pending| &pending.transaction));
        let mut chosen = chosen.into_iter().peekable();
        let mut group = Vec::new();
        for (index, pending) in std::mem::take(&mut self.waiting).into_iter().enumerate() {
            if chosen.next_if_eq(&index).is_some() {
                group.push(pending);
            } else {
                self.waiting.push_back(pending);
            }
        }
        group
    }

    async fn commit(&mut self, group: Vec<PendingTransaction>, reservation: CallReservation) {
        if group.is_empty() {
            return;
        }
        let revision_before = match self.last_seen_revision().await {
            Ok(revision_before) => revision_before,
            Err(error) => return complete_all(group, &error.to_read_error()),
        };
        let (leases, group) = self.attach_leases(group).await;
        match self.send(&group, leases, reservation).await {
            Err(error) if error.is_not_found() => {
                // The store rejected the group because a lease does not exist, so nothing was
                // applied and it is safe to send the group again with new leases.
                self.discard_leases(leases);
                let (leases, group) = self.attach_leases(group).await;
                let reserved = self.gateway.reserve(CallKind::Commit).await;
                let result = match reserved {
                    Ok(reservation) => self.send(&group, leases, reservation).await,
                    Err(error) => Err(error),
                };
                self.complete(group, revision_before, result);
            }
            result => self.complete(group, revision_before, result),
        }
    }

    fn complete(
        &self,
        group: Vec<PendingTransaction>,
        revision_before: StoreRevision,
        result: CallResult<Vec<TransactionOutcome>>,
    ) {
        match result {
            Ok(outcomes) => {
                for (pending, outcome) in group.into_iter().zip(outcomes) {
                    pending.complete(Ok(outcome));
                }
            }
            Err(CallError::Lost(message)) => self.read_back(group, revision_before, message),
            Err(error) => complete_all(group, &error.into()),
        }
    }

    /// Returns the last revision seen, with which a later read-back compares. If there was no
    /// response yet, requests the revision from the store.
    async fn last_seen_revision(&self) -> CallResult<StoreRevision> {
        if let Some(last_seen_revision) = self.gateway.last_seen_revision() {
            return Ok(last_seen_revision);
        }
        let body = WireRange {
            count_only: true,
            ..key_range(&keys::config())
        };
        let response: WireRangeResponse = self.gateway.call(CallKind::Read, &body).await?;
        Ok(StoreRevision::after(None, &response.header))
    }

    /// Obtains the leases that the group needs, and removes the transactions whose lease was not
    /// granted.
    async fn attach_leases(
        &mut self,
        group: Vec<PendingTransaction>,
    ) -> (GroupLeases, Vec<PendingTransaction>) {
        let mut leases = GroupLeases::default();
        if any_has_retention(&group, Retention::ProcessLease) {
            leases.process = self.lease_manager.acquire().await;
        }
        if any_has_retention(&group, Retention::Day) {
            let day = self.day_lease.get(&self.gateway, Instant::now()).await;
            leases.day = day
                .inspect_err(|error| warn!(self.logger, "no 24 h lease granted"; "error" => %error))
                .ok();
        }
        let (ready, refused): (Vec<_>, Vec<_>) = group.into_iter().partition(|pending| {
            let is_ready = |retention, lease: bool| lease || !has_retention(pending, retention);
            is_ready(Retention::ProcessLease, leases.process.is_some())
                && is_ready(Retention::Day, leases.day.is_some())
        });
        complete_all(
            refused,
            &StoreError::not_applied("write not sent: the store did not grant its lease in time"),
        );
        // Granting a lease can take long enough for transactions to exceed `max_wait`.
        (leases, self.reject_expired(ready))
    }

    async fn send(
        &mut self,
        group: &[PendingTransaction],
        leases: GroupLeases,
        reservation: CallReservation,
    ) -> CallResult<Vec<TransactionOutcome>> {
        if group.is_empty() {
            return Ok(Vec::new());
        }
        self.last_start = Some(Instant::now());
        metrics::histogram!("rattanwinch_store_group_transactions")
            .record(u32::try_from(group.len()).unwrap_or(u32::MAX));
        let body = encode_group(group.iter().map(|pending| &pending.transaction), leases);
        let response: WireTxnResponse = self
            .gateway
            .send(CallKind::Commit, reservation, &body)
            .await?;
        decode_group(response, group.len()).map_err(CallError::Lost)
    }

    fn discard_leases(&mut self, leases: GroupLeases) {
        if let Some(id) = leases.process {
            self.lease_manager.mark_lost(id);
        }
        if leases.day.is_some() {
            self.day_lease = DayLease::default();
        }
    }

    /// Reads the keys back in a separate task, so that other transactions do not wait.
    fn read_back(
        &self,
        group: Vec<PendingTransaction>,
        revision_before: StoreRevision,
        message: String,
    ) {
        warn!(self.logger, "response to a group commit lost; reading the keys back";
            "transactions" => group.len(), "error" => &message);
        let gateway = Arc::clone(&self.gateway);
        tokio::spawn(async move {
            let lost: Vec<_> = group.iter().map(|pending| &pending.transaction).collect();
            let applied = read_back(&gateway, &lost, revision_before).await;
            for (pending, applied) in group.into_iter().zip(applied) {
                pending.complete(match applied {
                    Some(revision) => Ok(TransactionOutcome::Applied(revision)),
                    None => Err(StoreError::may_be_applied(format!(
                        "{message}; the write was not found when its keys were read back"
                    ))),
                });
            }
        });
    }
}

fn has_retention(pending: &PendingTransaction, wanted: Retention) -> bool {
    let mut writes = pending.transaction.writes.iter();
    writes.any(|write| matches!(write, Write::Put { retention, .. } if *retention == wanted))
}

fn any_has_retention(group: &[PendingTransaction], wanted: Retention) -> bool {
    group.iter().any(|pending| has_retention(pending, wanted))
}

fn complete_all(group: Vec<PendingTransaction>, error: &StoreError) {
    for pending in group {
        pending.complete(Err(error.clone()));
    }
}
