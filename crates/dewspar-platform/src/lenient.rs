/*!
Reading lists whose rows others have written.

A list is read as it should be first. Only if that fails, each of its rows is
read by itself, and those that can't be are noted and passed over. The rows are
told apart in the text of the document, before anything in them is understood:
a number that no type holds, or text that isn't Unicode, would otherwise fail
the whole document.

# Example

```
use dewspar_platform::{
    UnreadableNotes,
    lenient::{Listing, check_row, parse_rows},
};

#[derive(serde::Deserialize)]
struct Page {
    items: Vec<u64>,
}

impl Listing for Page {
    const LISTS: &'static [&'static str] = &["items"];
    const ROW: &'static str = "number";

    fn check(_: &str, row: &str) -> Result<(), serde_json::Error> {
        check_row::<u64>(row)
    }
}

let notes = UnreadableNotes::default();
let read = parse_rows::<Page>("list", br#"{"items": [1, "x", 3]}"#, &notes)?;
assert_eq!(read.listing.items, [1, 3]);
assert!(read.is_partial);
assert_eq!(notes.take().told.len(), 1);
# Ok::<(), dewspar_platform::Error>(())
```
*/

use {
    crate::{Answer, Error, Unreadable, UnreadableNotes, check_status},
    serde::{
        Deserialize, Deserializer,
        de::{
            DeserializeOwned, MapAccess, Visitor, value::MapAccessDeserializer,
        },
    },
    serde_json::{Value, value::RawValue},
    std::{borrow::Cow, collections::BTreeMap, fmt, marker::PhantomData},
};

/// How much of a row is quoted where it has no name, in characters.
const QUOTED: usize = 40;

/// What stands for a value that couldn't be decoded: no JSON begins with it.
pub const NO_DOCUMENT: &[u8] = &[0xff];

/// A document with lists of rows.
pub trait Listing: DeserializeOwned {
    /// Where its lists are: the names of the fields that lead there, with dots
    /// between them, through each row of a list on the way. The empty text
    /// stands for a document that is a list itself.
    const LISTS: &'static [&'static str];

    /// What a row is, for notes.
    const ROW: &'static str;

    /// Returns why a row of a list can't be read, if it can't.
    ///
    /// # Errors
    ///
    /// Returns what the decoder says of the row's text.
    fn check(list: &str, row: &str) -> Result<(), serde_json::Error>;

    /// Returns a row's name, if it has one.
    fn name(_row: &Value) -> Option<String> {
        None
    }

    /// Returns a row's version; 0 for one that has none.
    fn version(_row: &Value) -> u64 {
        0
    }
}

/// A listing, and whether rows of it were passed over.
#[derive(Clone, Copy, Debug)]
pub struct Read<T> {
    /// What could be read.
    pub listing: T,
    /// Whether some row couldn't be.
    pub is_partial: bool,
}

/// Reads a listing from a successful answer.
///
/// # Errors
///
/// Returns an [`Error`] for an answer that refuses the call, and for one that
/// isn't such a listing even without its rows.
pub fn read_listing<T: Listing>(
    call: &'static str,
    answer: &Answer,
    notes: &UnreadableNotes,
) -> Result<Read<T>, Error> {
    check_status(call, answer)?;
    parse_listing(call, answer, notes)
}

/// Reads a listing, whatever the answer's status.
///
/// # Errors
///
/// Returns [`Error::Malformed`] for what isn't such a listing even without its
/// rows.
pub fn parse_listing<T: Listing>(
    call: &'static str,
    answer: &Answer,
    notes: &UnreadableNotes,
) -> Result<Read<T>, Error> {
    parse_rows(call, &answer.body, notes)
}

/// Reads a listing from the text of a document.
///
/// # Errors
///
/// Returns [`Error::Malformed`] for what isn't such a listing even without its
/// rows.
pub fn parse_rows<T: Listing>(
    call: &'static str,
    body: &[u8],
    notes: &UnreadableNotes,
) -> Result<Read<T>, Error> {
    if let Ok(listing) = serde_json::from_slice(body) {
        return Ok(Read { listing, is_partial: false });
    }
    let listing = without_odd_rows::<T>(body, notes);
    let listing = listing.and_then(|text| serde_json::from_str(&text));
    let listing = listing.map_err(|error| {
        let reason = error.to_string();
        Error::Malformed { call, reason }
    })?;
    Ok(Read { listing, is_partial: true })
}

/// Returns a document without the rows that can't be read.
fn without_odd_rows<T: Listing>(
    body: &[u8],
    notes: &UnreadableNotes,
) -> Result<String, serde_json::Error> {
    // Bytes that are no text spoil the row that they are in, no more.
    let mut text = String::from_utf8_lossy(body).into_owned();
    for list in T::LISTS {
        let path: Vec<&str> =
            list.split('.').filter(|name| !name.is_empty()).collect();
        let keep = |row: &str| is_readable::<T>(list, row, notes);
        text = retain_rows(&text, &path, &keep)?;
    }
    Ok(text)
}

/// Returns a text with the rows that are to be kept of the list at a path; a
/// text in which that path leads nowhere is returned as it is.
///
/// Lists in lists aren't followed, so that the depth of the recursion depends
/// on the path alone, not on the text.
fn retain_rows(
    text: &str,
    path: &[&str],
    keep: &impl Fn(&str) -> bool,
) -> Result<String, serde_json::Error> {
    if text.trim_start().starts_with('[') {
        let rows: Vec<&RawValue> = serde_json::from_str(text)?;
        let mut kept = Vec::new();
        for row in rows {
            if !path.is_empty() && row.get().starts_with('[') {
                kept.push(Cow::Borrowed(row.get()));
            } else if !path.is_empty() {
                kept.push(Cow::Owned(retain_rows(row.get(), path, keep)?));
            } else if keep(row.get()) {
                kept.push(Cow::Borrowed(row.get()));
            }
        }
        return Ok(format!("[{}]", kept.join(",")));
    }
    let Some((first, rest)) = path.split_first() else {
        return Ok(text.to_owned());
    };
    let Ok(mut fields) =
        serde_json::from_str::<BTreeMap<String, Box<RawValue>>>(text)
    else {
        return Ok(text.to_owned());
    };
    if let Some(field) = fields.get_mut(*first) {
        let kept = retain_rows(field.get(), rest, keep)?;
        *field = RawValue::from_string(kept)?;
    }
    serde_json::to_string(&fields)
}

fn is_readable<T: Listing>(
    list: &str,
    text: &str,
    notes: &UnreadableNotes,
) -> bool {
    let Err(error) = T::check(list, text) else { return true };
    let row: Value = serde_json::from_str(text).unwrap_or_default();
    let quoted = || text.chars().take(QUOTED).collect();
    notes.note(Unreadable {
        what: T::ROW,
        key: T::name(&row).unwrap_or_else(quoted),
        version: T::version(&row),
        reason: error.to_string(),
    });
    false
}

/// Returns why the text of a row isn't a `R`, if it isn't.
///
/// # Errors
///
/// Returns what the decoder says.
pub fn check_row<R: DeserializeOwned>(
    row: &str,
) -> Result<(), serde_json::Error> {
    serde_json::from_str::<R>(row).map(drop)
}

/// Reads a document that must be an object: the derived readers take lists as
/// well, field by field, so that `[]` would do for one without any field.
///
/// # Errors
///
/// Returns what the decoder says.
pub fn object<'de, D, T>(from: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    from.deserialize_map(ObjectVisitor(PhantomData))
}

/// Reads an object straight into its type: a field that the type doesn't know
/// may hold what no [`Value`] can.
struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = T;

    fn expecting(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, fields: A) -> Result<T, A::Error> {
        T::deserialize(MapAccessDeserializer::new(fields))
    }
}
