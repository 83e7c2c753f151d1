//! Peers of another version, or broken ones, send what can't be understood. A
//! question of that kind is refused or gets no answer; an answer of that kind
//! counts as none. Others over the same connection go on, and nothing stops.

use {
    dewspar::member::Member,
    dewspar_standin::certs::Authority,
    dewspard::{
        logs,
        peer::{Answer, Endpoint, Error, Identity, Probe, Question, VERSION},
    },
    quickcheck::{Arbitrary, Gen},
    quinn::{
        ClientConfig, Connection, ServerConfig,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rustls::{
        RootCertStore,
        crypto::ring::default_provider,
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
        version::TLS13,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::timeout,
};

/// How long anything may take before a test gives up on it.
const LIMIT: Duration = Duration::from_secs(30);

/// What both sides call the protocol when they connect.
const PROTOCOL: &[u8] = b"dewspar/1";

/// The most that is read of an answer, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// More than any message may have, in bytes.
const TOO_LONG: usize = 5 << 20;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn identity(authority: &Authority, node: &str) -> Identity {
    let issued = authority.issue(node).expect("a certificate");
    Identity {
        ca: authority.certificate_pem().into_bytes(),
        certificate: issued.certificate_pem().as_bytes().to_vec(),
        key: issued.key_pem().as_bytes().to_vec(),
    }
}

fn chain(identity: &Identity) -> Vec<CertificateDer<'static>> {
    let read = CertificateDer::pem_slice_iter(&identity.certificate);
    read.map(|found| found.expect("a certificate")).collect()
}

fn key(identity: &Identity) -> PrivateKeyDer<'static> {
    PrivateKeyDer::from_pem_slice(&identity.key).expect("a key")
}

/// A peer that says whatever a test wants.
fn client(identity: &Identity) -> quinn::Endpoint {
    let mut roots = RootCertStore::empty();
    for ca in CertificateDer::pem_slice_iter(&identity.ca) {
        roots.add(ca.expect("a certificate")).expect("an authority");
    }
    let provider = Arc::new(default_provider());
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .expect("a version")
        .with_root_certificates(roots)
        .with_client_auth_cert(chain(identity), key(identity));
    let mut tls = tls.expect("settings");
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let tls = QuicClientConfig::try_from(tls).expect("settings");
    let mut endpoint = quinn::Endpoint::client(LOOPBACK).expect("a socket");
    endpoint.set_default_client_config(ClientConfig::new(Arc::new(tls)));
    endpoint
}

/// A peer that answers whatever a test wants.
fn server(identity: &Identity) -> quinn::Endpoint {
    let provider = Arc::new(default_provider());
    let tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .expect("a version")
        .with_no_client_auth()
        .with_single_cert(chain(identity), key(identity));
    let mut tls = tls.expect("settings");
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let tls = QuicServerConfig::try_from(tls).expect("settings");
    let config = ServerConfig::with_crypto(Arc::new(tls));
    quinn::Endpoint::server(config, LOOPBACK).expect("a socket")
}

fn message<T: serde::Serialize>(version: u16, body: &T) -> Vec<u8> {
    let mut bytes = version.to_le_bytes().to_vec();
    bytes.extend(postcard::to_stdvec(body).expect("a message"));
    bytes
}

fn probe() -> Probe {
    Probe {
        node: "n1".to_owned(),
        incarnation: 1,
        revision: 7,
        confirmed_age_ms: Some(5),
        leaving: false,
        suspicions: Vec::new(),
        heard: Vec::new(),
    }
}

/// Messages that no version 1 sends; `good` is one that it does.
fn odd_messages(good: &[u8]) -> Vec<Vec<u8>> {
    let version = VERSION.to_le_bytes();
    let begins_with = |rest: &[u8]| [&version, rest].concat();
    let newer = (VERSION + 1).to_le_bytes();
    vec![
        Vec::new(),
        vec![1],
        version.to_vec(),
        [&newer, &good[2..]].concat(),
        begins_with(&[200, 1, 2, 3]),
        begins_with(&[0xff; 64]),
        good[..good.len() - 1].to_vec(),
        good[..4].to_vec(),
    ]
}

/// A good message in which some bytes are others.
fn changed(good: &[u8], chance: &mut Gen) -> Vec<u8> {
    let mut bytes = good.to_vec();
    for _ in 0..1 + usize::arbitrary(chance) % 4 {
        let at = usize::arbitrary(chance) % bytes.len();
        bytes[at] = u8::arbitrary(chance);
    }
    bytes
}

/// Asks with these bytes; returns the answer, if there is one.
async fn ask(connection: &Connection, bytes: &[u8]) -> Option<Answer> {
    let asked = async {
        let (mut send, mut receive) = connection.open_bi().await.ok()?;
        // It may be refused before all of it is there.
        let _ = send.write_all(bytes).await;
        let _ = send.finish();
        let answer = receive.read_to_end(ANSWER_BYTES).await.ok()?;
        let (version, body) = answer.split_first_chunk::<2>()?;
        assert_eq!(u16::from_le_bytes(*version), VERSION);
        Some(postcard::from_bytes(body).expect("an answer"))
    };
    timeout(LIMIT, asked).await.expect("in time")
}

#[tokio::test]
async fn a_question_that_cant_be_understood_is_refused_alone() {
    let authority = Authority::new().expect("an authority");
    let handle = |_: Question| async { Answer::Revision(2) };
    let two = identity(&authority, "n2");
    let two = Endpoint::start(LOOPBACK, &two, handle, logs::discard());
    let two = two.expect("an endpoint");
    let stranger = client(&identity(&authority, "n1"));
    let address = two.address().expect("an address");
    let connecting = stranger.connect(address, "n2").expect("an address");
    let connection = connecting.await.expect("a connection");
    let good = message(VERSION, &Question::Probe(probe()));
    let is_answered = async || {
        let answer = ask(&connection, &good).await;
        matches!(answer, Some(Answer::Revision(2)))
    };
    assert!(is_answered().await);

    for odd in odd_messages(&good) {
        let answer = ask(&connection, &odd).await;
        let refused = matches!(answer, Some(Answer::Refused(_)));
        assert!(refused, "{answer:?} to {odd:?}");
        assert!(is_answered().await, "after {odd:?}");
    }
    let newer = message(VERSION + 1, &Question::Revision);
    let answer = ask(&connection, &newer).await;
    let Some(Answer::Refused(reason)) = answer else {
        panic!("{answer:?} to a newer version");
    };
    assert_eq!(reason, "version 2, expected 1");

    let answer = ask(&connection, &vec![1; TOO_LONG]).await;
    assert!(answer.is_none(), "{answer:?} to what is too long");
    assert!(is_answered().await, "after what is too long");

    let mut chance = Gen::from_size_and_seed(1_000, 18);
    for _ in 0..500 {
        let odd = changed(&good, &mut chance);
        // It may still be one, or have become one that can be read.
        let answer = ask(&connection, &odd).await;
        let answered =
            matches!(answer, Some(Answer::Revision(2) | Answer::Refused(_)));
        assert!(answered, "{answer:?} to {odd:?}");
    }
    assert!(is_answered().await, "after all");
}

/// Answers every question with the bytes that are set.
async fn answer_with(endpoint: quinn::Endpoint, said: Arc<Mutex<Vec<u8>>>) {
    while let Some(incoming) = endpoint.accept().await {
        let said = said.clone();
        tokio::spawn(async move {
            let connection = incoming.await.expect("a connection");
            while let Ok((mut send, mut receive)) =
                connection.accept_bi().await
            {
                let read = receive.read_to_end(ANSWER_BYTES).await;
                read.expect("a question");
                let bytes = said.lock().expect("bytes").clone();
                // Whoever asked may have read enough.
                let _ = send.write_all(&bytes).await;
                let _ = send.finish();
            }
        });
    }
}

#[tokio::test]
async fn an_answer_that_cant_be_understood_is_none() {
    let authority = Authority::new().expect("an authority");
    let endpoint = server(&identity(&authority, "n2"));
    let address = endpoint.local_addr().expect("an address").to_string();
    let peer = Member::new("n2", 1, "hall-1").with_peer_address(&address);
    let said = Arc::new(Mutex::new(Vec::new()));
    tokio::spawn(answer_with(endpoint, said.clone()));
    let handle = |_: Question| async { Answer::Revision(1) };
    let one = identity(&authority, "n1");
    let one = Endpoint::start(LOOPBACK, &one, handle, logs::discard());
    let one = one.expect("an endpoint");
    let answer_to = async |bytes: &[u8]| {
        *said.lock().expect("bytes") = bytes.to_vec();
        let question = Question::Probe(probe());
        one.ask(&peer, &question, LIMIT).await
    };
    let good = message(VERSION, &Answer::Probe(probe()));
    let mut odd_ones = odd_messages(&good);
    odd_ones.push(vec![1; TOO_LONG]);
    for odd in odd_ones {
        let answer = answer_to(&odd).await;
        let none = matches!(answer, Err(Error::NoAnswer { .. }));
        assert!(none, "{answer:?} from {:?}", &odd[..odd.len().min(80)]);
        let answer = answer_to(&good).await;
        assert!(matches!(answer, Ok(Answer::Probe(_))), "{answer:?}");
    }
    let mut chance = Gen::from_size_and_seed(1_000, 19);
    for _ in 0..500 {
        let odd = changed(&good, &mut chance);
        match answer_to(&odd).await {
            Ok(_) | Err(Error::NoAnswer { .. }) => {}
            other => panic!("{other:?} from {odd:?}"),
        }
    }
    let answer = answer_to(&good).await;
    assert!(matches!(answer, Ok(Answer::Probe(_))), "{answer:?}");
}
