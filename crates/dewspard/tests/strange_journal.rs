//! The filings journal says which filings have run, so that none runs twice. A
//! partition of which the head or a segment can't be read takes no filing, since
//! any might have run before; the other partition goes on, and so does this one
//! as soon as it can be read again.

use {
    dewspar::{
        member::Member,
        once::{Filing, Key, PARTITIONS, SEAL_BYTES},
    },
    dewspar_platform::{Batch, KeyValue},
    dewspar_standin::{certs::Authority, faults::Faults, store::Store},
    dewspard::{
        clock,
        journal::{Filings, Intended},
        logs, membership,
        peer::{Answer, Endpoint, Identity, Question},
    },
    std::net::{Ipv4Addr, SocketAddr},
};

const NODE: &str = "n1";

fn endpoint() -> Endpoint {
    let authority = Authority::new().expect("an authority");
    let issued = authority.issue(NODE).expect("a certificate");
    let identity = Identity {
        ca: authority.certificate_pem().into_bytes(),
        certificate: issued.certificate_pem().as_bytes().to_vec(),
        key: issued.key_pem().as_bytes().to_vec(),
    };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handle = |_: Question| async { Answer::Revision(0) };
    Endpoint::start(address, &identity, handle, logs::discard())
        .expect("an endpoint")
}

/// The journal as a node that is alone writes it.
fn start(store: &Store, incarnation: u64) -> Filings {
    let member = Member::new(NODE, incarnation, "hall-1");
    let (alone, _) = membership::prepare(membership::Options::new(member));
    Filings::start(
        store.clone(),
        NODE,
        incarnation,
        alone.standing,
        endpoint(),
        logs::discard(),
    )
}

/// Files something new in a partition; returns whether it may run.
async fn may_run(filings: &Filings, partition: u32, number: &mut u64) -> bool {
    let key = loop {
        *number += 1;
        let key = Key::at(clock::unix_ms(), u128::from(*number));
        if key.partition() == partition {
            break key;
        }
    };
    let intended = filings.intend(Filing::new(key, b"x")).await;
    matches!(intended, Intended::Written(_))
}

async fn put(store: &Store, key: &str, value: &[u8]) {
    let batch = Batch::default().put(key, value.to_vec());
    store.commit(&batch).await.expect("a store");
}

#[tokio::test]
async fn a_head_that_cant_be_read_stops_its_partition_alone() {
    let (store, mut number) = (Store::new(Faults::new(1)), 0);
    for partition in 0..PARTITIONS {
        let key = format!("journal/{partition:02}/head");
        let other = (partition + 1) % PARTITIONS;
        put(&store, &key, b"\xff\xff\xff\xff\xff\xff").await;
        let filings = start(&store, u64::from(partition) + 1);
        assert!(!may_run(&filings, partition, &mut number).await);
        assert!(may_run(&filings, other, &mut number).await);
        store.delete(&key).await.expect("a store");
        assert!(may_run(&filings, partition, &mut number).await);
    }
}

#[tokio::test]
async fn a_segment_that_cant_be_read_stops_its_partition_alone() {
    let (store, mut number) = (Store::new(Faults::new(1)), 0);
    let segments = "journal/00/segment/";
    let filings = start(&store, 1);
    // Each entry takes some 50 bytes of a segment.
    let mut filed = 0;
    while store.count(segments) == 0 {
        assert!(filed < SEAL_BYTES, "no segment after {filed} filings");
        let filing = async |number: u64| {
            let key = Key::at(clock::unix_ms(), u128::from(number));
            filings.intend(Filing::new(key, b"x")).await
        };
        let many = (0..1_000).map(|n| filing(1_000_000 + filed as u64 + n));
        futures_util::future::join_all(many).await;
        filed += 1_000;
    }
    let (_, found) = store.list(segments).await.expect("a store");
    let segment = found.first().expect("a segment");
    put(&store, &segment.key, b"\xff\xff\xff\xff\xff\xff").await;
    let next = start(&store, 2);
    assert!(!may_run(&next, 0, &mut number).await);
    assert!(may_run(&next, 1, &mut number).await);
    put(&store, &segment.key, &segment.value).await;
    assert!(may_run(&next, 0, &mut number).await);
}
