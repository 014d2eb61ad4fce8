//! Certificates from files: whether they may be served, whether a changed file may replace what is served, and which
//! account a client's certificate is bound to. Free of I/O: contents and modes of files and the time go in.
//!
//! * [`validation`]: a key that others may read, a key that does not belong to its certificate, and a certificate
//!   outside its validity are rejected, with the cause.
//! * [`reload`]: at run time, only what passes the same validation replaces what is served; otherwise the old goes on
//!   being served, and the cause is reported. Whoever replaces the two files writes one after the other: a pair that
//!   does not match is read again before it counts.
//! * [`client_accounts`]: a client's certificate is bound to an account by its subject's name; one that is bound to
//!   none is rejected.

#![warn(missing_docs)]

pub mod client_accounts;
pub mod error;
pub mod reload;
pub mod validation;

pub use client_accounts::ClientAccounts;
pub use error::{CertificateError, RejectedFile};
pub use reload::{CertificateReloader, ReloadStep};
pub use validation::{ServedCertificate, parse_chain, validate};

/// Larger files are no certificates.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// A file that was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CertificateFile {
    /// Its contents.
    pub bytes: Vec<u8>,
    /// Its mode, as of `stat`.
    pub mode: u32,
}

/// What a file is for. The names appear in log messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileRole {
    /// The server's certificate chain, its own certificate first.
    Certificate,
    /// The private key of the server's certificate.
    Key,
    /// The authorities whose certificates clients may present.
    Clients,
}
