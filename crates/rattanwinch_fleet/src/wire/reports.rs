use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::Checkpoint;
use rattanwinch_scheduling::EndedTask;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::Label;
use rattanwinch_scheduling::ListExtent;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunLists;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::RunningTask;
use rattanwinch_scheduling::ServiceName;
use rattanwinch_scheduling::StepId;
use rattanwinch_scheduling::TargetDescription;
use rattanwinch_scheduling::TargetInstance;
use rattanwinch_scheduling::TargetReport;
use rattanwinch_scheduling::TaskId;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::AgentId;
use crate::AgentReport;
use crate::ReportAnswer;

/// [`RunId`] on the wire: job, occurrence, step, index, number.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireRun(Arc<str>, u32, u32, u32, u32);

impl From<&RunId> for WireRun {
    fn from(run: &RunId) -> Self {
        let step = &run.task.step;
        Self(
            Arc::from(step.job.as_str()),
            step.occurrence,
            step.step,
            run.task.index,
            run.number,
        )
    }
}

impl From<WireRun> for RunId {
    fn from(wire: WireRun) -> Self {
        Self {
            task: TaskId {
                step: StepId {
                    job: JobId::from(&*wire.0),
                    occurrence: wire.1,
                    step: wire.2,
                },
                index: wire.3,
            },
            number: wire.4,
        }
    }
}

/// [`TargetInstance`] on the wire: VM, target, and start in Unix milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireInstance(Arc<str>, String, u64);

impl From<&TargetInstance> for WireInstance {
    fn from(instance: &TargetInstance) -> Self {
        let target = instance.target.as_str().to_owned();
        Self(Arc::clone(&instance.vm), target, instance.started_at_ms)
    }
}

impl From<WireInstance> for TargetInstance {
    fn from(wire: WireInstance) -> Self {
        Self {
            vm: wire.0,
            target: TargetName::from_text(wire.1),
            started_at_ms: wire.2,
        }
    }
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEnd {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
}

impl From<RunOutcome> for WireEnd {
    fn from(outcome: RunOutcome) -> Self {
        match outcome {
            RunOutcome::Done => Self::Done,
            RunOutcome::Failed => Self::Failed,
            RunOutcome::Stopped => Self::Stopped,
            RunOutcome::Lapsed => Self::Lapsed,
            RunOutcome::Broken => Self::Broken,
            RunOutcome::Alone => Self::Alone,
        }
    }
}

impl From<WireEnd> for RunOutcome {
    fn from(wire: WireEnd) -> Self {
        match wire {
            WireEnd::Done => Self::Done,
            WireEnd::Failed => Self::Failed,
            WireEnd::Stopped => Self::Stopped,
            WireEnd::Lapsed => Self::Lapsed,
            WireEnd::Broken => Self::Broken,
            WireEnd::Alone => Self::Alone,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireRunning {
    run: WireRun,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    saved: Option<Arc<str>>,
    percent: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireEnded {
    sequence: u64,
    run: WireRun,
    end: WireEnd,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    saved: Option<Arc<str>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WireTarget {
    life: WireInstance,
    service: Arc<str>,
    zone: String,
    cpu_millis: u64,
    memory_mb: u64,
    accelerators: u64,
    labels: Vec<Arc<str>>,
    draining: bool,
    #[serde(default)]
    lists_clock_ms: u64,
    running: Vec<WireRunning>,
    ended: Vec<WireEnded>,
    /// Further ends may follow.
    #[serde(default)]
    partial: bool,
    /// The time until all leases have ended; stated by an agent that stops.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    leases_end_in_ms: Option<u64>,
    /// The least time until a draining target ends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    leaves_in_ms: Option<u64>,
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn saved(checkpoint: Option<&Checkpoint>) -> Option<Arc<str>> {
    checkpoint.map(|checkpoint| Arc::from(checkpoint.as_str()))
}

fn checkpoint(saved: Option<Arc<str>>) -> Option<Checkpoint> {
    saved.map(|saved| Checkpoint::from(&*saved))
}

impl From<&TargetReport> for WireTarget {
    fn from(report: &TargetReport) -> Self {
        let described = &report.description;
        let running = report.lists.running.iter().map(|running| WireRunning {
            run: (&running.run).into(),
            saved: saved(running.checkpoint.as_ref()),
            percent: running.percent,
        });
        let ended = report.lists.ended.iter().map(|ended| WireEnded {
            sequence: ended.sequence,
            run: (&ended.run).into(),
            end: ended.outcome.into(),
            saved: saved(ended.checkpoint.as_ref()),
        });
        let labels = described.labels.iter();
        Self {
            life: (&described.instance).into(),
            service: Arc::from(described.service.as_str()),
            zone: described.zone.as_str().to_owned(),
            cpu_millis: described.capacity.cpu_millis,
            memory_mb: described.capacity.memory_mb,
            accelerators: described.capacity.accelerators,
            labels: labels.map(|label| Arc::from(label.as_str())).collect(),
            draining: described.draining,
            lists_clock_ms: report.lists_clock_ms,
            running: running.collect(),
            ended: ended.collect(),
            partial: report.lists.extent == ListExtent::Partial,
            leases_end_in_ms: report.leases_end_in.map(millis),
            leaves_in_ms: report.leaves_in.map(millis),
        }
    }
}

impl From<WireTarget> for TargetReport {
    fn from(wire: WireTarget) -> Self {
        let running = wire.running.into_iter().map(|running| RunningTask {
            run: running.run.into(),
            checkpoint: checkpoint(running.saved),
            percent: running.percent,
        });
        let ended = wire.ended.into_iter().map(|ended| EndedTask {
            sequence: ended.sequence,
            run: ended.run.into(),
            outcome: ended.end.into(),
            checkpoint: checkpoint(ended.saved),
        });
        let labels = wire.labels.iter();
        Self {
            description: TargetDescription {
                instance: wire.life.into(),
                service: ServiceName::from(&*wire.service),
                zone: ZoneName::from_text(wire.zone),
                capacity: Resources {
                    cpu_millis: wire.cpu_millis,
                    memory_mb: wire.memory_mb,
                    accelerators: wire.accelerators,
                },
                labels: labels.map(|label| Label::from(&**label)).collect(),
                draining: wire.draining,
            },
            leases_end_in: wire.leases_end_in_ms.map(Duration::from_millis),
            leaves_in: wire.leaves_in_ms.map(Duration::from_millis),
            lists_clock_ms: wire.lists_clock_ms,
            lists: RunLists {
                running: running.collect(),
                ended: ended.collect(),
                extent: if wire.partial {
                    ListExtent::Partial
                } else {
                    ListExtent::Complete
                },
            },
        }
    }
}

/// [`AgentReport`] on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireReport {
    vm: Arc<str>,
    incarnation: u64,
    sequence: u64,
    address: SocketAddr,
    clock_ms: u64,
    epoch: u64,
    target: Option<WireTarget>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    left: Option<WireInstance>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    lapsed: Option<WireInstance>,
}

impl From<&AgentReport> for WireReport {
    fn from(report: &AgentReport) -> Self {
        Self {
            vm: Arc::clone(&report.agent.vm),
            incarnation: report.agent.incarnation,
            sequence: report.sequence,
            address: report.address,
            clock_ms: report.clock.as_millis(),
            epoch: report.epoch,
            target: report.target.as_ref().map(WireTarget::from),
            left: report.departed.as_ref().map(WireInstance::from),
            lapsed: report.lapsed.as_ref().map(WireInstance::from),
        }
    }
}

impl From<WireReport> for AgentReport {
    fn from(wire: WireReport) -> Self {
        Self {
            agent: AgentId {
                vm: wire.vm,
                incarnation: wire.incarnation,
            },
            sequence: wire.sequence,
            address: wire.address,
            clock: Timestamp::from_millis(wire.clock_ms),
            epoch: wire.epoch,
            target: wire.target.map(TargetReport::from),
            departed: wire.left.map(TargetInstance::from),
            lapsed: wire.lapsed.map(TargetInstance::from),
        }
    }
}

/// [`ReportAnswer`] on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireReportAnswer {
    epoch: u64,
    confirmed: bool,
    acknowledged: u64,
    fronts: Vec<SocketAddr>,
}

impl From<ReportAnswer> for WireReportAnswer {
    fn from(answer: ReportAnswer) -> Self {
        Self {
            epoch: answer.epoch,
            confirmed: answer.confirmed,
            acknowledged: answer.acknowledged,
            fronts: answer.fronts,
        }
    }
}

impl From<WireReportAnswer> for ReportAnswer {
    fn from(wire: WireReportAnswer) -> Self {
        Self {
            epoch: wire.epoch,
            confirmed: wire.confirmed,
            acknowledged: wire.acknowledged,
            fronts: wire.fronts,
        }
    }
}
