//! Nodes of two versions of the program change the same hall's document. A row
//! with a state that the older version doesn't know fails to parse ("unknown
//! variant `sleeping`, expected one of `free`, `serving`, ..."). This must not
//! make the whole document unreadable, which would hide all VMs of the hall.
//! It may hide only the row's own VM, and the row must be kept unchanged when
//! other rows are updated.

use {
    dewspar::fleet::{Error, Hall, Listing, VmState},
    quickcheck::{Gen, QuickCheck},
    serde_json::{Value, json},
};

fn listing(vm: &str) -> Listing {
    Listing::new(vm, "hall-1", "rack-1", "127.0.0.1:7001")
}

fn good_hall() -> Hall {
    let mut hall = Hall::default();
    hall.apply_listing(&listing("vm-good"));
    hall.assign("vm-good", Some("registry"), 10).expect("a free VM");
    hall
}

/// Returns a document with this row and a valid one.
fn hall_with_odd_row(odd: &str) -> Hall {
    let good = serde_json::to_value(good_hall()).expect("plain JSON");
    let good = &good["rows"]["vm-good"];
    let text = format!(r#"{{"rows":{{"vm-odd":{odd},"vm-good":{good}}}}}"#);
    serde_json::from_str(&text).expect("a document")
}

fn row_with_unknown_state() -> String {
    let mut row = serde_json::to_value(good_hall()).expect("plain JSON");
    let mut row = row["rows"]["vm-good"].take();
    row["state"] = json!("sleeping");
    row["wakes_at_ms"] = json!(77);
    row.to_string()
}

#[test]
fn an_unreadable_row_hides_only_its_own_vm_and_is_kept() {
    for odd in [
        row_with_unknown_state().as_str(),
        "null",
        "[]",
        "{}",
        r#"{"epoch":1e999}"#,
    ] {
        let mut hall = hall_with_odd_row(odd);
        assert!(hall.row("vm-good").is_some(), "beside {odd}");
        assert!(hall.row("vm-odd").is_none(), "{odd}");
        let unreadable: Vec<&str> =
            hall.unreadable().map(|(vm, _)| vm).collect();
        assert_eq!(unreadable, ["vm-odd"]);
        // The row is neither used nor replaced.
        assert!(!hall.apply_listing(&listing("vm-odd")), "{odd}");
        let refused = hall.handle("vm-odd", "lose", 20);
        assert_eq!(refused, Err(Error::Unlisted("vm-odd".to_owned())));
        hall.handle("vm-good", "drain", 20).expect("a serving VM");
        let written = serde_json::to_string(&hall).expect("plain JSON");
        assert!(written.contains(&format!(r#""vm-odd":{odd}"#)), "{written}");
        let read: Hall = serde_json::from_str(&written).expect("a document");
        let row = read.row("vm-good").expect("its row");
        assert_eq!(row.state(), VmState::Draining);
    }
}

/// A row with an unknown field is still readable.
#[test]
fn a_row_with_an_unknown_field_is_readable() {
    let mut row = serde_json::to_value(good_hall()).expect("plain JSON");
    let mut row = row["rows"]["vm-good"].take();
    row["power"] = json!({ "watts": 300 });
    let hall = hall_with_odd_row(&row.to_string());
    let row = hall.row("vm-odd").expect("its row");
    assert_eq!(row.pool(), Some("registry"));
}

fn good_row_is_readable(field: usize, with: u8) -> bool {
    let row = serde_json::to_value(good_hall()).expect("plain JSON");
    let mut row = row["rows"]["vm-good"].clone();
    let values = [
        Value::Null,
        json!([]),
        json!({}),
        json!("x"),
        json!(-1),
        json!(1.5),
        json!(true),
    ];
    let fields = row.as_object_mut().expect("an object");
    let names: Vec<String> = fields.keys().cloned().collect();
    let name = names[field % names.len()].clone();
    match values.get(usize::from(with) % (values.len() + 1)) {
        Some(value) => fields.insert(name, value.clone()),
        None => fields.remove(&name),
    };
    let hall = hall_with_odd_row(&row.to_string());
    let row = hall.row("vm-good");
    row.is_some_and(|row| row.pool() == Some("registry"))
}

#[test]
fn whatever_a_row_holds_the_others_are_there() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 13))
        .tests(500)
        .quickcheck(good_row_is_readable as fn(usize, u8) -> bool);
}
