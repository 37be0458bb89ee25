use serde_json::Map;
use serde_json::Value;

/// Fields that every line has or that tell nothing of the event.
const COMMON_FIELDS: [&str; 5] = ["msg", "level", "ts_unix_ms", "process", "vm"];

/// One event of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, in milliseconds of the clock of its file.
    pub at_ms: f64,
    /// The machine that a bench printed before the line.
    pub machine: Option<String>,
    /// The name of the event.
    pub event: String,
    /// All fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; `None` if it is no event.
    ///
    /// Before the JSON object there may be a time in seconds, which then counts, and the name of
    /// the machine.
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

    /// The text of a field; numbers and lists as JSON.
    #[must_use]
    pub fn text(&self, field: &str) -> Option<String> {
        self.fields.get(field).map(|value| match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        })
    }

    /// The number in a field.
    #[must_use]
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field).and_then(Value::as_f64)
    }

    /// True if a field names the job, by itself or within a run, a path or a list of victims.
    #[must_use]
    pub fn names(&self, job: &str) -> bool {
        let mut values = self.fields.values();
        values.any(|value| value.as_str().is_some_and(|text| text.contains(job)))
    }

    /// True if the line's own job is this one.
    #[must_use]
    pub fn is_of(&self, job: &str) -> bool {
        self.text("job").as_deref() == Some(job)
    }

    /// The fields of the event, as `name=value`.
    #[must_use]
    pub fn details(&self) -> String {
        let own = self.fields.keys();
        let own = own.filter(|name| !COMMON_FIELDS.contains(&name.as_str()));
        let words = own.filter_map(|name| Some(format!("{name}={}", self.text(name)?)));
        words.collect::<Vec<_>>().join(" ")
    }
}
