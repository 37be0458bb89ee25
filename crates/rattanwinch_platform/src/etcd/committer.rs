use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;

use super::CallError;
use super::CallKind;
use super::CallResult;
use super::DayLease;
use super::Gateway;
use super::GroupLeases;
use super::LeaseKeeper;
use super::Pending;
use super::Turn;
use super::choose_group;
use super::decode_group;
use super::encode_group;
use super::range_of;
use super::read_back;
use crate::Retention;
use crate::StoreError;
use crate::StoreView;
use crate::TransactionOutcome;
use crate::Write;
use crate::keys;
use crate::wire::WireRange;
use crate::wire::WireRangeResponse;
use crate::wire::WireTxnResponse;

/// The least time between the starts of two calls, so that transactions gather under load.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends the transactions of this process to the store, several in one call and one call at a
/// time.
#[derive(Debug)]
pub(crate) struct Committer {
    gateway: Arc<Gateway>,
    leases: Arc<LeaseKeeper>,
    day: DayLease,
    incoming: mpsc::Receiver<Pending>,
    waiting: VecDeque<Pending>,
    last_start: Option<Instant>,
    logger: Logger,
}

impl Committer {
    /// A committer of the transactions from `incoming`.
    pub fn new(
        gateway: Arc<Gateway>,
        leases: Arc<LeaseKeeper>,
        incoming: mpsc::Receiver<Pending>,
        logger: Logger,
    ) -> Self {
        Self {
            gateway,
            leases,
            day: DayLease::default(),
            incoming,
            waiting: VecDeque::new(),
            last_start: None,
            logger,
        }
    }

    /// Sends transactions until no one can send more of them.
    pub async fn run(mut self) {
        while self.wait_for_work().await {
            let reserved = self.next_turn().await;
            while let Ok(pending) = self.incoming.try_recv() {
                self.waiting.push_back(pending);
            }
            let waiting = std::mem::take(&mut self.waiting);
            self.waiting = self.refuse_late(waiting);
            match reserved {
                Ok(turn) => {
                    let group = self.take_group();
                    self.commit(group, turn).await;
                }
                Err(error) => self.refuse_all(&error),
            }
        }
    }

    /// False once no transaction waits and none can come.
    async fn wait_for_work(&mut self) -> bool {
        if self.waiting.is_empty() {
            match self.incoming.recv().await {
                Some(pending) => self.waiting.push_back(pending),
                None => return false,
            }
        }
        true
    }

    async fn next_turn(&self) -> CallResult<Turn> {
        if let Some(last) = self.last_start {
            tokio::time::sleep_until((last + CALL_INTERVAL).into()).await;
        }
        self.gateway.reserve(CallKind::Commit).await
    }

    /// Refuses the transactions that have waited too long and those that nobody waits for, and
    /// returns the others.
    fn refuse_late<C: FromIterator<Pending>>(&self, all: impl IntoIterator<Item = Pending>) -> C {
        let now = Instant::now();
        let limit = self.gateway.settings.max_wait;
        let open = all.into_iter().filter(|pending| !pending.reply.is_closed());
        let in_time = open.filter_map(|pending| {
            if now.duration_since(pending.since) <= limit {
                return Some(pending);
            }
            let message = format!("no turn for the write within {} ms", limit.as_millis());
            pending.finish(Err(StoreError::not_applied(message)));
            None
        });
        in_time.collect()
    }

    fn refuse_all(&mut self, error: &CallError) {
        for pending in self.waiting.drain(..) {
            pending.finish(Err(error.clone().into()));
        }
    }

    fn take_group(&mut self) -> Vec<Pending> {
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

    async fn commit(&mut self, group: Vec<Pending>, turn: Turn) {
        if group.is_empty() {
            return;
        }
        let before = match self.view().await {
            Ok(before) => before,
            Err(error) => return finish_all(group, &error.of_read()),
        };
        let (leases, group) = self.attach_leases(group).await;
        match self.send(&group, leases, turn).await {
            Err(error) if error.is_not_found() => {
                // The store refused the group because it doesn't know a lease, so nothing is
                // applied and sending it with new leases repeats nothing.
                self.forget_leases(leases);
                let (leases, group) = self.attach_leases(group).await;
                let reserved = self.gateway.reserve(CallKind::Commit).await;
                let sent = match reserved {
                    Ok(turn) => self.send(&group, leases, turn).await,
                    Err(error) => Err(error),
                };
                self.finish(group, before, sent);
            }
            sent => self.finish(group, before, sent),
        }
    }

    fn finish(
        &self,
        group: Vec<Pending>,
        before: StoreView,
        sent: CallResult<Vec<TransactionOutcome>>,
    ) {
        match sent {
            Ok(outcomes) => {
                for (pending, outcome) in group.into_iter().zip(outcomes) {
                    pending.finish(Ok(outcome));
                }
            }
            Err(CallError::Lost(message)) => self.read_back(group, before, message),
            Err(error) => finish_all(group, &error.into()),
        }
    }

    /// The view that later read-backs compare with; the first write asks for it.
    async fn view(&self) -> CallResult<StoreView> {
        if let Some(view) = self.gateway.view() {
            return Ok(view);
        }
        let body = WireRange {
            count_only: true,
            ..range_of(&keys::config())
        };
        let response: WireRangeResponse = self.gateway.call(CallKind::Read, &body).await?;
        Ok(StoreView::after(None, &response.header))
    }

    /// The leases that the group needs, and the group without those that can't have theirs.
    async fn attach_leases(&mut self, group: Vec<Pending>) -> (GroupLeases, Vec<Pending>) {
        let mut leases = GroupLeases::default();
        if needs(&group, Retention::ProcessLease) {
            leases.process = self.leases.held().await;
        }
        if needs(&group, Retention::Day) {
            let day = self.day.get(&self.gateway, Instant::now()).await;
            leases.day = day
                .inspect_err(|error| warn!(self.logger, "no day lease"; "error" => %error))
                .ok();
        }
        let (ready, refused): (Vec<_>, Vec<_>) = group.into_iter().partition(|pending| {
            let has = |retention, lease: bool| lease || !wants(pending, retention);
            has(Retention::ProcessLease, leases.process.is_some())
                && has(Retention::Day, leases.day.is_some())
        });
        finish_all(
            refused,
            &StoreError::not_applied("the store granted no lease for the write"),
        );
        // A lease can take long to get.
        (leases, self.refuse_late(ready))
    }

    async fn send(
        &mut self,
        group: &[Pending],
        leases: GroupLeases,
        turn: Turn,
    ) -> CallResult<Vec<TransactionOutcome>> {
        if group.is_empty() {
            return Ok(Vec::new());
        }
        self.last_start = Some(Instant::now());
        metrics::histogram!("rattanwinch_store_group_transactions")
            .record(u32::try_from(group.len()).unwrap_or(u32::MAX));
        let body = encode_group(group.iter().map(|pending| &pending.transaction), leases);
        let response: WireTxnResponse = self.gateway.send(CallKind::Commit, turn, &body).await?;
        decode_group(response, group.len()).map_err(CallError::Lost)
    }

    fn forget_leases(&mut self, leases: GroupLeases) {
        if let Some(id) = leases.process {
            self.leases.lost(id);
        }
        if leases.day.is_some() {
            self.day = DayLease::default();
        }
    }

    /// Reads back in a task of its own, so that other transactions don't wait for it.
    fn read_back(&self, group: Vec<Pending>, before: StoreView, message: String) {
        warn!(self.logger, "response to a write lost";
            "transactions" => group.len(), "error" => &message);
        let gateway = Arc::clone(&self.gateway);
        tokio::spawn(async move {
            let lost: Vec<_> = group.iter().map(|pending| &pending.transaction).collect();
            let applied = read_back(&gateway, &lost, before).await;
            for (pending, applied) in group.into_iter().zip(applied) {
                pending.finish(match applied {
                    Some(revision) => Ok(TransactionOutcome::Applied(revision)),
                    None => Err(StoreError::may_be_applied(format!(
                        "{message}; the write wasn't found when read back"
                    ))),
                });
            }
        });
    }
}

fn wants(pending: &Pending, wanted: Retention) -> bool {
    let mut writes = pending.transaction.writes.iter();
    writes.any(|write| matches!(write, Write::Put { retention, .. } if *retention == wanted))
}

fn needs(group: &[Pending], wanted: Retention) -> bool {
    group.iter().any(|pending| wants(pending, wanted))
}

fn finish_all(group: Vec<Pending>, error: &StoreError) {
    for pending in group {
        pending.finish(Err(error.clone()));
    }
}
