//! Why files may not be served.

use cedarpulley_errors::Remedy;
use thiserror::Error;

use crate::FileRole;

/// Why files may not be served. A `number` is a certificate's position in its file, from 1.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CertificateError {
    /// A file could not be read for some time.
    #[error("cannot be read, nor can its key")]
    Unreadable,
    /// The file is not PEM.
    #[error("is not PEM")]
    NotPem(FileRole),
    /// The file has no certificate.
    #[error("holds no certificate")]
    Empty(FileRole),
    /// A certificate cannot be parsed.
    #[error("number {number} cannot be read")]
    Malformed {
        /// The certificate.
        number: usize,
    },
    /// A certificate has expired.
    #[error("number {number} has expired")]
    Expired {
        /// The certificate.
        number: usize,
    },
    /// A certificate is not valid yet.
    #[error("number {number} is not valid yet")]
    NotYetValid {
        /// The certificate.
        number: usize,
    },
    /// Others than its owner may read or write the key's file.
    #[error("may be read by others (mode {mode:03o})")]
    KeyExposed {
        /// The permission bits of the file.
        mode: u32,
    },
    /// The key's file has no private key.
    #[error("holds no key")]
    NoKey,
    /// The key is of a kind that is not supported.
    #[error("is of no kind that can sign")]
    UnsupportedKey,
    /// The key does not belong to the certificate.
    #[error("does not belong to the certificate")]
    KeyMismatch,
}

impl CertificateError {
    /// The file that is at fault.
    pub fn role(&self) -> FileRole {
        match self {
            CertificateError::NotPem(which) | CertificateError::Empty(which) => *which,
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
                "put both files back where the settings name them, readable for the router"
            }
            CertificateError::NotPem(_) | CertificateError::Empty(_) => {
                "write certificates into it as PEM, of a chain the own one first"
            }
            CertificateError::Malformed { .. } => "have that certificate made anew",
            CertificateError::Expired { .. } => {
                "have a new certificate made and put it in its place"
            }
            CertificateError::NotYetValid { .. } => {
                "wait for its first day, or mend this machine's clock"
            }
            CertificateError::KeyExposed { .. } => "give it mode 600",
            CertificateError::NoKey => "write the private key as PEM",
            CertificateError::UnsupportedKey => "make a key of kind RSA, ECDSA or Ed25519",
            CertificateError::KeyMismatch => {
                "put the key beside the certificate that was made for it"
            }
        }
    }
}

/// A file that may not be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedFile {
    /// The file.
    pub role: FileRole,
    /// What is wrong with it, and what to do.
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
