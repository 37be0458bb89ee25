use std::collections::BTreeMap;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;

use crate::SettingsError;
use crate::SettingsErrors;

/// Result of reading a settings file.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// An INI file that is read key by key. Errors are collected; keys that were never read are errors
/// too.
#[derive(Debug)]
pub struct SettingsFile {
    file: String,
    values: BTreeMap<(String, String), String>,
    errors: Vec<SettingsError>,
}

impl SettingsFile {
    /// Reads and parses the file.
    ///
    /// # Errors
    ///
    /// One error if the file can't be read or isn't INI.
    pub fn open(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| file_error(&file, error.to_string(), "a readable file"))?;
        Self::parse(&file, &text)
    }

    /// Parses `text`; errors name the file `file`.
    ///
    /// # Errors
    ///
    /// One error if the text isn't INI.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let ini = Ini::load_from_str(text);
        let ini = ini.map_err(|error| file_error(file, error.to_string(), "INI"))?;
        let mut settings = Self {
            file: file.to_owned(),
            values: BTreeMap::new(),
            errors: Vec::new(),
        };
        for (section, properties) in &ini {
            for (key, value) in properties {
                let at = (section.unwrap_or_default().to_owned(), key.to_owned());
                if settings
                    .values
                    .insert(at, value.trim().to_owned())
                    .is_some()
                {
                    let section = section.unwrap_or_default();
                    settings.add_error(section, key, "more than one value", "a single value");
                }
            }
        }
        Ok(settings)
    }

    /// Reads a required value.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        let text = self.take(section, key);
        if text.is_none() {
            self.add_error(section, key, "no value", expected);
        }
        self.convert(section, key, &text?, expected)
    }

    /// Reads a value, or returns `default` if the key is absent or its value empty.
    pub fn optional<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        expected: &str,
    ) -> Option<T> {
        match self.take(section, key).filter(|text| !text.is_empty()) {
            Some(text) => self.convert(section, key, &text, expected),
            None => Some(default),
        }
    }

    /// Reads a comma-separated list; an absent key is an empty list.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<Vec<T>> {
        let text = self.take(section, key).unwrap_or_default();
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        items
            .map(|item| self.convert(section, key, item, expected))
            .collect()
    }

    /// Reads a duration in milliseconds, or returns `default` if the key is absent.
    pub fn millis(&mut self, section: &str, key: &str, default: Duration) -> Option<Duration> {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        let expected = "a whole number of milliseconds";
        self.optional(section, key, default, expected)
            .map(Duration::from_millis)
    }

    /// Records an error about a value that was read but conflicts with others.
    pub fn add_error(&mut self, section: &str, key: &str, found: &str, expected: &str) {
        self.errors.push(SettingsError {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            found: found.to_owned(),
            expected: expected.to_owned(),
        });
    }

    /// Returns `settings` if there was no error.
    ///
    /// # Errors
    ///
    /// All errors, including those for keys that were never read.
    ///
    /// # Panics
    ///
    /// If `settings` is `None` and there was no error, which is a bug in the caller.
    pub fn finish<T>(mut self, settings: Option<T>) -> Result<T> {
        let unknown: Vec<_> = std::mem::take(&mut self.values).into_keys().collect();
        for (section, key) in unknown {
            self.add_error(&section, &key, "an unknown key", "a documented key");
        }
        if !self.errors.is_empty() {
            return Err(SettingsErrors(self.errors));
        }
        Ok(settings.expect("settings without errors are complete"))
    }

    fn take(&mut self, section: &str, key: &str) -> Option<String> {
        self.values.remove(&(section.to_owned(), key.to_owned()))
    }

    fn convert<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
        expected: &str,
    ) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.add_error(section, key, &format!("{text:?}"), expected);
        }
        value
    }
}

fn file_error(file: &str, found: String, expected: &str) -> SettingsErrors {
    SettingsErrors(vec![SettingsError {
        file: file.to_owned(),
        section: String::new(),
        key: String::new(),
        found,
        expected: expected.to_owned(),
    }])
}
