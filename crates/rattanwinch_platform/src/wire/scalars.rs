use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;

/// A 64-bit integer, serialised as a JSON string and deserialised from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JsonInt<T>(pub T);

impl<T: Default + PartialEq> JsonInt<T> {
    /// Whether the value is the default, so that the field may be omitted.
    pub(crate) fn is_default(&self) -> bool {
        self.0 == T::default()
    }
}

impl<T: Display> Serialize for JsonInt<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de, T: FromStr + Deserialize<'de>> Deserialize<'de> for JsonInt<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum IntForm<T> {
            Number(T),
            Text(String),
        }
        match IntForm::deserialize(deserializer)? {
            IntForm::Number(number) => Ok(Self(number)),
            IntForm::Text(text) => text
                .parse()
                .map(Self)
                .map_err(|_| D::Error::custom(format!("{text:?} is not a 64-bit integer"))),
        }
    }
}

/// Bytes, serialised as base64.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JsonBytes(pub Arc<[u8]>);

impl JsonBytes {
    /// Whether there are no bytes, so that the field may be omitted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Default for JsonBytes {
    fn default() -> Self {
        Self(Arc::from([]))
    }
}

impl From<&Arc<str>> for JsonBytes {
    fn from(text: &Arc<str>) -> Self {
        Self(Arc::from(Arc::clone(text)))
    }
}

impl From<&[u8]> for JsonBytes {
    fn from(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes))
    }
}

impl Serialize for JsonBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for JsonBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(Arc::from(bytes)))
    }
}
