//! Validation of a certificate chain and its private key.

use cedarpulley::interface::Micros;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use x509_parser::prelude::{FromDer, X509Certificate};

use crate::{CertificateError, CertificateFile, FileRole};

/// Bits of a file's mode that allow access by its group and by other users.
const ACCESS_BY_OTHERS: u32 = 0o077;
/// Bits of a file's mode that are permissions.
const PERMISSION_BITS: u32 = 0o777;

/// A valid certificate chain and its private key.
#[derive(Debug)]
pub struct ServedCertificate {
    /// The certificate chain, the server's own certificate first.
    pub chain: Vec<CertificateDer<'static>>,
    /// The private key.
    pub key: PrivateKeyDer<'static>,
    /// The earliest expiry of a certificate in the chain, in microseconds since 1970.
    pub expires_at: Micros,
}

/// Parses the certificates of a file. Fails if it contains none.
pub fn parse_chain(
    role: FileRole,
    bytes: &[u8],
) -> Result<Vec<CertificateDer<'static>>, CertificateError> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(bytes).collect();
    match chain {
        Ok(chain) if !chain.is_empty() => Ok(chain),
        Ok(_) => Err(CertificateError::Empty(role)),
        Err(_) => Err(CertificateError::NotPem(role)),
    }
}

/// Checks whether a certificate chain and its key can be served. `wall`: the current time in microseconds since 1970.
pub fn validate(
    certificate: &CertificateFile,
    key: &CertificateFile,
    wall: Micros,
) -> Result<ServedCertificate, CertificateError> {
    let chain = parse_chain(FileRole::Certificate, &certificate.bytes)?;
    if key.mode & ACCESS_BY_OTHERS != 0 {
        return Err(CertificateError::KeyExposed {
            mode: key.mode & PERMISSION_BITS,
        });
    }
    let key = PrivateKeyDer::from_pem_slice(&key.bytes).map_err(|_| CertificateError::NoKey)?;
    let expires_at = earliest_expiry(&chain, wall)?;
    check_key(&chain, &key)?;
    Ok(ServedCertificate {
        chain,
        key,
        expires_at,
    })
}

/// Returns the earliest expiry of the certificates, in microseconds since 1970. Fails if one of them is not valid at
/// `wall`.
fn earliest_expiry(chain: &[CertificateDer], wall: Micros) -> Result<Micros, CertificateError> {
    let mut earliest = Micros::MAX;
    for (number, der) in (1..).zip(chain) {
        let (_, certificate) =
            X509Certificate::from_der(der).map_err(|_| CertificateError::Malformed { number })?;
        let validity = certificate.validity();
        let micros = |seconds: i64| seconds.saturating_mul(1_000_000);
        let not_before = micros(validity.not_before.timestamp());
        let not_after = micros(validity.not_after.timestamp());
        if wall > not_after {
            return Err(CertificateError::Expired { number });
        }
        if wall < not_before {
            return Err(CertificateError::NotYetValid { number });
        }
        earliest = earliest.min(not_after);
    }
    Ok(earliest)
}

/// Checks that the key is supported and belongs to the first certificate of the chain.
fn check_key(
    chain: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
) -> Result<(), CertificateError> {
    let signing_key = rustls::crypto::ring::default_provider()
        .key_provider
        .load_private_key(key.clone_key())
        .map_err(|_| CertificateError::UnsupportedKey)?;
    match rustls::sign::CertifiedKey::new(chain.to_vec(), signing_key).keys_match() {
        // A key type that does not provide its public key cannot be checked, and is accepted.
        Ok(()) | Err(rustls::Error::InconsistentKeys(rustls::InconsistentKeys::Unknown)) => Ok(()),
        Err(_) => Err(CertificateError::KeyMismatch),
    }
}
