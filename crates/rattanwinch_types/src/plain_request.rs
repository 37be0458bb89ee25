use std::sync::Arc;
use std::time::Duration;

use bon::Builder;

use crate::Digest;
use crate::ErrorKind;
use crate::RequestError;
use crate::RequestKey;
use crate::Timestamp;

/// The maximum size in bytes of a request payload and of the answer of one task.
pub const MAX_PAYLOAD_BYTES: usize = 256 * 1024;

/// The maximum time until the deadline of a non-idempotent request.
///
/// Claims are kept for 24 h, so a retry before the deadline always finds the earlier claim.
pub const MAX_DEADLINE_AHEAD: Duration = Duration::from_secs(12 * 3600);

/// A request that is answered by one slot of one target.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct PlainRequest {
    /// The organisation and the caller's id of the request.
    pub key: RequestKey,
    /// True if running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// True if the caller sends this id for the first time. Allows the verdict "not run" where an
    /// earlier submission could have run. Not part of the digest.
    #[builder(default)]
    pub first_submission: bool,
    /// When the caller stops waiting, in milliseconds since the Unix epoch.
    pub deadline: Timestamp,
    /// The payload passed to the executor, at most [`MAX_PAYLOAD_BYTES`].
    pub payload: Arc<str>,
}

impl PlainRequest {
    /// Computes the digest of the request, which distinguishes a retry from a reused id.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of_fields(&[
            b"plain",
            self.key.organisation.as_str().as_bytes(),
            self.key.id.as_str().as_bytes(),
            &[u8::from(self.idempotent)],
            &self.deadline.as_millis().to_be_bytes(),
            self.payload.as_bytes(),
        ])
    }

    /// Validates the payload size and the deadline.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] with the verdict "not run" if the payload is too large or the
    /// deadline too far ahead. [`ErrorKind::Deadline`] if the deadline has passed, with "may
    /// have run" for a non-idempotent request, whose earlier claim may have been deleted.
    pub fn check(&self, now: Timestamp) -> Result<(), RequestError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            let message = format!(
                "payload has {} bytes: expected at most {MAX_PAYLOAD_BYTES}",
                self.payload.len()
            );
            return Err(RequestError::not_run(ErrorKind::Invalid, message));
        }
        if self.deadline <= now {
            let error = RequestError::not_run(
                ErrorKind::Deadline,
                "deadline_unix_ms has passed: expected a time in the future",
            );
            return Err(if self.idempotent || self.first_submission {
                error
            } else {
                error.with_verdict_at_least(crate::Verdict::MayHaveRun)
            });
        }
        if !self.idempotent && now.until(self.deadline) > MAX_DEADLINE_AHEAD {
            return Err(RequestError::not_run(
                ErrorKind::Invalid,
                "deadline_unix_ms is more than 12 h ahead: expected at most 12 h if not idempotent",
            ));
        }
        Ok(())
    }
}
