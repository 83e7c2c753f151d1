//! Notes of what can't be read are logged, a line each. A stranger may write
//! thousands of odd entries, again and again, and decoders quote what they
//! refuse: a line held the whole megabyte of an entry's field, and beyond 1,000
//! odd entries each reading of the directory told a hundred of them anew, each
//! second. Lines, their length and what is remembered are bounded.

use dewspar_platform::{Unreadable, UnreadableNotes};

fn odd(number: u64, version: u64) -> Unreadable {
    Unreadable {
        what: "worker's entry",
        key: format!("servers/w-{number:06}"),
        version,
        reason: "it has no address".to_owned(),
    }
}

#[test]
fn each_version_is_told_once() {
    let notes = UnreadableNotes::default();
    for version in [1, 1, 2, 2] {
        notes.note(odd(1, version));
    }
    let versions: Vec<u64> =
        notes.take().told.iter().map(|odd| odd.version).collect();
    assert_eq!(versions, [1, 2]);
}

#[test]
fn nothing_is_told_at_length() {
    let notes = UnreadableNotes::default();
    let long = "é".repeat(1_000_000);
    let what = "worker's entry";
    let (key, reason) = (long.clone(), long);
    notes.note(Unreadable { what, key, version: 1, reason });
    let told = notes.take().told;
    assert!(told[0].key.len() < 1_000, "{} bytes", told[0].key.len());
    assert!(told[0].reason.len() < 1_000, "{} bytes", told[0].reason.len());
}

/// Ten thousand odd entries that are read each second make a hundred lines and
/// then one a second; all others are counted.
#[test]
fn lines_do_not_grow_with_the_number_of_odd_entries() {
    let (mut lines, mut counted) = (0, 0);
    let notes = UnreadableNotes::default();
    const READINGS: usize = 60;
    for _ in 0..READINGS {
        for number in 0..10_000 {
            notes.note(odd(number, 1));
        }
        let taken = notes.take();
        lines += taken.told.len();
        counted += taken.untold.values().sum::<u64>();
    }
    assert!(lines <= 100 + READINGS, "{lines} lines");
    assert!(counted >= 9_900, "{counted} counted");
}

/// One whose value changes with each write is no news for ever, either.
#[test]
fn lines_do_not_grow_with_the_number_of_versions() {
    let mut lines = 0;
    let notes = UnreadableNotes::default();
    const READINGS: usize = 300;
    for version in 0..READINGS {
        for number in 0..10 {
            notes.note(odd(number, version as u64));
        }
        lines += notes.take().told.len();
    }
    assert!(lines <= 100 + READINGS, "{lines} lines");
}
