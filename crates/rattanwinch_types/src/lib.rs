//! Names, units, requests and verdicts that every rattanwinch package shares.
//!
//! This package is for plain values: checked names, durations and timestamps, the description of
//! plain requests and gang jobs, and [`Verdict`], which says whether a request may have run.
//! It isn't for I/O, for encodings of messages (each peer package has wire types of its own) or
//! for decisions (see `rattanwinch_decisions`).
//!
//! Start reading at [`PlainRequest`] and [`JobSpec`], then [`Verdict`]. [`Heartbeat`] and
//! [`MemberReport`] are what agents and entries tell each other.

mod accelerator_set;
mod answer;
mod claim_record;
mod config_copy;
mod digest;
mod fleet_config;
mod gang_shape;
mod heartbeat;
mod job_record;
mod job_spec;
mod job_status;
mod macros;
mod member;
mod name;
mod peer_state;
mod plain_request;
mod request_error;
mod request_key;
mod timestamp;
mod urgency;
mod verdict;

pub use accelerator_set::AcceleratorSet;
pub use answer::Answer;
pub use claim_record::ClaimOutcome;
pub use claim_record::ClaimRecord;
pub use config_copy::ConfigCopy;
pub use digest::Digest;
pub use fleet_config::Exception;
pub use fleet_config::ExceptionEffect;
pub use fleet_config::FleetConfig;
pub use fleet_config::FleetDefaults;
pub use fleet_config::Guarantee;
pub use fleet_config::OrganisationConfig;
pub use gang_shape::Adjacency;
pub use gang_shape::GangShape;
pub use gang_shape::InvalidShape;
pub use gang_shape::MAX_GANG_TASKS;
pub use gang_shape::WORKER_ACCELERATORS;
pub use heartbeat::EntryAddress;
pub use heartbeat::Heartbeat;
pub use heartbeat::HeartbeatResponse;
pub use job_record::JobRecord;
pub use job_record::PlacedTask;
pub use job_record::RecordedState;
pub use job_spec::JobSpec;
pub use job_status::Explanation;
pub use job_status::JobState;
pub use job_status::JobStatus;
pub use member::HoldOrder;
pub use member::MemberKey;
pub use member::MemberOutcome;
pub use member::MemberPhase;
pub use member::MemberReport;
pub use member::StopMode;
pub use member::StopOrder;
pub use name::ChangeId;
pub use name::EntryName;
pub use name::ExceptionId;
pub use name::InvalidName;
pub use name::MAX_NAME_BYTES;
pub use name::Organisation;
pub use name::RackName;
pub use name::RequestId;
pub use name::TargetName;
pub use name::ZoneName;
pub use peer_state::GuaranteeStatus;
pub use peer_state::PeerState;
pub use peer_state::ZoneEpoch;
pub use peer_state::ZoneSummary;
pub use plain_request::MAX_DEADLINE_AHEAD;
pub use plain_request::MAX_PAYLOAD_BYTES;
pub use plain_request::PlainRequest;
pub use request_error::ErrorKind;
pub use request_error::RequestError;
pub use request_key::AttemptKey;
pub use request_key::Epoch;
pub use request_key::Incarnation;
pub use request_key::RequestKey;
pub use request_key::Revision;
pub use timestamp::Timestamp;
pub use urgency::Urgency;
pub use verdict::Verdict;
