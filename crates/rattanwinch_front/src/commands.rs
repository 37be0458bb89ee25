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
use rattanwinch_types::Timestamp;
use tokio::sync::oneshot;

use crate::committer::Committer;
use crate::upkeep::UpkeepEvent;

/// What the coordinator is told.
pub(crate) enum Command {
    /// A caller hands in a job, whose body is kept as it came.
    Submit {
        job: Arc<AcceptedJob>,
        body: Arc<str>,
        reply: oneshot::Sender<CallerAnswer>,
    },
    /// A caller cancels a job.
    Cancel {
        job: JobId,
        reply: oneshot::Sender<CallerAnswer>,
    },
    /// An agent reports.
    Report {
        report: AgentReport,
        reply: oneshot::Sender<ReportAnswer>,
    },
    /// Orders have been answered, or haven't within their time.
    Ordered {
        runs: Vec<RunId>,
        results: Option<OrderResults>,
    },
    /// Changes are durable; `None` in place of the committer if leadership is lost.
    Committed {
        changes: Changes,
        forgotten: Vec<JobId>,
        committer: Option<Committer>,
    },
    /// The advisor has answered, or hasn't within its time.
    Advised {
        question: AdvisorQuery,
        answer: Option<AdvisorResponse>,
        sent_at: Timestamp,
    },
    /// The service that keeps the machines has answered.
    Upkeep(UpkeepEvent),
    /// The operators' orders have been read.
    OrdersRead,
}
