use std::fmt;
use std::sync::Arc;

use rattanwinch_types::Organisation;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;

rattanwinch_types::value! {
    /// Why a queued job waits.
    pub(crate) enum WaitCause {
        /// The job has not been considered by a decision yet.
        New,
        /// The last start failed.
        Backoff {
            /// Earliest time of the next try.
            until: Timestamp,
        },
        /// No free accelerators fit the shape.
        NoFreeAccelerators,
        /// The fitting accelerators are reserved for a job that has waited longer.
        ReservedForHead(RequestKey),
        /// The organisation is at its limit.
        Quota {
            /// The organisation.
            organisation: Organisation,
            /// Maximum number of accelerators that it may use at once.
            limit: u32,
            /// Number of accelerators that it uses.
            used: u32,
        },
        /// The availability zone is closed.
        Closed(Arc<str>),
        /// The availability zone has reopened and is ramping up.
        RampingUp,
        /// Borrowers are being evicted from the organisation's guarantee.
        Reclaiming(Organisation),
    }
}

impl fmt::Display for WaitCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::New => f.write_str("It waits for its first scheduling decision."),
            Self::Backoff { until } => write!(
                f,
                "Its last start failed; it is tried again at {} ms.",
                until.as_millis()
            ),
            Self::NoFreeAccelerators => f.write_str(
                "No free accelerators fit its shape; it starts when enough adjacent ones are free.",
            ),
            Self::ReservedForHead(key) => write!(
                f,
                "The fitting accelerators are reserved for {key}, which has waited longer."
            ),
            Self::Quota {
                organisation,
                limit,
                used,
            } => write!(
                f,
                "{organisation} uses {used} of the {limit} accelerators that it may use at once."
            ),
            Self::Closed(reason) => {
                write!(f, "Operators have closed the availability zone: {reason}")
            }
            Self::RampingUp => {
                f.write_str("The availability zone has just opened; its jobs are started in steps.")
            }
            Self::Reclaiming(organisation) => write!(
                f,
                "Borrowers are being evicted from the guarantee of {organisation}."
            ),
        }
    }
}
