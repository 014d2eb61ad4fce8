//! Decides on the certificates that files offer: whether they may serve, whether a changed file may take the place of
//! what is served, and which account a client's certificate speaks for. Free of I/O: bytes and figures of files
//! and the wall's time go in. Called with [`judge`], [`Keeper::offered`] and [`Speakers::account`].
//!
//! Mechanisms:
//! 1. A key that others may read, does not belong to its certificate, or a certificate out of its time is refused,
//!    with the cause.
//! 2. While running, only what passes the same judgement replaces what is served; else the old goes on, and says so.
//!    Files are read in twos by those who write them: a pair that does not match is looked at again before it counts.
//! 3. A client's certificate speaks for the account that its subject's name is given to; one that is given to none
//!    speaks for none and is refused.

use std::collections::HashMap;

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use thiserror::Error;
use x509_parser::prelude::{FromDer, X509Certificate};

/// Bits of a file's mode by which others than its owner may read or write it.
const OTHERS: u32 = 0o077;
/// A certificate that ends within this time is told of, again and again: time enough to make another.
const ENDS_SOON: Micros = 7 * 86_400_000_000;
/// A pair that does not match may be half written; it is looked at so often before it counts as wrong.
const LOOKS: u32 = 3;
/// Files beyond this size are no certificates.
pub const MOST_FILE: u64 = 1 << 20;

/// What was read of one file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Read {
    pub bytes: Vec<u8>,
    pub mode: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Which {
    Certificate,
    Key,
    Clients,
}

/// Why files may not serve. A number is a certificate's place in its file, from 1.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unfit {
    #[error("cannot be read, nor can its key")]
    Unread,
    #[error("is not PEM")]
    NoPem(Which),
    #[error("holds no certificate")]
    Empty(Which),
    #[error("number {number} cannot be read")]
    Garbled { number: usize },
    #[error("number {number} has expired")]
    Expired { number: usize },
    #[error("number {number} is not valid yet")]
    NotYet { number: usize },
    #[error("may be read by others (mode {mode:03o})")]
    Open { mode: u32 },
    #[error("holds no key")]
    NoKey,
    #[error("is of no kind that can sign")]
    SignsNothing,
    #[error("does not belong to the certificate")]
    Stranger,
}

impl Unfit {
    /// The file that is at fault.
    pub fn which(&self) -> Which {
        match self {
            Unfit::NoPem(which) | Unfit::Empty(which) => *which,
            Unfit::Unread
            | Unfit::Garbled { .. }
            | Unfit::Expired { .. }
            | Unfit::NotYet { .. } => Which::Certificate,
            Unfit::Open { .. } | Unfit::NoKey | Unfit::SignsNothing | Unfit::Stranger => Which::Key,
        }
    }
}

impl Remedy for Unfit {
    fn remedy(&self) -> &'static str {
        match self {
            Unfit::Unread => {
                "put both files back where the settings name them, readable for the router"
            }
            Unfit::NoPem(_) | Unfit::Empty(_) => {
                "write certificates into it as PEM, of a chain the own one first"
            }
            Unfit::Garbled { .. } => "have that certificate made anew",
            Unfit::Expired { .. } => "have a new certificate made and put it in its place",
            Unfit::NotYet { .. } => "wait for its first day, or mend this machine's clock",
            Unfit::Open { .. } => "give it mode 600",
            Unfit::NoKey => "write the private key as PEM",
            Unfit::SignsNothing => "make a key of kind RSA, ECDSA or Ed25519",
            Unfit::Stranger => "put the key beside the certificate that was made for it",
        }
    }
}

/// What is wrong, and with which of the files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    pub which: Which,
    pub cause: String,
}

impl From<Unfit> for Refused {
    fn from(why: Unfit) -> Self {
        Refused {
            which: why.which(),
            cause: why.line(),
        }
    }
}

/// A chain and its key that may serve.
#[derive(Debug)]
pub struct Served {
    pub chain: Vec<CertificateDer<'static>>,
    pub key: PrivateKeyDer<'static>,
    /// Since 1970, by the wall's clock.
    pub ends: Micros,
}

pub fn chain(which: Which, bytes: &[u8]) -> Result<Vec<CertificateDer<'static>>, Unfit> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(bytes).collect();
    match chain {
        Ok(chain) if !chain.is_empty() => Ok(chain),
        Ok(_) => Err(Unfit::Empty(which)),
        Err(_) => Err(Unfit::NoPem(which)),
    }
}

/// Whether this pair may serve at `wall`, in microseconds since 1970.
pub fn judge(certificate: &Read, key: &Read, wall: Micros) -> Result<Served, Unfit> {
    let chain = chain(Which::Certificate, &certificate.bytes)?;
    if key.mode & OTHERS != 0 {
        return Err(Unfit::Open {
            mode: key.mode & 0o777,
        });
    }
    let key = PrivateKeyDer::from_pem_slice(&key.bytes).map_err(|_| Unfit::NoKey)?;
    let mut ends = Micros::MAX;
    for (number, one) in (1..).zip(&chain) {
        let (_, it) = X509Certificate::from_der(one).map_err(|_| Unfit::Garbled { number })?;
        let seconds = |s: i64| s.saturating_mul(1_000_000);
        let (from, until) = (
            seconds(it.validity().not_before.timestamp()),
            seconds(it.validity().not_after.timestamp()),
        );
        if wall > until {
            return Err(Unfit::Expired { number });
        }
        if wall < from {
            return Err(Unfit::NotYet { number });
        }
        ends = ends.min(until);
    }
    let provider = rustls::crypto::ring::default_provider();
    let signs = provider
        .key_provider
        .load_private_key(key.clone_key())
        .map_err(|_| Unfit::SignsNothing)?;
    match rustls::sign::CertifiedKey::new(chain.clone(), signs).keys_match() {
        // Kinds of keys that do not tell their public half are taken at their word.
        Ok(()) | Err(rustls::Error::InconsistentKeys(rustls::InconsistentKeys::Unknown)) => {}
        Err(_) => return Err(Unfit::Stranger),
    }
    Ok(Served { chain, key, ends })
}

/// What to do about files that were looked at.
#[derive(Debug)]
pub enum Step {
    /// Nothing new.
    Keep,
    /// Half written, perhaps: look again soon.
    LookAgain,
    Replace(Served),
    /// What is served goes on.
    Refuse(Refused),
}

/// What is served now, and how often the same wrong pair was seen.
#[derive(Debug)]
pub struct Keeper {
    served: (Read, Read),
    ends: Micros,
    offered: Option<(Read, Read)>,
    looks: u32,
}

impl Keeper {
    pub fn new(certificate: Read, key: Read, ends: Micros) -> Self {
        Keeper {
            served: (certificate, key),
            ends,
            offered: None,
            looks: 0,
        }
    }

    /// The files as they are now; absent if one could not be read, as while it is being replaced.
    pub fn offered(&mut self, wall: Micros, files: Option<(Read, Read)>) -> Step {
        let Some(files) = files else {
            self.looks += 1;
            return match self.looks {
                1..LOOKS => Step::LookAgain,
                LOOKS => Step::Refuse(Unfit::Unread.into()),
                _ => Step::Keep,
            };
        };
        if files.0.bytes == self.served.0.bytes && files.1.bytes == self.served.1.bytes {
            (self.offered, self.looks) = (None, 0);
            return Step::Keep;
        }
        // Symptom: the certificate has been written, its key not yet.
        if self.offered.as_ref() != Some(&files) {
            (self.offered, self.looks) = (Some(files.clone()), 0);
        }
        match judge(&files.0, &files.1, wall) {
            Ok(served) => {
                (self.served, self.ends, self.offered, self.looks) = (files, served.ends, None, 0);
                Step::Replace(served)
            }
            Err(why) => {
                self.looks += 1;
                match self.looks {
                    1..LOOKS => Step::LookAgain,
                    // Told once, not at every look.
                    LOOKS => Step::Refuse(why.into()),
                    _ => Step::Keep,
                }
            }
        }
    }

    /// So much time is left, if that is little.
    pub fn ends_soon(&self, wall: Micros) -> Option<Micros> {
        (self.ends - wall < ENDS_SOON).then_some(self.ends - wall)
    }
}

/// Which account a client's certificate speaks for, by the common name of its subject.
#[derive(Clone, Debug, Default)]
pub struct Speakers {
    accounts: HashMap<String, u32>,
}

impl Speakers {
    /// False if the name is given to another account already.
    pub fn give(&mut self, name: String, account: u32) -> bool {
        *self.accounts.entry(name).or_insert(account) == account
    }

    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    pub fn account(&self, certificate: &[u8]) -> Option<u32> {
        let (_, it) = X509Certificate::from_der(certificate).ok()?;
        let mut names = it.subject().iter_common_name();
        let (name, more) = (names.next()?.as_str().ok()?, names.next());
        // Two names in one subject: which is meant nobody can say.
        if more.is_some() {
            None
        } else {
            self.accounts.get(name).copied()
        }
    }
}
