use {
    crate::settings,
    displaydoc::Display,
    quinn::{
        ClientConfig, ServerConfig, TransportConfig, VarInt,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rustls::{
        RootCertStore,
        crypto::ring::default_provider,
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
        server::WebPkiClientVerifier,
    },
    std::{fs, io, path::Path, sync::Arc, time::Duration},
};

/// How long a connection lives without a message.
const IDLE: Duration = Duration::from_secs(15);

/// How many questions one peer may have open at a time.
const MAX_STREAMS: u32 = 1024;

/// What both sides call the protocol when they connect.
const PROTOCOL: &[u8] = b"dewspar/1";

/// Why the endpoint couldn't be set up.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum SetupError {
    /// field `peers.{field}`: `{path}` can't be read: {reason}
    File {
        /// The settings' field.
        field: &'static str,
        /// The file's path.
        path: String,
        /// What went wrong.
        reason: String,
    },
    /// field `peers.{field}` is not what it should be: {reason}
    Pem {
        /// The settings' field.
        field: &'static str,
        /// What went wrong.
        reason: String,
    },
    /// field `peers.address`: {0}
    Listen(io::Error),
}

impl std::error::Error for SetupError {}

/// A node's certificate, key and authority, in PEM.
#[derive(Clone)]
pub struct Identity {
    /// The authority of all nodes.
    pub ca: Vec<u8>,
    /// The node's certificate.
    pub certificate: Vec<u8>,
    /// The certificate's key; it must never reach a log.
    pub key: Vec<u8>,
}

impl Identity {
    /// Reads the files that settings name.
    ///
    /// # Errors
    ///
    /// Returns [`SetupError::File`] with the field of the first file that
    /// can't be read.
    pub fn from_settings(
        peers: &settings::Peers,
    ) -> Result<Identity, SetupError> {
        Ok(Identity {
            ca: read("ca_file", &peers.ca_file)?,
            certificate: read("certificate_file", &peers.certificate_file)?,
            key: read("key_file", &peers.key_file)?,
        })
    }
}

fn read(field: &'static str, path: &Path) -> Result<Vec<u8>, SetupError> {
    fs::read(path).map_err(|error| SetupError::File {
        field,
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    // OK because 15 s is far below the protocol's limit.
    let idle = IDLE.try_into().expect("an idle time that QUIC can carry");
    transport.max_idle_timeout(Some(idle));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    // Messages are small; looking for a larger packet costs more than it
    // saves, on each of many connections.
    transport.mtu_discovery_config(None);
    Arc::new(transport)
}

/// Returns what makes the error of a settings' field from its reason.
fn unfit<E: ToString>(field: &'static str) -> impl Fn(E) -> SetupError {
    move |reason| SetupError::Pem { field, reason: reason.to_string() }
}

fn certificates(
    field: &'static str,
    pem: &[u8],
) -> Result<Vec<CertificateDer<'static>>, SetupError> {
    let read: Result<Vec<_>, _> =
        CertificateDer::pem_slice_iter(pem).collect();
    let found = read.map_err(unfit(field))?;
    if found.is_empty() {
        return Err(unfit(field)("no certificate in it"));
    }
    Ok(found)
}

fn private_key(pem: &[u8]) -> Result<PrivateKeyDer<'static>, SetupError> {
    PrivateKeyDer::from_pem_slice(pem).map_err(unfit("key_file"))
}

fn roots(identity: &Identity) -> Result<RootCertStore, SetupError> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates("ca_file", &identity.ca)? {
        roots.add(certificate).map_err(unfit("ca_file"))?;
    }
    Ok(roots)
}

pub(super) fn server_config(
    identity: &Identity,
) -> Result<ServerConfig, SetupError> {
    let provider = Arc::new(default_provider());
    let roots = Arc::new(roots(identity)?);
    let verifier = WebPkiClientVerifier::builder_with_provider(
        roots,
        Arc::clone(&provider),
    )
    .build()
    .map_err(unfit("certificate_file"))?;
    let chain = certificates("certificate_file", &identity.certificate)?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unfit("certificate_file"))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, private_key(&identity.key)?)
        .map_err(unfit("certificate_file"))?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let tls =
        QuicServerConfig::try_from(tls).map_err(unfit("certificate_file"))?;
    let mut config = ServerConfig::with_crypto(Arc::new(tls));
    config.transport_config(transport());
    Ok(config)
}

pub(super) fn client_config(
    identity: &Identity,
) -> Result<ClientConfig, SetupError> {
    let chain = certificates("certificate_file", &identity.certificate)?;
    let provider = Arc::new(default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unfit("certificate_file"))?
        .with_root_certificates(roots(identity)?)
        .with_client_auth_cert(chain, private_key(&identity.key)?)
        .map_err(unfit("certificate_file"))?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let tls =
        QuicClientConfig::try_from(tls).map_err(unfit("certificate_file"))?;
    let mut config = ClientConfig::new(Arc::new(tls));
    config.transport_config(transport());
    Ok(config)
}
