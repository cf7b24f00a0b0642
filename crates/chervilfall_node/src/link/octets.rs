//! Bytes in messages, as a byte string and not as a list of numbers.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let value = ciborium::Value::deserialize(deserializer)?;
    value
        .into_bytes()
        .map_err(|_| D::Error::custom("not a byte string"))
}
