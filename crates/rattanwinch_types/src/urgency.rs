crate::value! { copy
    /// How soon a job has to start.
    #[derive(Default)]
    pub enum Urgency {
        /// Waits its turn.
        #[default]
        Normal,
        /// Starts within 2.8 s where the guarantee of its organisation or free capacity allows.
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

    /// Reads the stable text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "normal" => Some(Self::Normal),
            "urgent" => Some(Self::Urgent),
            _ => None,
        }
    }
}
