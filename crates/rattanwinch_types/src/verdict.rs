use std::fmt;

crate::value! { copy
    /// Whether a request may have run.
    ///
    /// Verdicts are ordered: a verdict may be reported as a later one, never as an earlier one.
    pub enum Verdict {
        /// The request did not run and never will: nothing was sent, or the only process that
        /// could have run it has recorded that it will not.
        NotRun,
        /// The request may have run, completely or in part.
        MayHaveRun,
        /// The request ran.
        Ran,
    }
}

impl Verdict {
    /// The stable text used in messages, logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }

    /// Parses the stable text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "not_run" => Some(Self::NotRun),
            "may_have_run" => Some(Self::MayHaveRun),
            "ran" => Some(Self::Ran),
            _ => None,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not run",
            Self::MayHaveRun => "may have run",
            Self::Ran => "ran",
        })
    }
}
