use std::collections::BTreeMap;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use serde_json::Value;

/// Values that writers of other documents have left, or may leave, in place of a valid one.
const ODD_VALUES: [&str; 15] = [
    "null",
    "true",
    "-1",
    "0.1",
    "1e300",
    "1e400",
    "4294967296",
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    r#""""#,
    r#""\u0000""#,
    r#""text""#,
    "[]",
    "{}",
];

/// The depth of the nested value, beyond the limit of JSON readers.
const NESTING: usize = 1_000;

/// The largest number of replaced values in a document.
const MAX_REPLACED: usize = 3;

/// Generates a document that is not, or not quite, the valid one: arbitrary bytes, a part of it, or
/// one with odd values.
///
/// # Errors
///
/// If `u` is exhausted.
pub fn odd_document(u: &mut Unstructured<'_>, valid: &Value) -> Result<Vec<u8>> {
    match u.int_in_range(0..=7)? {
        0 => u.arbitrary(),
        1 => {
            let mut document = valid.to_string().into_bytes();
            document.truncate(u.choose_index(document.len())?);
            Ok(document)
        }
        _ => with_odd_values(u, valid),
    }
}

fn with_odd_values(u: &mut Unstructured<'_>, valid: &Value) -> Result<Vec<u8>> {
    let nested = format!("{}{}", "[".repeat(NESTING), "]".repeat(NESTING));
    let mut replaced = BTreeMap::new();
    for _ in 0..u.int_in_range(1..=MAX_REPLACED)? {
        let value = match u.choose_index(ODD_VALUES.len() + 1)? {
            index if index < ODD_VALUES.len() => ODD_VALUES[index],
            _ => &nested,
        };
        replaced.insert(u.choose_index(count(valid))?, value);
    }
    let mut document = String::new();
    write(valid, &replaced, &mut 0, &mut document);
    Ok(document.into_bytes())
}

/// Counts the values in a document, with the document itself.
fn count(value: &Value) -> usize {
    1 + match value {
        Value::Array(items) => items.iter().map(count).sum(),
        Value::Object(fields) => fields.values().map(count).sum(),
        _ => 0,
    }
}

/// Writes the value, with the values of the given numbers in document order replaced.
fn write(value: &Value, replaced: &BTreeMap<usize, &str>, next: &mut usize, text: &mut String) {
    let number = *next;
    if let Some(odd) = replaced.get(&number) {
        *next += count(value);
        text.push_str(odd);
        return;
    }
    *next += 1;
    match value {
        Value::Array(items) => {
            text.push('[');
            for (index, item) in items.iter().enumerate() {
                text.push_str(if index > 0 { "," } else { "" });
                write(item, replaced, next, text);
            }
            text.push(']');
        }
        Value::Object(fields) => {
            text.push('{');
            for (index, (name, field)) in fields.iter().enumerate() {
                text.push_str(if index > 0 { "," } else { "" });
                text.push_str(&Value::from(name.as_str()).to_string());
                text.push(':');
                write(field, replaced, next, text);
            }
            text.push('}');
        }
        plain => text.push_str(&plain.to_string()),
    }
}
