/*!
Preservation of record fields that this version of the program doesn't know.

During a rolling upgrade, nodes of an older version update records that a newer
version has written. A record is replaced as a whole, so an older node keeps
the fields that it doesn't know and writes them back unchanged. It doesn't
interpret them, so such a field may be stale compared with the other fields of
the record. A version that adds a field to a record must cope with stale values
of it, and with records that lack it.

A record keeps its unknown fields in a flattened field, in which `serde`
collects all names that the record doesn't declare:

```
use dewspar::fields::UnknownFields;
use serde::{Deserialize, Serialize};

#[derive(Deserialize, Serialize)]
struct Claim {
    strength: u64,
    #[serde(flatten)]
    other: UnknownFields,
}

let text = r#"{"strength":7,"newer":[1]}"#;
let mut claim: Claim = serde_json::from_str(text)?;
claim.strength = 8;
let written = serde_json::to_string(&claim)?;
assert_eq!(written, r#"{"strength":8,"newer":[1]}"#);
# Ok::<(), serde_json::Error>(())
```

[`WithUnknownFields`] adds such a field to a record type that has none.
*/

use {
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    serde_json::Value,
    std::{collections::BTreeMap, sync::Arc},
};

/// Fields of a record that this version doesn't know, by name.
///
/// Nearly every record has none, and this type then takes up only a pointer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UnknownFields(Option<Arc<BTreeMap<String, Value>>>);

impl UnknownFields {
    /// Returns whether there are no unknown fields.
    pub fn is_empty(&self) -> bool {
        self.0.is_none()
    }

    /// Merges the fields of a later read of the record into these.
    ///
    /// Fields that `later` lacks keep their values.
    pub fn merge(&mut self, later: &UnknownFields) {
        let Some(later) = &later.0 else { return };
        let fields = later.iter().map(|(name, v)| (name.clone(), v.clone()));
        let known = self.0.get_or_insert_default();
        Arc::make_mut(known).extend(fields);
    }
}

impl Serialize for UnknownFields {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_map(self.0.iter().flat_map(|fields| fields.iter()))
    }
}

impl<'de> Deserialize<'de> for UnknownFields {
    fn deserialize<D: Deserializer<'de>>(
        from: D,
    ) -> Result<UnknownFields, D::Error> {
        let fields = BTreeMap::deserialize(from)?;
        let fields = (!fields.is_empty()).then(|| Arc::new(fields));
        Ok(UnknownFields(fields))
    }
}

/// A record together with its unknown fields.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WithUnknownFields<T> {
    /// The fields that this version knows.
    #[serde(flatten)]
    pub record: T,
    /// The fields that this version doesn't know.
    #[serde(flatten)]
    pub other: UnknownFields,
}
