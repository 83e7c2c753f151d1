/*!
Rows of a shared document, some of which another version of the program wrote.

During an upgrade, nodes of two versions change the same documents. A row that
the older one can't understand must neither hide the others nor be lost when
the document is written again: it is kept as it stands, letter by letter.
*/

use {
    serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::DeserializeOwned,
        ser::{Error as _, SerializeMap},
    },
    serde_json::value::RawValue,
    std::collections::BTreeMap,
};

/// Rows by name; those that can't be read are kept as they are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Rows<T> {
    readable: BTreeMap<String, T>,
    unreadable: BTreeMap<String, UnreadableRow>,
}

/// A row that can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
struct UnreadableRow {
    /// Its JSON.
    text: String,
    /// What the decoder said.
    reason: String,
}

impl<T> Default for Rows<T> {
    fn default() -> Rows<T> {
        let (readable, unreadable) = (BTreeMap::new(), BTreeMap::new());
        Rows { readable, unreadable }
    }
}

impl<T> Rows<T> {
    /// Returns the rows that can be read.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.readable.iter().map(|(name, row)| (name.as_str(), row))
    }

    /// Returns the names of the rows that can't, with why.
    pub(crate) fn unreadable(&self) -> impl Iterator<Item = (&str, &str)> {
        let rows = self.unreadable.iter();
        rows.map(|(name, row)| (name.as_str(), row.reason.as_str()))
    }

    /// Returns whether there is a row of this name that can't be read.
    pub(crate) fn has_unreadable(&self, name: &str) -> bool {
        self.unreadable.contains_key(name)
    }

    /// Returns a row that can be read.
    pub(crate) fn get(&self, name: &str) -> Option<&T> {
        self.readable.get(name)
    }

    /// Returns a row that can be read, for changes.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut T> {
        self.readable.get_mut(name)
    }

    /// Returns a row for changes, a new one where there is none; `None` for
    /// one that can't be read.
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
