use rattanwinch_types::RequestError;

rattanwinch_types::value! { wire
    /// An error with its verdict.
    pub struct WireError {
        /// `not_run`, `may_have_run` or `ran`: whether the request or change ran.
        pub verdict: String,
        /// The class of the error.
        pub kind: String,
        /// What was wrong, where, and what was expected.
        pub message: String,
    }
}

impl From<RequestError> for WireError {
    fn from(error: RequestError) -> Self {
        Self {
            verdict: error.verdict.as_str().to_owned(),
            kind: error.kind.as_str().to_owned(),
            message: error.message.to_string(),
        }
    }
}

rattanwinch_types::value! { wire
    /// The body of every error response.
    pub struct WireErrorBody {
        /// The error.
        pub error: WireError,
    }
}

impl From<RequestError> for WireErrorBody {
    fn from(error: RequestError) -> Self {
        Self {
            error: WireError::from(error),
        }
    }
}
