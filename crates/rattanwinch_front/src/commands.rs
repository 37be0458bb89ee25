use std::sync::Arc;

use rattanwinch_fleet::AgentReport;
use rattanwinch_fleet::CallerAnswer;
use rattanwinch_fleet::OrderResults;
use rattanwinch_fleet::ReportAnswer;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::AdvisorQuery;
use rattanwinch_scheduling::AdvisorResponse;
use rattanwinch_scheduling::Changes;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::RunId;
use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;
use tokio::sync::oneshot;

use crate::committer::Committer;
use crate::upkeep::UpkeepEvent;

/// A command to the coordinator.
pub(crate) enum Command {
    /// A caller submits a job; the body is stored unchanged.
    Submit {
        job: Arc<AcceptedJob>,
        body: Arc<str>,
        reply: oneshot::Sender<CallerAnswer>,
    },
    /// A caller cancels a job of its organisation.
    Cancel {
        job: JobId,
        organisation: Organisation,
        reply: oneshot::Sender<CallerAnswer>,
    },
    /// An agent sends a report.
    Report {
        report: AgentReport,
        reply: oneshot::Sender<ReportAnswer>,
    },
    /// An agent answered orders; `None` if the call failed or timed out.
    AgentAnswered {
        runs: Vec<RunId>,
        results: Option<OrderResults>,
    },
    /// A commit ended; `None` in place of the committer if leadership is lost.
    Committed {
        changes: Changes,
        removed_jobs: Vec<JobId>,
        committer: Option<Committer>,
    },
    /// The advisor answered; `None` if the call failed or timed out.
    AdvisorResponded {
        query: AdvisorQuery,
        answer: Option<AdvisorResponse>,
        sent_at: Timestamp,
    },
    /// The machine service answered.
    Upkeep(UpkeepEvent),
    /// A changed version of the operators' orders was read.
    OperatorOrdersUpdated,
}
