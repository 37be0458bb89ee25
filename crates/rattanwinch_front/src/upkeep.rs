use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::Machine;
use rattanwinch_scheduling::MachineId;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::UpkeepAction;
use rattanwinch_scheduling::UpkeepOutcome;
use rattanwinch_scheduling::UpkeepPlanner;
use rattanwinch_scheduling::UpkeepWave;
use rattanwinch_site_machines::MachinesClient;
use rattanwinch_site_machines::Orderer;
use rattanwinch_site_operators::wave_status;
use rattanwinch_site_operators::wave_status_key;
use rattanwinch_types::Timestamp;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;

use crate::commands::Command;
use crate::front_state::FrontState;
use crate::leading::Leading;
use crate::records::WAVE_PREFIX;
use crate::records::WaveRecord;
use crate::records::encode_wave;

/// How long a call to the service that keeps the machines may take. Its slowest answers on the
/// users' sheets take 50 times a few milliseconds.
const CALL_LIMIT: Duration = Duration::from_millis(1500);

/// How often the machines are listed while a wave goes on; each list is priced.
const LIST_INTERVAL: Duration = Duration::from_millis(700);

/// Carries out waves of upkeep for the coordinator.
pub(crate) struct Upkeep {
    planner: UpkeepPlanner,
    client: Option<MachinesClient>,
    orderer: Orderer,
    records: BTreeMap<u32, WaveRecord>,
    /// Waves whose record and status are to be written.
    unwritten: Vec<u32>,
    listing: bool,
    list_at: Timestamp,
    commands: mpsc::Sender<Command>,
    log: Logger,
}

/// What the service that keeps the machines has answered.
pub(crate) enum UpkeepEvent {
    Listed {
        machines: Option<Vec<Machine>>,
        sent_at: Timestamp,
    },
    Ordered {
        wave: u32,
        machine: MachineId,
        outcome: UpkeepOutcome,
    },
}

impl Upkeep {
    /// Goes on with the waves of which the scheduler before has left records.
    pub(crate) fn new(
        state: &FrontState,
        leading: &Leading,
        records: BTreeMap<u32, WaveRecord>,
        now: Timestamp,
    ) -> Self {
        let machines = state.settings.machines;
        Self {
            planner: UpkeepPlanner::new(now),
            client: machines.map(|address| MachinesClient::new(address, CALL_LIMIT)),
            orderer: Orderer {
                vm: Arc::clone(&state.settings.vm.name),
                epoch: leading.info.epoch,
            },
            records,
            unwritten: Vec::new(),
            listing: false,
            list_at: now,
            commands: leading.commands.clone(),
            log: state.log.clone(),
        }
    }

    /// Takes over the operators' waves; `wall` is the time of day, by which their time counts
    /// across changes of scheduler.
    pub(crate) fn set_waves(&mut self, waves: &[UpkeepWave], now: Timestamp, wall: Timestamp) {
        for wave in waves {
            if !self.records.contains_key(&wave.number) {
                info!(self.log, "upkeep ordered"; "wave" => wave.number,
                    "machines" => wave.machines.len(), "most_down" => wave.max_down,
                    "time_s" => wave.time_limit.as_secs());
                let record = WaveRecord {
                    ordered_ms: wall.as_millis(),
                    completed: false,
                };
                self.records.insert(wave.number, record);
                self.unwritten.push(wave.number);
            }
        }
        if self.client.is_none() && !waves.is_empty() {
            warn!(self.log, "no service for machines in the settings"; "waves" => waves.len());
        }
        let records = &self.records;
        let open: Vec<_> = waves
            .iter()
            .filter(|wave| {
                records
                    .get(&wave.number)
                    .is_some_and(|record| !record.completed)
            })
            .cloned()
            .collect();
        self.planner.set_waves(&open, |number| {
            let ordered = records
                .get(&number)
                .map_or(wall, |record| Timestamp::from_millis(record.ordered_ms));
            let ago = wall.since(ordered);
            let ago = u64::try_from(ago.as_millis()).unwrap_or(u64::MAX);
            Timestamp::from_millis(now.as_millis().saturating_sub(ago))
        });
    }

    /// Does what is due.
    pub(crate) fn act(&mut self, scheduler: &mut Scheduler, now: Timestamp) {
        let Some(client) = self.client.clone() else {
            return;
        };
        if self.planner.has_active_waves() && !self.listing && now >= self.list_at {
            self.list(client.clone(), now);
        }
        for action in self.planner.plan_actions(scheduler, now) {
            match action {
                UpkeepAction::Begin { wave, machine } => self.begin(client.clone(), wave, machine),
                UpkeepAction::Complete { wave } => self.complete(wave),
            }
        }
    }

    fn list(&mut self, client: MachinesClient, sent_at: Timestamp) {
        self.listing = true;
        self.list_at = sent_at + LIST_INTERVAL;
        let (commands, log) = (self.commands.clone(), self.log.clone());
        tokio::spawn(async move {
            let machines = client.list().await;
            if let Err(error) = &machines {
                warn!(log, "machines not listed"; "error" => %error);
            }
            let event = UpkeepEvent::Listed {
                machines: machines.ok(),
                sent_at,
            };
            send(&commands, event).await;
        });
    }

    fn begin(&self, client: MachinesClient, wave: u32, machine: MachineId) {
        let commands = self.commands.clone();
        let orderer = self.orderer.clone();
        tokio::spawn(async move {
            let outcome = client.begin_upkeep(&machine, wave, &orderer).await;
            let event = UpkeepEvent::Ordered {
                wave,
                machine,
                outcome,
            };
            send(&commands, event).await;
        });
    }

    fn complete(&mut self, wave: u32) {
        let Some(record) = self.records.get_mut(&wave) else {
            return;
        };
        info!(self.log, "upkeep completed"; "wave" => wave);
        record.completed = true;
        self.planner.mark_completed(wave);
        self.unwritten.push(wave);
    }

    pub(crate) fn take(&mut self, event: UpkeepEvent, now: Timestamp) {
        match event {
            UpkeepEvent::Listed { machines, sent_at } => {
                self.listing = false;
                if let Some(machines) = machines {
                    self.planner.update_machines(machines, sent_at);
                }
            }
            UpkeepEvent::Ordered {
                wave,
                machine,
                outcome,
            } => {
                info!(self.log, "upkeep of a machine ordered"; "wave" => wave,
                    "machine" => %machine, "outcome" => ?outcome);
                self.planner.handle_outcome(wave, &machine, outcome, now);
            }
        }
    }

    /// What has to be written since the last call: records and the status for operators.
    pub(crate) fn take_writes(&mut self) -> Vec<(String, Vec<u8>)> {
        let mut writes = Vec::new();
        for wave in std::mem::take(&mut self.unwritten) {
            if let Some(record) = self.records.get(&wave) {
                writes.push((format!("{WAVE_PREFIX}{wave}"), encode_wave(*record)));
                writes.push((wave_status_key(wave), wave_status(wave, record.completed)));
            }
        }
        writes
    }

    pub(crate) fn has_writes(&self) -> bool {
        !self.unwritten.is_empty()
    }
}

async fn send(commands: &mpsc::Sender<Command>, event: UpkeepEvent) {
    // Without a coordinator there is no planner any more that the event could matter to.
    let _ = commands.send(Command::Upkeep(event)).await;
}
