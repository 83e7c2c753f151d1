//! The configuration's head under races, outages and lost answers.

use {
    dewspar::config::{self, Change, Kind, Resource, Snapshot},
    dewspar_platform::KeyValue,
    dewspar_standin::{faults::Faults, store::Store},
    dewspard::config_store::{self, Error},
    std::time::Duration,
};

fn team(name: &str, weight: u32) -> Change {
    let text = format!(
        "kind: Team\nname: {name}\nspec: {{partner: p, weight: {weight}}}\n",
    );
    Change::put(Resource::from_yaml(&text).expect("a team"))
}

fn expecting(change: Change, revision: u64) -> Change {
    match change {
        Change::Put { resource, .. } => {
            Change::Put { resource, expected: Some(revision) }
        }
        other => other,
    }
}

#[tokio::test(start_paused = true)]
async fn racing_operators_are_all_taken_or_told() {
    let store = Store::new(Faults::new(1));
    store.faults().set_delay_us(1_000);
    let writers = (0..8).map(|n| {
        let store = store.clone();
        tokio::spawn(async move {
            let name = format!("team-{n}");
            config_store::write(&store, &[team(&name, 1)]).await
        })
    });
    let mut accepted = 0;
    for writer in writers.collect::<Vec<_>>() {
        match writer.await.expect("it ends") {
            Ok(_) => accepted += 1,
            Err(error) => assert!(matches!(error, Error::Contended)),
        }
    }
    let last = config_store::write(&store, &[team("last", 1)]).await;
    let last = last.expect("accepted");
    assert_eq!(last.resources().count(), accepted + 1);
    assert_eq!(last.revision(), accepted as u64 + 1);
}

#[tokio::test(start_paused = true)]
async fn conflicting_operators_get_both_revisions() {
    let store = Store::new(Faults::new(1));
    let first = config_store::write(&store, &[team("a", 1)]).await;
    assert_eq!(first.expect("accepted").revision(), 1);
    let read = 1;
    let change = expecting(team("a", 2), read);
    let second = config_store::write(&store, &[change]).await;
    assert_eq!(second.expect("accepted").revision(), 2);
    let late = expecting(team("a", 3), read);
    let error = config_store::write(&store, &[late]).await.unwrap_err();
    let Error::Refused(config::Error::Conflict { expected, current, .. }) =
        error
    else {
        panic!("{error}");
    };
    assert_eq!((expected, current), (1, 2));
}

#[tokio::test(start_paused = true)]
async fn lost_answers_are_read_back_before_anyone_is_told() {
    let store = Store::new(Faults::new(7));
    let mut expected = Snapshot::default();
    for n in 0..60 {
        let change = team(&format!("team-{n}"), 1);
        store.faults().set_lost_per_mille(300);
        let written =
            config_store::write(&store, std::slice::from_ref(&change)).await;
        store.faults().set_lost_per_mille(0);
        match written {
            Ok(snapshot) => expected = snapshot,
            // Told that it was not accepted: then it must not be there.
            Err(Error::Unavailable(_)) => {}
            Err(other) => panic!("{other}"),
        }
    }
    // A chunk's lost answer gives the change up before its head is swapped.
    assert!(expected.revision() > 10, "{}", expected.revision());
    let end = config_store::write(&store, &[team("end", 1)]).await;
    let end = end.expect("accepted");
    assert_eq!(end.revision(), expected.revision() + 1);
    assert_eq!(end.resources().count(), expected.resources().count() + 1);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_accepted_in_an_outage() {
    let store = Store::new(Faults::new(1));
    store.faults().set_outage(true);
    let error = config_store::write(&store, &[team("a", 1)]).await;
    assert!(matches!(error, Err(Error::Unavailable(_))));
    store.faults().set_outage(false);
    let next = config_store::write(&store, &[team("b", 1)]).await;
    let next = next.expect("accepted");
    assert!(next.get(Kind::Team, "a").is_none());
}

#[tokio::test(start_paused = true)]
async fn old_chunks_are_deleted_and_the_newest_read() {
    let store = Store::new(Faults::new(1));
    for n in 1..=100 {
        let change = [team("a", n), team("b", n)];
        config_store::write(&store, &change).await.expect("accepted");
    }
    // Two chunks in force, and those of a bounded past.
    assert!(store.count("chunk/") <= 2 + 16 + 2, "{}", store.count("chunk/"));
    let head = store.version("w/config/head").await.expect("a version");
    assert!(head > 0);
    let last = config_store::write(&store, &[team("c", 1)]).await;
    assert_eq!(last.expect("accepted").resources().count(), 3);
    tokio::time::sleep(Duration::from_secs(1)).await;
}
