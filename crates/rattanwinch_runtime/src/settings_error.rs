use std::fmt;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The path of the file.
    pub file: String,
    /// The section; empty if the error concerns the whole file.
    pub section: String,
    /// The key; empty if the error concerns a whole section.
    pub key: String,
    /// The value or text found.
    pub found: String,
    /// The value or text expected.
    pub expected: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": found {}, expected {}", self.found, self.expected)
    }
}

impl std::error::Error for SettingsError {}

/// All errors in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}
