use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::AgentClient;
use rattanwinch_fleet::FrontClient;
use rattanwinch_fleet::LEADER_KEY;
use rattanwinch_fleet::LeaderInfo;
use rattanwinch_fleet::LeaderRecord;
use rattanwinch_fleet::REPORT_INTERVAL;
use rattanwinch_fleet::silence_limit;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobProgress;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::SchedulingLimits;
use rattanwinch_scheduling::SchedulingRules;
use rattanwinch_site_store::Committed;
use rattanwinch_site_store::Item;
use rattanwinch_site_store::Lease;
use rattanwinch_site_store::Revision;
use rattanwinch_site_store::StoreError;
use rattanwinch_site_store::Transaction;
use rattanwinch_types::Timestamp;
use slog::error;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::committer::Committer;
use crate::coordinator::Coordinator;
use crate::front_state::FrontState;
use crate::job_board::JobBoard;
use crate::job_board::PublishedJob;
use crate::leading::LEADER_LEASE;
use crate::leading::Leading;
use crate::operator_watch::watch_operators;
use crate::records::ACCEPTED_PREFIX;
use crate::records::AGENTS_KEY;
use crate::records::AgentAddresses;
use crate::records::PROGRESS_PREFIX;
use crate::records::WAVE_PREFIX;
use crate::records::WaveRecord;
use crate::records::decode_accepted;
use crate::records::decode_agents;
use crate::records::decode_progress;
use crate::records::decode_wave;

/// What a step of the life cycle returns.
type Result<T> = std::result::Result<T, StoreError>;

/// How often the lease is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// A scheduler that says that the store hasn't confirmed it for so long is replaced by a front
/// that the store does answer: a renewal interval and the store's slowest answers on the users'
/// sheets, 240 ms, and a tenth more.
const UNCONFIRMED_AFTER: Duration = Duration::from_millis(600);

/// Renewals that are on their way at once.
const MAX_RENEWALS: usize = 4;

/// An answer within this shows that the store isn't slow, so that a scheduler it doesn't confirm
/// is turned away by it or cut off. Its ordinary answers on the users' sheets take 4 ms.
const QUICK_ANSWER: Duration = Duration::from_millis(150);

/// How often a front asks the one that schedules whether it still does.
const PING_INTERVAL: Duration = Duration::from_millis(300);

/// How long that may take; the answer comes from memory.
const PING_LIMIT: Duration = Duration::from_millis(300);

/// A scheduler that two fronts haven't heard for so long is replaced before its lease has run
/// out: an interval and an unanswered question, less the time by which the two differ.
const SILENT_AFTER: Duration = Duration::from_millis(500);

/// How long an announcement may take; who misses it finds the scheduler by asking.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(500);

/// Announcements that are on their way at once.
const ANNOUNCE_AT_ONCE: usize = 64;

/// The pause between two attempts to find the scheduler or to become it.
const SEARCH_PAUSE: Duration = Duration::from_millis(150);

/// Commands that may wait for the coordinator; callers beyond that wait for room.
const QUEUED_COMMANDS: usize = 1024;

/// Keeps this front either following the one that schedules or scheduling itself, until the
/// daemon stops.
pub(crate) async fn take_part(state: Arc<FrontState>) {
    let standby = Standby {
        state: Arc::clone(&state),
    };
    while !state.is_stopping() {
        let elected = match standby.step().await {
            Step::Elected(elected) => elected,
            Step::Wait(pause) => {
                tokio::time::sleep(pause).await;
                continue;
            }
        };
        match elected.load().await {
            Ok(restored) => restored.schedule().await,
            Err(error) => warn!(state.log, "takeover failed"; "error" => %error),
        }
    }
}

/// A front that doesn't schedule.
struct Standby {
    state: Arc<FrontState>,
}

/// What the front that schedules said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    /// It schedules, and the store has confirmed it lately.
    Confirmed,
    /// It schedules, and the store hasn't confirmed it for a while.
    Unconfirmed,
    Nothing,
}

enum Step {
    Elected(Elected),
    Wait(Duration),
}

impl Standby {
    async fn step(&self) -> Step {
        let heard = match self.state.leader() {
            Some(leader) => self.ask(&leader.client).await,
            None => Heard::Nothing,
        };
        if heard == Heard::Confirmed {
            return Step::Wait(PING_INTERVAL);
        }
        match self.stand(heard).await {
            Ok(Some(elected)) => return Step::Elected(elected),
            Ok(None) => {}
            // A store that is out of reach of this VM alone may serve the others.
            Err(error) => {
                slog::debug!(self.state.log, "the store can't be asked who schedules";
                    "error" => %error);
                if let Some(info) = ask_fronts(&self.state).await {
                    self.state.set_leader(Some(info));
                }
            }
        }
        Step::Wait(SEARCH_PAUSE)
    }

    async fn ask(&self, client: &FrontClient) -> Heard {
        let asker = Some(self.state.address);
        let Ok(Some(word)) = client.leader(asker, PING_LIMIT).await else {
            return Heard::Nothing;
        };
        let info = word.leader;
        // Only a front's word on itself counts: followers that quote each other would go on
        // believing in a scheduler that is gone.
        if info.address != client.address() {
            return Heard::Nothing;
        }
        self.state.note_leader_heard(self.state.clock.now());
        self.state.set_leader(Some(info));
        if word.confirmed_ago < UNCONFIRMED_AFTER {
            Heard::Confirmed
        } else {
            Heard::Unconfirmed
        }
    }

    /// Reads who schedules, and takes over if nobody does or the one that did is to be replaced.
    async fn stand(&self, heard: Heard) -> Result<Option<Elected>> {
        let state = &self.state;
        let asked_at = state.clock.now();
        let item = state.store.get(LEADER_KEY).await?;
        let quick = state.clock.now().since(asked_at) <= QUICK_ANSWER;
        let Some(item) = item else {
            return self.claim(Revision::ABSENT).await;
        };
        let Some(record) = LeaderRecord::decode(&item.value) else {
            error!(state.log, "unreadable leader record, replaced");
            return self.claim(item.changed).await;
        };
        if record.vm == state.settings.vm.name && record.incarnation == state.incarnation {
            // A claim of this process whose answer was lost.
            return Ok(item
                .lease
                .map(|lease| self.elected(record, item.changed, lease)));
        }
        if record.vm == state.settings.vm.name {
            // The process that held it ran on this VM before this one.
            return self.claim(item.changed).await;
        }
        let known = state.leader().map(|leader| leader.info);
        let present = record.info(item.changed.0);
        state.set_leader(Some(present));
        let unconfirmed = heard == Heard::Unconfirmed && known == Some(present) && quick;
        if unconfirmed || self.is_silent_for_others().await {
            return self.displace(&item).await;
        }
        Ok(None)
    }

    /// True if neither this front nor another one has heard the scheduler lately. A front that no
    /// other one confirms may be cut off itself, and waits for the end of the lease.
    async fn is_silent_for_others(&self) -> bool {
        let state = &self.state;
        if state.leader_silence(state.clock.now()) < SILENT_AFTER {
            return false;
        }
        let leader = state.leader().map(|leader| leader.info.address);
        let mut asked = JoinSet::new();
        for &front in state.fronts.load().iter() {
            if Some(front) != leader {
                asked
                    .spawn(async move { FrontClient::new(front).leader_silence(PING_LIMIT).await });
            }
        }
        let mut confirmed = false;
        while let Some(answer) = asked.join_next().await {
            match answer {
                Ok(Ok(silence)) if silence < SILENT_AFTER => return false,
                Ok(Ok(_)) => confirmed = true,
                Ok(Err(_)) | Err(_) => {}
            }
        }
        confirmed
    }

    /// Takes over from a scheduler whose lease may still hold. Its transactions fail from then
    /// on, and the end of its lease tells it that it has been replaced.
    async fn displace(&self, present: &Item) -> Result<Option<Elected>> {
        let elected = self.claim(present.changed).await?;
        if elected.is_some() {
            info!(self.state.log, "scheduler replaced before its lease ended";
                "silent_ms" => self.state.leader_silence(self.state.clock.now()).as_millis());
            if let Some(lease) = present.lease
                && let Err(error) = self.state.store.end(lease).await
            {
                warn!(self.state.log, "lease not ended"; "error" => %error);
            }
        }
        Ok(elected)
    }

    async fn claim(&self, present: Revision) -> Result<Option<Elected>> {
        let state = &self.state;
        if state.is_stopping() {
            return Ok(None);
        }
        let lease = state.store.grant(LEADER_LEASE).await?;
        let record = LeaderRecord {
            vm: Arc::clone(&state.settings.vm.name),
            incarnation: state.incarnation,
            address: state.address,
            epoch: None,
            change: 0,
        };
        let claim = Transaction {
            conditions: vec![(LEADER_KEY.to_owned(), present)],
            puts: vec![(LEADER_KEY.to_owned(), record.encode(), Some(lease))],
            deletes: Vec::new(),
        };
        match state.store.commit(&claim).await? {
            Committed::Done(revision) => Ok(Some(self.elected(record, revision, lease))),
            Committed::Conflict(_) | Committed::LeaseEnded => Ok(None),
        }
    }

    fn elected(&self, mut record: LeaderRecord, revision: Revision, lease: Lease) -> Elected {
        let epoch = record.info(revision.0).epoch;
        record.epoch = Some(epoch);
        info!(self.state.log, "elected"; "epoch" => epoch);
        self.state.note_epoch(epoch);
        Elected {
            state: Arc::clone(&self.state),
            record,
            revision,
            lease,
            epoch,
        }
    }
}

/// A front that is to schedule and doesn't know the jobs yet.
struct Elected {
    state: Arc<FrontState>,
    record: LeaderRecord,
    revision: Revision,
    lease: Lease,
    epoch: u64,
}

impl Elected {
    /// Reads all jobs. Nobody else can change them any more.
    async fn load(self) -> Result<Restored> {
        let store = &self.state.store;
        let sent_at = self.state.clock.now();
        // A long read must not outlast the lease.
        let (accepted, progress, waves, agents, renewed) = tokio::join!(
            store.range(ACCEPTED_PREFIX),
            store.range(PROGRESS_PREFIX),
            store.range(WAVE_PREFIX),
            store.get(AGENTS_KEY),
            store.renew(self.lease),
        );
        // Without an answer the lease may or may not have been renewed; the renewals that follow
        // will tell.
        if matches!(renewed, Ok(false)) {
            return Err(StoreError::lease_ended());
        }
        let jobs = self.read_jobs(&accepted?, &progress?);
        info!(self.state.log, "jobs loaded"; "jobs" => jobs.len(), "epoch" => self.epoch);
        let waves = self.read_waves(&waves?);
        let agents = agents?.map(|item| decode_agents(&item.value)).transpose();
        let agents = agents.unwrap_or_else(|error| {
            error!(self.state.log, "agents not told of the new scheduler"; "error" => %error);
            None
        });
        Ok(Restored {
            elected: self,
            jobs,
            confirmed_at: matches!(renewed, Ok(true)).then_some(sent_at),
            agents: agents.unwrap_or_default(),
            waves,
        })
    }

    fn read_waves(&self, items: &[Item]) -> BTreeMap<u32, WaveRecord> {
        let records = items.iter().filter_map(|item| {
            let read = decode_wave(&item.key, &item.value);
            if let Err(error) = &read {
                error!(self.state.log, "wave of upkeep begun anew"; "key" => &item.key,
                    "error" => %error);
            }
            read.ok()
        });
        records.collect()
    }

    fn read_jobs(
        &self,
        accepted: &[Item],
        progress: &[Item],
    ) -> Vec<(Arc<AcceptedJob>, JobProgress)> {
        let progress: BTreeMap<&str, &Item> = progress
            .iter()
            .filter_map(|item| Some((item.key.strip_prefix(PROGRESS_PREFIX)?, item)))
            .collect();
        let mut jobs = Vec::new();
        for item in accepted {
            let Some(id) = item.key.strip_prefix(ACCEPTED_PREFIX) else {
                continue;
            };
            let reached = progress
                .get(id)
                .map(|item| decode_progress(id, &item.value));
            let reached = reached.transpose().map(Option::unwrap_or_default);
            match (decode_accepted(id, &item.value), reached) {
                (Ok(job), Ok(reached)) => jobs.push((Arc::new(job), reached)),
                (Err(error), _) | (_, Err(error)) => {
                    error!(self.state.log, "job left out"; "job" => id, "error" => %error);
                }
            }
        }
        jobs
    }
}

/// A front that knows the jobs and is about to schedule.
struct Restored {
    elected: Elected,
    jobs: Vec<(Arc<AcceptedJob>, JobProgress)>,
    /// When the renewal of the lease that the store has confirmed was sent.
    confirmed_at: Option<Timestamp>,
    /// The agents that the scheduler before knew.
    agents: AgentAddresses,
    waves: BTreeMap<u32, WaveRecord>,
}

impl Restored {
    /// Schedules until leadership is lost or the daemon stops.
    async fn schedule(self) {
        let Elected {
            state,
            record,
            revision,
            lease,
            epoch,
        } = self.elected;
        let (commands, received) = mpsc::channel(QUEUED_COMMANDS);
        let now = state.clock.now();
        let scheduler = Scheduler::restore(
            scheduling_limits(&state),
            SchedulingRules::default(),
            self.jobs,
            now,
        );
        let board = JobBoard::new(published(&scheduler));
        let leading = Arc::new(Leading::new(epoch, state.address, commands, board));
        // Agents that are told of this front report at once and have to find it confirmed.
        if let Some(sent_at) = self.confirmed_at {
            leading.confirm(sent_at);
        }
        let committer = Committer {
            store: state.store.clone(),
            lease,
            record,
            revision,
            log: state.log.clone(),
        };
        let coordinator = Coordinator::new(
            Arc::clone(&state),
            Arc::clone(&leading),
            scheduler,
            committer,
            self.waves,
            self.agents.clone(),
        );
        let mut tasks = JoinSet::new();
        tasks.spawn(renew(Arc::clone(&state), Arc::clone(&leading), lease));
        tasks.spawn(watch_operators(Arc::clone(&state), Arc::clone(&leading)));
        tasks.spawn(watch_successors(Arc::clone(&state), Arc::clone(&leading)));
        tasks.spawn(coordinator.run(received));
        state.set_leader(None);
        state.set_leading(Some(Arc::clone(&leading)));
        tasks.spawn(announce(Arc::clone(&state), leading.info, self.agents));
        let mut changes = state.leader_changes();
        loop {
            tokio::select! {
                () = leading.lost.notified() => break,
                _ = changes.changed() => {
                    if state.is_stopping() || state.highest_epoch() > epoch {
                        break;
                    }
                }
            }
        }
        state.set_leading(None);
        tasks.shutdown().await;
        info!(state.log, "no longer scheduling"; "epoch" => epoch);
        if state.is_stopping() {
            // The next front can take over at once instead of after the lease.
            if let Err(error) = state.store.end(lease).await {
                warn!(state.log, "lease not ended"; "error" => %error);
            }
        }
    }
}

/// Tells the other fronts and the agents of the scheduler before that this front schedules now.
async fn announce(state: Arc<FrontState>, leader: LeaderInfo, agents: AgentAddresses) {
    let mut calls = JoinSet::new();
    for &front in state.fronts.load().iter() {
        calls.spawn(async move {
            FrontClient::new(front)
                .announce(leader, ANNOUNCE_LIMIT)
                .await
        });
    }
    let (mut told, mut missed) = (0, 0);
    let mut agents = agents.into_values().peekable();
    while !calls.is_empty() || agents.peek().is_some() {
        if calls.len() < ANNOUNCE_AT_ONCE
            && let Some(agent) = agents.next()
        {
            calls.spawn(async move {
                AgentClient::new(agent)
                    .announce(leader, ANNOUNCE_LIMIT)
                    .await
            });
            continue;
        }
        match calls.join_next().await {
            Some(Ok(Ok(()))) => told += 1,
            Some(_) => missed += 1,
            None => {}
        }
    }
    info!(state.log, "announced"; "epoch" => leader.epoch, "told" => told, "missed" => missed);
}

/// Asks the other fronts who schedules; gives the highest epoch that isn't out of date.
async fn ask_fronts(state: &FrontState) -> Option<LeaderInfo> {
    let fronts = state.fronts.load_full();
    let asker = Some(state.address);
    let mut asked = JoinSet::new();
    for &front in fronts.iter() {
        asked.spawn(async move { FrontClient::new(front).leader(asker, PING_LIMIT).await });
    }
    let answers = asked.join_all().await.into_iter();
    let told = answers.filter_map(|answer| Some(answer.ok().flatten()?.leader));
    let others = told.filter(|info| info.address != state.address);
    let best = others.max_by_key(|info| info.epoch)?;
    (best.epoch >= state.highest_epoch()).then_some(best)
}

/// Looks for a later scheduler while the store doesn't confirm this one, which may be out of
/// reach of the store alone.
async fn watch_successors(state: Arc<FrontState>, leading: Arc<Leading>) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        if leading.is_confirmed(state.clock.now()) {
            continue;
        }
        let later = ask_fronts(&state).await;
        if later.is_some_and(|later| later.epoch > leading.info.epoch) {
            state.set_leader(later);
            leading.lost.notify_one();
            return;
        }
    }
}

fn published(scheduler: &Scheduler) -> Vec<(JobId, PublishedJob)> {
    let jobs = scheduler.states().filter_map(|(id, queue, state)| {
        let (accepted, _) = scheduler.record(id)?;
        let published = PublishedJob {
            queue: queue.clone(),
            organisation: accepted.organisation.clone(),
            state,
        };
        Some((id.clone(), published))
    });
    jobs.collect()
}

fn scheduling_limits(state: &FrontState) -> SchedulingLimits {
    SchedulingLimits::builder()
        .silence(silence_limit(state.settings.vm.longest_lease))
        // Two reports and a half.
        .fresh(REPORT_INTERVAL * 5 / 2)
        // Many times the way of an order and its answer, which is a few milliseconds.
        .order_retry(Duration::from_millis(300))
        // The longest stop on the users' sheets takes 900 ms.
        .stop_repeat(Duration::from_millis(1500))
        // A third of the shortest reclaim time on the users' sheets, with the stop after it.
        .urgent_patience(Duration::from_millis(800))
        // Tasks save their state every 0.5 or 2 s, and a write costs a tenth of a start.
        .save_interval(Duration::from_secs(2))
        // Progress is reported in whole per cent each second; one per cent of the longest task
        // on the slowest target of the users' sheets takes 2 s.
        .stall(Duration::from_millis(3000))
        // Targets that fail all they start do so for 6.5 s on the users' sheets; one that goes on
        // is tried again less and less often.
        .quarantine(Duration::from_secs(5))
        .quarantine_most(Duration::from_secs(40))
        .build()
}

/// Renews the lease until it has ended.
///
/// A renewal is sent at each interval, whether the one before has been answered or not: the
/// answer to it may be lost, and waiting for it would take most of the lease.
async fn renew(state: Arc<FrontState>, leading: Arc<Leading>, lease: Lease) {
    let mut interval = tokio::time::interval(RENEWAL_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut renewals = JoinSet::new();
    let mut failing = false;
    loop {
        tokio::select! {
            _ = interval.tick() => {
                if renewals.len() < MAX_RENEWALS {
                    let store = state.store.clone();
                    let sent_at = state.clock.now();
                    renewals.spawn(async move { (sent_at, store.renew(lease).await) });
                }
                if !leading.is_confirmed(state.clock.now())
                    && state.highest_epoch() > leading.info.epoch
                {
                    leading.lost.notify_one();
                    return;
                }
            }
            Some(Ok((sent_at, renewed))) = renewals.join_next() => match renewed {
                Ok(true) => {
                    confirm(&state, &leading, sent_at);
                    if std::mem::take(&mut failing) {
                        info!(state.log, "lease renewed again"; "epoch" => leading.info.epoch);
                    }
                }
                Ok(false) => {
                    warn!(state.log, "lease ended"; "epoch" => leading.info.epoch);
                    leading.lost.notify_one();
                    return;
                }
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        warn!(state.log, "lease not renewed"; "epoch" => leading.info.epoch,
                            "error" => %error);
                    }
                }
            }
        }
    }
}

fn confirm(state: &FrontState, leading: &Leading, sent_at: Timestamp) {
    leading.confirm(sent_at);
    state.note_leader_heard(state.clock.now());
}

/// Keeps a front that stops in touch with the one that schedules.
pub(crate) async fn follow(state: Arc<FrontState>) {
    let standby = Standby {
        state: Arc::clone(&state),
    };
    loop {
        // A stopping front claims nothing, so no step elects it.
        match standby.step().await {
            Step::Elected(_) => tokio::time::sleep(SEARCH_PAUSE).await,
            Step::Wait(pause) => tokio::time::sleep(pause).await,
        }
    }
}
