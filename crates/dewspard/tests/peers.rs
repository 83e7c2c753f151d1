//! Peers: who is let in, and that a dead one holds up nobody.

use {
    dewspar::member::Member,
    dewspar_standin::certs::Authority,
    dewspard::{
        logs,
        peer::{Answer, Endpoint, Error, Identity, Question},
    },
    std::{
        net::{Ipv4Addr, SocketAddr, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

const LIMIT: Duration = Duration::from_secs(10);

fn identity(authority: &Authority, node: &str) -> Identity {
    let issued = authority.issue(node).expect("a certificate");
    Identity {
        ca: authority.certificate_pem().into_bytes(),
        certificate: issued.certificate_pem().as_bytes().to_vec(),
        key: issued.key_pem().as_bytes().to_vec(),
    }
}

fn start(identity: &Identity, revision: u64) -> Endpoint {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handle = move |_: Question| async move { Answer::Revision(revision) };
    Endpoint::start(address, identity, handle, logs::discard())
        .expect("an endpoint")
}

fn member(name: &str, incarnation: u64, at: &Endpoint) -> Member {
    let address = at.address().expect("an address").to_string();
    Member::new(name, incarnation, "hall-1").with_peer_address(&address)
}

#[tokio::test]
async fn peers_of_one_authority_answer_each_other() {
    let authority = Authority::new().expect("an authority");
    let one = start(&identity(&authority, "n1"), 1);
    let two = start(&identity(&authority, "n2"), 2);
    let peer = member("n2", 1, &two);
    let answer = one.ask(&peer, &Question::Revision, LIMIT).await;
    assert!(matches!(answer, Ok(Answer::Revision(2))), "{answer:?}");
}

#[tokio::test]
async fn peer_of_another_authority_gets_nothing() {
    let authority = Authority::new().expect("an authority");
    let two = start(&identity(&authority, "n2"), 2);
    let other = Authority::new().expect("another authority");
    let mut stranger = identity(&other, "n1");
    // It trusts the node, but the node doesn't trust it.
    stranger.ca = authority.certificate_pem().into_bytes();
    let stranger = start(&stranger, 1);
    let peer = member("n2", 1, &two);
    let answer = stranger.ask(&peer, &Question::Revision, LIMIT).await;
    assert!(answer.is_err(), "{answer:?}");
}

#[tokio::test]
async fn node_with_anothers_certificate_is_not_asked() {
    let authority = Authority::new().expect("an authority");
    let one = start(&identity(&authority, "n1"), 1);
    let two = start(&identity(&authority, "n2"), 2);
    // The roster says that n3 is there, but the certificate says n2.
    let peer = member("n3", 1, &two);
    let answer = one.ask(&peer, &Question::Revision, LIMIT).await;
    assert!(matches!(answer, Err(Error::Unreachable { .. })), "{answer:?}");
}

#[tokio::test]
async fn successor_is_reached_while_the_dead_one_hangs() {
    let authority = Authority::new().expect("an authority");
    let one = start(&identity(&authority, "n1"), 1);
    // Packets to the dead process go to a socket that never answers.
    let hole = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let address = hole.local_addr().expect("an address").to_string();
    let dead = Member::new("n2", 1, "hall-1").with_peer_address(&address);
    let asking = one.clone();
    let hanging = tokio::spawn(async move {
        asking.ask(&dead, &Question::Revision, LIMIT).await
    });
    tokio::task::yield_now().await;
    let two = start(&identity(&authority, "n2"), 2);
    let peer = member("n2", 2, &two);
    let answer = one.ask(&peer, &Question::Revision, LIMIT).await;
    assert!(matches!(answer, Ok(Answer::Revision(2))), "{answer:?}");

    let answer = hanging.await.expect("it ends");
    assert!(answer.is_err(), "{answer:?}");
    // What became of the dead one doesn't replace its successor.
    let answer = one.ask(&peer, &Question::Revision, LIMIT).await;
    assert!(matches!(answer, Ok(Answer::Revision(2))), "{answer:?}");
}

/// Stands before a node, and passes on nothing to it while it is cut off.
async fn put_gate_before(at: &Endpoint, is_cut: Arc<AtomicBool>) -> String {
    let bind = async || {
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await;
        Arc::new(socket.expect("a socket"))
    };
    let (front, back) = (bind().await, bind().await);
    let address = front.local_addr().expect("an address").to_string();
    let node = at.address().expect("an address");
    back.connect(node).await.expect("a connected socket");
    tokio::spawn(async move {
        let (mut there, mut here) = ([0; 65_536], [0; 65_536]);
        let mut client = None;
        loop {
            tokio::select! {
                Ok((count, from)) = front.recv_from(&mut there) => {
                    client = Some(from);
                    if !is_cut.load(Ordering::Relaxed) {
                        // A datagram may be lost.
                        let _ = back.send(&there[..count]).await;
                    }
                }
                Ok(count) = back.recv(&mut here) => {
                    let Some(client) = client else { continue };
                    // As above.
                    let _ = front.send_to(&here[..count], client).await;
                }
                else => return,
            }
        }
    });
    address
}

/// What was lost on the way is sent again for as long as the connection lives,
/// so a peer that couldn't be reached for seconds got questions that their
/// asker had long given up, and took them for new ones.
#[tokio::test]
async fn a_question_that_was_given_up_is_not_asked_later() {
    let authority = Authority::new().expect("an authority");
    let one = start(&identity(&authority, "n1"), 1);
    let asked = Arc::new(AtomicUsize::new(0));
    let counted = asked.clone();
    let handle = move |question: Question| {
        if matches!(question, Question::Snapshot { .. }) {
            counted.fetch_add(1, Ordering::Relaxed);
        }
        async { Answer::Revision(2) }
    };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let two = identity(&authority, "n2");
    let two = Endpoint::start(address, &two, handle, logs::discard());
    let two = two.expect("an endpoint");
    let is_cut = Arc::new(AtomicBool::new(false));
    let gate = put_gate_before(&two, is_cut.clone()).await;
    let peer = Member::new("n2", 1, "hall-1").with_peer_address(&gate);
    let answer = one.ask(&peer, &Question::Revision, LIMIT).await;
    assert!(matches!(answer, Ok(Answer::Revision(2))), "{answer:?}");

    is_cut.store(true, Ordering::Relaxed);
    let limit = Duration::from_millis(300);
    let snapshot = Question::Snapshot { have: 1 };
    let answer = one.ask(&peer, &snapshot, limit).await;
    assert!(matches!(answer, Err(Error::NoAnswer { .. })), "{answer:?}");
    is_cut.store(false, Ordering::Relaxed);

    // What comes after it over the same connection is answered.
    let answer = one.ask(&peer, &Question::Revision, LIMIT).await;
    assert!(matches!(answer, Ok(Answer::Revision(2))), "{answer:?}");
    sleep(Duration::from_secs(1)).await;
    assert_eq!(asked.load(Ordering::Relaxed), 0, "asked though given up");
}
