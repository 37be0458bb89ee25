use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::MachineId;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::UpkeepAction;
use rattanwinch_scheduling::UpkeepOutcome;
use rattanwinch_scheduling::UpkeepPlanner;
use rattanwinch_scheduling::UpkeepWave;
use rattanwinch_site_machines::LeaseHolder;
use rattanwinch_site_machines::MachineList;
use rattanwinch_site_machines::MachinesClient;
use rattanwinch_site_operators::wave_status;
use rattanwinch_site_operators::wave_status_key;
use rattanwinch_types::Timestamp;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;

use crate::commands::Command;
use crate::front_state::FrontState;
use crate::local_leader::LocalLeader;
use crate::records::WAVE_PREFIX;
use crate::records::WaveRecord;
use crate::records::encode_wave;

/// Timeout of a call to the machine service. By the users' requirements its slowest answers take 50
/// times a few milliseconds.
const MACHINE_CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval at which the machines are listed during a wave; each list call is billed.
const MACHINE_LIST_INTERVAL: Duration = Duration::from_millis(700);

/// Carries out upkeep waves for the coordinator.
pub(crate) struct Upkeep {
    planner: UpkeepPlanner,
    client: Option<MachinesClient>,
    lease_holder: LeaseHolder,
    records: BTreeMap<u32, WaveRecord>,
    /// Waves whose record and status have to be written.
    pending_writes: Vec<u32>,
    list_pending: bool,
    next_list_at: Timestamp,
    commands: mpsc::Sender<Command>,
    log: Logger,
}

/// An answer of the machine service.
pub(crate) enum UpkeepEvent {
    Listed {
        list: Option<MachineList>,
        sent_at: Timestamp,
    },
    BeginAnswered {
        wave: u32,
        machine: MachineId,
        outcome: UpkeepOutcome,
    },
}

impl Upkeep {
    /// Continues the waves recorded by the previous leader.
    pub(crate) fn new(
        state: &FrontState,
        local_leader: &LocalLeader,
        records: BTreeMap<u32, WaveRecord>,
        now: Timestamp,
    ) -> Self {
        let machines = state.settings.machines;
        Self {
            planner: UpkeepPlanner::new(now),
            client: machines.map(|address| MachinesClient::new(address, MACHINE_CALL_TIMEOUT)),
            lease_holder: LeaseHolder {
                vm: Arc::clone(&state.settings.vm.name),
                epoch: local_leader.info.epoch,
            },
            records,
            pending_writes: Vec::new(),
            list_pending: false,
            next_list_at: now,
            commands: local_leader.commands.clone(),
            log: state.log.clone(),
        }
    }

    /// Applies the operators' waves. `wall` is the wall-clock time, which the deadlines of waves
    /// are counted by across changes of leader.
    pub(crate) fn set_waves(&mut self, waves: &[UpkeepWave], now: Timestamp, wall: Timestamp) {
        for wave in waves {
            if !self.records.contains_key(&wave.number) {
                info!(self.log, "upkeep wave received"; "wave" => wave.number,
                    "machines" => wave.machines.len(), "most_down" => wave.max_down,
                    "time_s" => wave.time_limit.as_secs());
                let record = WaveRecord {
                    ordered_ms: wall.as_millis(),
                    completed: false,
                };
                self.records.insert(wave.number, record);
                self.pending_writes.push(wave.number);
            }
        }
        if self.client.is_none() && !waves.is_empty() {
            warn!(self.log, "upkeep waves ignored: no machine service in the settings";
                "waves" => waves.len());
        }
        let records = &self.records;
        let incomplete: Vec<_> = waves
            .iter()
            .filter(|wave| {
                records
                    .get(&wave.number)
                    .is_some_and(|record| !record.completed)
            })
            .cloned()
            .collect();
        self.planner.set_waves(&incomplete, |number| {
            let ordered = records
                .get(&number)
                .map_or(wall, |record| Timestamp::from_millis(record.ordered_ms));
            let elapsed = wall.since(ordered);
            let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
            Timestamp::from_millis(now.as_millis().saturating_sub(elapsed))
        });
    }

    /// Starts the calls to the machine service that are due, and completes finished waves.
    pub(crate) fn run_due(&mut self, scheduler: &mut Scheduler, now: Timestamp) {
        let Some(client) = self.client.clone() else {
            return;
        };
        if self.planner.has_active_waves() && !self.list_pending && now >= self.next_list_at {
            self.request_list(client.clone(), now);
        }
        for action in self.planner.plan_actions(scheduler, now) {
            match action {
                UpkeepAction::Begin { wave, machine } => self.begin(client.clone(), wave, machine),
                UpkeepAction::Complete { wave } => self.complete(wave),
            }
        }
    }

    fn request_list(&mut self, client: MachinesClient, sent_at: Timestamp) {
        self.list_pending = true;
        self.next_list_at = sent_at + MACHINE_LIST_INTERVAL;
        let (commands, log) = (self.commands.clone(), self.log.clone());
        tokio::spawn(async move {
            let list = client.list().await;
            match &list {
                Ok(list) if list.unreadable_rows > 0 => {
                    warn!(log, "rows of the machine list ignored"; "rows" => list.unreadable_rows);
                }
                Ok(_) => {}
                Err(error) => warn!(log, "machine list not read"; "error" => %error),
            }
            let event = UpkeepEvent::Listed {
                list: list.ok(),
                sent_at,
            };
            send_event(&commands, event).await;
        });
    }

    fn begin(&self, client: MachinesClient, wave: u32, machine: MachineId) {
        let commands = self.commands.clone();
        let lease_holder = self.lease_holder.clone();
        tokio::spawn(async move {
            let outcome = client.begin_upkeep(&machine, wave, &lease_holder).await;
            let event = UpkeepEvent::BeginAnswered {
                wave,
                machine,
                outcome,
            };
            send_event(&commands, event).await;
        });
    }

    fn complete(&mut self, wave: u32) {
        let Some(record) = self.records.get_mut(&wave) else {
            return;
        };
        info!(self.log, "upkeep wave completed"; "wave" => wave);
        record.completed = true;
        self.planner.mark_completed(wave);
        self.pending_writes.push(wave);
    }

    pub(crate) fn handle(&mut self, event: UpkeepEvent, now: Timestamp) {
        match event {
            UpkeepEvent::Listed { list, sent_at } => {
                self.list_pending = false;
                if let Some(list) = list {
                    let extent = list.extent();
                    self.planner.update_machines(list.machines, extent, sent_at);
                }
            }
            UpkeepEvent::BeginAnswered {
                wave,
                machine,
                outcome,
            } => {
                info!(self.log, "upkeep order of a machine answered"; "wave" => wave,
                    "machine" => %machine, "outcome" => ?outcome);
                self.planner.handle_outcome(wave, &machine, outcome, now);
            }
        }
    }

    /// Drains the pending writes: wave records and their status for operators.
    pub(crate) fn take_writes(&mut self) -> Vec<(String, Vec<u8>)> {
        let mut writes = Vec::new();
        for wave in std::mem::take(&mut self.pending_writes) {
            if let Some(record) = self.records.get(&wave) {
                writes.push((format!("{WAVE_PREFIX}{wave}"), encode_wave(*record)));
                writes.push((wave_status_key(wave), wave_status(wave, record.completed)));
            }
        }
        writes
    }

    pub(crate) fn has_pending_writes(&self) -> bool {
        !self.pending_writes.is_empty()
    }
}

async fn send_event(commands: &mpsc::Sender<Command>, event: UpkeepEvent) {
    // The send fails only if the coordinator, which owns the upkeep planner, has stopped.
    let _ = commands.send(Command::Upkeep(event)).await;
}
