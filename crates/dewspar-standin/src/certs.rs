/*!
A certificate authority for tests and demonstrations.

# Example

```
use dewspar_standin::certs::Authority;

let authority = Authority::new()?;
let identity = authority.issue("athens-1")?;
assert!(identity.certificate_pem().contains("BEGIN CERTIFICATE"));
# Ok::<(), dewspar_standin::certs::Error>(())
```
*/

use {
    displaydoc::Display,
    rcgen::{
        BasicConstraints, CertificateParams, CertifiedIssuer,
        ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose,
    },
};

/// cannot make a certificate: {0}
#[derive(Debug, Display)]
pub struct Error(rcgen::Error);

impl std::error::Error for Error {}

impl From<rcgen::Error> for Error {
    fn from(error: rcgen::Error) -> Error {
        Error(error)
    }
}

/// A certificate authority that lives as long as the process.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

/// A node's certificate and key.
pub struct Identity {
    certificate_pem: String,
    key_pem: String,
}

impl Authority {
    /// Makes a new authority.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when no key could be made.
    pub fn new() -> Result<Authority, Error> {
        let mut params = CertificateParams::new(Vec::<String>::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages =
            vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let key = KeyPair::generate()?;
        let issuer = CertifiedIssuer::self_signed(params, key)?;
        Ok(Authority { issuer })
    }

    /// Returns the authority's own certificate.
    pub fn certificate_pem(&self) -> String {
        self.issuer.pem()
    }

    /// Issues a certificate to the node of that name.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the name can't stand in a certificate.
    pub fn issue(&self, node: &str) -> Result<Identity, Error> {
        let mut params = CertificateParams::new(vec![node.to_owned()])?;
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(Identity {
            certificate_pem: certificate.pem(),
            key_pem: key.serialize_pem(),
        })
    }
}

impl Identity {
    /// Returns the certificate.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Returns the private key.
    pub fn key_pem(&self) -> &str {
        &self.key_pem
    }
}
