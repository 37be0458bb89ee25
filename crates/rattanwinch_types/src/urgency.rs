crate::value! { copy
    /// How soon a job has to start.
    #[derive(Default)]
    pub enum Urgency {
        /// The job waits for its turn in the queue.
        #[default]
        Normal,
        /// The job starts within 2.8 s if its organisation's guarantee or free capacity allows it.
        Urgent,
    }
}

impl Urgency {
    /// The stable text used in messages and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Urgent => "urgent",
        }
    }

    /// Parses the stable text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "normal" => Some(Self::Normal),
            "urgent" => Some(Self::Urgent),
            _ => None,
        }
    }
}
