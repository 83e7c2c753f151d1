/*!
Rows of a shared document that several versions of the program write.

During a rolling upgrade, nodes of two versions change the same documents. A
row that the older version can't decode must neither make the other rows
unreadable nor be lost when the document is written again. Such a row is kept
as its original JSON text, byte for byte. */

use {
    serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::DeserializeOwned,
        ser::{Error as _, SerializeMap},
    },
    serde_json::value::RawValue,
    std::collections::BTreeMap,
};

/// Rows by name; rows that can't be decoded are kept unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Rows<T> {
    readable: BTreeMap<String, T>,
    unreadable: BTreeMap<String, UnreadableRow>,
}

/// A row that can't be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
struct UnreadableRow {
    /// The row's JSON text.
    text: String,
    /// The decoder's message.
    reason: String,
}

impl<T> Default for Rows<T> {
    fn default() -> Rows<T> {
        let (readable, unreadable) = (BTreeMap::new(), BTreeMap::new());
        Rows { readable, unreadable }
    }
}

impl<T> Rows<T> {
    /// Returns the readable rows with their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.readable.iter().map(|(name, row)| (name.as_str(), row))
    }

    /// Returns the names of the unreadable rows, each with the decoder's
    /// message.
    pub(crate) fn unreadable(&self) -> impl Iterator<Item = (&str, &str)> {
        let rows = self.unreadable.iter();
        rows.map(|(name, row)| (name.as_str(), row.reason.as_str()))
    }

    /// Returns whether the row of this name is unreadable.
    pub(crate) fn has_unreadable(&self, name: &str) -> bool {
        self.unreadable.contains_key(name)
    }

    /// Returns the row of this name if it is readable.
    pub(crate) fn get(&self, name: &str) -> Option<&T> {
        self.readable.get(name)
    }

    /// Returns the row of this name for changes if it is readable.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut T> {
        self.readable.get_mut(name)
    }

    /// Returns the row of this name for changes, and inserts a new one if
    /// there is none; `None` if the row is unreadable.
    pub(crate) fn entry(
        &mut self,
        name: &str,
        new: impl FnOnce() -> T,
    ) -> Option<&mut T> {
        if self.has_unreadable(name) {
            return None;
        }
        Some(self.readable.entry(name.to_owned()).or_insert_with(new))
    }
}

impl<T: Serialize> Serialize for Rows<T> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let len = self.readable.len() + self.unreadable.len();
        let mut map = to.serialize_map(Some(len))?;
        for (name, row) in &self.readable {
            map.serialize_entry(name, row)?;
        }
        for (name, row) in &self.unreadable {
            let text = RawValue::from_string(row.text.clone());
            map.serialize_entry(name, &text.map_err(S::Error::custom)?)?;
        }
        map.end()
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Rows<T> {
    fn deserialize<D: Deserializer<'de>>(
        from: D,
    ) -> Result<Rows<T>, D::Error> {
        let mut rows = Rows::default();
        for (name, text) in
            BTreeMap::<String, Box<RawValue>>::deserialize(from)?
        {
            match serde_json::from_str(text.get()) {
                Ok(row) => {
                    rows.readable.insert(name, row);
                }
                Err(error) => {
                    let text = text.get().to_owned();
                    let reason = error.to_string();
                    let row = UnreadableRow { text, reason };
                    rows.unreadable.insert(name, row);
                }
            }
        }
        Ok(rows)
    }
}
