//! The error for certificate and key files that cannot be served.

use cedarpulley_errors::Remedy;
use thiserror::Error;

use crate::FileRole;

/// Why files cannot be served. `number` is the position of a certificate in its file, starting at 1.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CertificateError {
    /// The certificate file or the key file could not be read several times in a row.
    #[error("cannot be read, or its key cannot be read")]
    Unreadable,
    /// The file is not PEM.
    #[error("is not PEM")]
    NotPem(FileRole),
    /// The file contains no certificate.
    #[error("contains no certificate")]
    Empty(FileRole),
    /// A certificate cannot be parsed.
    #[error("certificate number {number} cannot be parsed")]
    Malformed {
        /// Position of the certificate.
        number: usize,
    },
    /// A certificate has expired.
    #[error("certificate number {number} has expired")]
    Expired {
        /// Position of the certificate.
        number: usize,
    },
    /// A certificate is not valid yet.
    #[error("certificate number {number} is not valid yet")]
    NotYetValid {
        /// Position of the certificate.
        number: usize,
    },
    /// The mode of the key file allows access by other users than its owner.
    #[error("may be read by others (mode {mode:03o})")]
    KeyExposed {
        /// The permission bits of the file.
        mode: u32,
    },
    /// The key file contains no private key.
    #[error("contains no private key")]
    NoKey,
    /// The type of the key is not supported.
    #[error("contains a key of an unsupported type")]
    UnsupportedKey,
    /// The key does not belong to the certificate.
    #[error("does not belong to the certificate")]
    KeyMismatch,
}

impl CertificateError {
    /// Returns the file that causes the error.
    pub fn role(&self) -> FileRole {
        match self {
            CertificateError::NotPem(role) | CertificateError::Empty(role) => *role,
            CertificateError::Unreadable
            | CertificateError::Malformed { .. }
            | CertificateError::Expired { .. }
            | CertificateError::NotYetValid { .. } => FileRole::Certificate,
            CertificateError::KeyExposed { .. }
            | CertificateError::NoKey
            | CertificateError::UnsupportedKey
            | CertificateError::KeyMismatch => FileRole::Key,
        }
    }
}

impl Remedy for CertificateError {
    fn remedy(&self) -> &'static str {
        match self {
            CertificateError::Unreadable => {
                "provide both files at the paths in the settings, readable by the router"
            }
            CertificateError::NotPem(_) | CertificateError::Empty(_) => {
                "provide the certificates in PEM format, the server's own certificate first"
            }
            CertificateError::Malformed { .. } => "have that certificate issued again",
            CertificateError::Expired { .. } => {
                "have a new certificate issued, and replace the expired one"
            }
            CertificateError::NotYetValid { .. } => {
                "wait until it is valid, or correct this machine's clock"
            }
            CertificateError::KeyExposed { .. } => "set its mode to 600",
            CertificateError::NoKey => "provide the private key in PEM format",
            CertificateError::UnsupportedKey => "use an RSA, ECDSA or Ed25519 key",
            CertificateError::KeyMismatch => {
                "provide the private key that belongs to the certificate"
            }
        }
    }
}

/// A file that cannot be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedFile {
    /// The file.
    pub role: FileRole,
    /// Why the file cannot be served, and what an operator can do.
    pub cause: String,
}

impl From<CertificateError> for RejectedFile {
    fn from(error: CertificateError) -> Self {
        RejectedFile {
            role: error.role(),
            cause: error.line(),
        }
    }
}
