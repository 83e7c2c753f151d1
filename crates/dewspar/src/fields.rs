/*!
Fields of a record that this version of the program doesn't know.

During an upgrade, nodes of an older version go on with records that a newer
one has written. A record is replaced as a whole, so an older node keeps what it
doesn't know beside what it does, and writes it as it was. Nothing is made of
it: what it says may be older by then than the fields beside it, and whoever
adds a field to a record has to bear that, as it has to bear records without it.

A record keeps them in a field of its own, into which `serde` gathers what is
left:

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

[`WithUnknownFields`] does so for a record that has no such field.
*/

use {
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    serde_json::Value,
    std::{collections::BTreeMap, sync::Arc},
};

/// Fields that aren't known, by their names.
///
/// There are none in nearly every record, so that takes no more than a pointer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UnknownFields(Option<Arc<BTreeMap<String, Value>>>);

impl UnknownFields {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_none()
    }

    /// Takes over the fields of a later reading; what it doesn't name stays.
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

/// A record and the fields of it that aren't known.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WithUnknownFields<T> {
    /// What is known.
    #[serde(flatten)]
    pub record: T,
    /// What isn't.
    #[serde(flatten)]
    pub other: UnknownFields,
}
