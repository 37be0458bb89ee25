use std::fmt;
use std::sync::Arc;

use rattanwinch_types::Organisation;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;

rattanwinch_types::value! {
    /// What a queued job waits for.
    pub(crate) enum WaitCause {
        /// It was not looked at yet.
        New,
        /// Its last start failed.
        BackOff {
            /// It is tried again then.
            until: Timestamp,
        },
        /// No free accelerators that fit its shape.
        NoRoom,
        /// The fitting accelerators are kept for a job that has waited longer.
        KeptFor(RequestKey),
        /// The organisation is at its limit.
        Quota {
            /// The organisation.
            organisation: Organisation,
            /// The most accelerators it may use.
            limit: u32,
            /// The accelerators it uses.
            used: u32,
        },
        /// The availability zone is closed.
        Closed(Arc<str>),
        /// The availability zone is open again and is being filled in steps.
        Refilling,
        /// Borrowers are being evicted from the guarantee of its organisation.
        Reclaiming(Organisation),
    }
}

impl fmt::Display for WaitCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::New => f.write_str("It was submitted and is looked at in the next decision."),
            Self::BackOff { until } => write!(
                f,
                "Its last start failed; it is tried again at {} ms.",
                until.as_millis()
            ),
            Self::NoRoom => f.write_str(
                "No free accelerators fit its shape; it starts when enough adjacent ones are free.",
            ),
            Self::KeptFor(key) => write!(
                f,
                "The fitting accelerators are kept for {key}, which has waited longer."
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
            Self::Refilling => {
                f.write_str("The availability zone has just opened; its jobs are started in steps.")
            }
            Self::Reclaiming(organisation) => write!(
                f,
                "Borrowers are being evicted from the guarantee of {organisation}."
            ),
        }
    }
}
