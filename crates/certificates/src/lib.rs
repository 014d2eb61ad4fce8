//! TLS certificates from files: validation, reload at run time, and the account of a client's certificate. Free of I/O:
//! the caller passes in the contents and modes of the files and the time.
//!
//! * [`validation`]: rejects, with the cause, a key file that others may read, a key that does not belong to its
//!   certificate, and a certificate outside its validity period.
//! * [`reload`]: decides whether changed files replace the served certificate. Only files that pass the same validation
//!   do; otherwise the current certificate stays in use, and the cause is reported. The two files are usually replaced
//!   one after the other, so a pair that does not match is read again before it is rejected.
//! * [`client_accounts`]: maps the common name of a client certificate's subject to an account; a certificate without
//!   an account is rejected.

#![warn(missing_docs)]

pub mod client_accounts;
pub mod error;
pub mod reload;
pub mod validation;

pub use client_accounts::ClientAccounts;
pub use error::{CertificateError, RejectedFile};
pub use reload::{CertificateReloader, ReloadStep};
pub use validation::{ServedCertificate, parse_chain, validate};

/// Size limit of a certificate or key file, in bytes; larger files are not certificates.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// The contents and mode of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CertificateFile {
    /// The contents of the file.
    pub bytes: Vec<u8>,
    /// The mode of the file (`st_mode` of `stat`).
    pub mode: u32,
}

/// The purpose of a file. The names of the variants appear in log messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileRole {
    /// The server's certificate chain, its own certificate first.
    Certificate,
    /// The private key of the server's certificate.
    Key,
    /// The certificate authorities for client certificates.
    Clients,
}
