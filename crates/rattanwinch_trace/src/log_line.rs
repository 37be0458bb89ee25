use serde_json::Map;
use serde_json::Value;

/// Fields that are present in every line or do not describe the event.
const COMMON_FIELDS: [&str; 5] = ["msg", "level", "ts_unix_ms", "process", "vm"];

/// A log event of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When the line was written, in milliseconds of the clock of its file.
    pub at_ms: f64,
    /// The machine name that a bench printed in front of the line.
    pub machine: Option<String>,
    /// The name of the event, which is its log message.
    pub event: String,
    /// All fields of the line.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; `None` if it is not an event.
    ///
    /// The JSON object may follow a time in seconds, which then takes precedence, and a machine
    /// name.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let (prefix, object) = text.split_at(begin);
        let Ok(Value::Object(fields)) = serde_json::from_str(object) else {
            return None;
        };
        let event = fields.get("msg")?.as_str()?.to_owned();
        let mut words = prefix.split_whitespace();
        let seconds = words.next().and_then(|word| word.parse::<f64>().ok());
        let written = fields.get("ts_unix_ms").and_then(Value::as_f64);
        Some(Self {
            at_ms: seconds.map(|seconds| seconds * 1000.0).or(written)?,
            machine: seconds.and_then(|_| words.next()).map(str::to_owned),
            event,
            fields,
        })
    }

    /// Returns a field as text; values other than strings are formatted as JSON.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<String> {
        self.fields.get(field).map(|value| match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        })
    }

    /// Returns a numeric field.
    #[must_use]
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field).and_then(Value::as_f64)
    }

    /// Returns true if a field contains the job id, also as part of a run, a path or a list.
    #[must_use]
    pub fn mentions(&self, job: &str) -> bool {
        let mut values = self.fields.values();
        values.any(|value| value.as_str().is_some_and(|text| text.contains(job)))
    }

    /// Returns true if the `job` field of the line is this job.
    #[must_use]
    pub fn is_about(&self, job: &str) -> bool {
        self.text("job").as_deref() == Some(job)
    }

    /// Formats the event-specific fields as `name=value`.
    #[must_use]
    pub fn details(&self) -> String {
        let event_fields = self.fields.keys();
        let event_fields = event_fields.filter(|name| !COMMON_FIELDS.contains(&name.as_str()));
        let words = event_fields.filter_map(|name| Some(format!("{name}={}", self.text(name)?)));
        words.collect::<Vec<_>>().join(" ")
    }
}
