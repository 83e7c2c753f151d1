use {
    crate::once::PARTITIONS,
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    uuid::Uuid,
    xxhash_rust::xxh3::xxh3_64,
};

/// A filing's idempotency key: a version 7 UUID.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Key(u128);

/// The reason why a text is not a valid key.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum KeyError {
    /// `{0}` isn't a UUID
    NotUuid(String),
    /// `{0}` isn't a version 7 UUID, whose time says how old the key is
    NotVersion7(String),
}

impl std::error::Error for KeyError {}

impl Key {
    /// Creates a key with this timestamp, in milliseconds of the Unix epoch.
    pub fn at(unix_ms: u64, random: u128) -> Key {
        let bytes = random.to_be_bytes();
        // OK because a u128 has the 16 bytes of which the last 10 are taken.
        let random: [u8; 10] = bytes[6..].try_into().expect("10 bytes");
        let builder =
            uuid::Builder::from_unix_timestamp_millis(unix_ms, &random);
        Key(builder.into_uuid().as_u128())
    }

    /// Parses a key, which may be enclosed in double quotes.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::NotUuid`] for a text that isn't a UUID, and
    /// [`KeyError::NotVersion7`] for a UUID of another version.
    pub fn parse(text: &str) -> Result<Key, KeyError> {
        let uuid = Uuid::parse_str(text.trim_matches('"'))
            .map_err(|_| KeyError::NotUuid(text.to_owned()))?;
        if uuid.get_version_num() != 7 {
            return Err(KeyError::NotVersion7(text.to_owned()));
        }
        Ok(Key(uuid.as_u128()))
    }

    /// Returns the key's timestamp, in milliseconds of the Unix epoch.
    pub fn unix_ms(self) -> u64 {
        (self.0 >> 80) as u64
    }

    /// Returns the number of the partition that stores the key's entries.
    pub fn partition(self) -> u32 {
        let hash = xxh3_64(&self.0.to_be_bytes());
        (hash % u64::from(PARTITIONS)) as u32
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        Uuid::from_u128(self.0).fmt(f)
    }
}
