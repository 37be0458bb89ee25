use std::fmt;

crate::value! { copy
    /// Whether a request may have run.
    ///
    /// The order is from the best known to the worst: a verdict may be reported as a later one,
    /// never as an earlier one.
    pub enum Verdict {
        /// It didn't run and never will: nothing was sent, or the place that could have run it
        /// has recorded that it won't.
        NotRun,
        /// It may have run, wholly or in part.
        MayHaveRun,
        /// It ran.
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

    /// Reads the stable text.
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
