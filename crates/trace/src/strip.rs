//! Replaces identifying values by pseudonyms: names of functions, workers, accounts, routers and listeners, and hashes
//! of correlation ids. Pseudonyms are computed with a secret key: in all files that are stripped with the same key, a
//! name has the same pseudonym. Sizes and times are not changed. Without the key, names can neither be recovered nor be
//! confirmed by computing the pseudonyms of guessed names.

use std::collections::HashSet;

use cedarpulley::interface::Event;

use crate::records::{NameKind, Record, RecordedEvent};
use crate::start::{Provenance, Source, StartRecord};

/// Number of hexadecimal digits of a pseudonym: even among a million names, a collision is very unlikely.
const DIGITS: usize = 16;
/// Original names with fewer bytes are not searched for: they occur by chance in any data.
const MIN_SEARCHED: usize = 4;
/// Largest number of original names that are kept for the search.
const MAX_ORIGINALS: usize = 1_000_000;

/// Replaces names by pseudonyms, and keeps the replaced names.
pub struct Pseudonymizer {
    key: [u8; 32],
    /// The replaced names, which stripped blocks are searched for.
    originals: HashSet<String>,
}

impl Pseudonymizer {
    /// Creates a pseudonymizer with a secret of any length. Anyone who has the secret can compute the same pseudonyms.
    pub fn new(secret: &[u8]) -> Self {
        Pseudonymizer {
            key: blake3::derive_key("cedarpulley trace strip, format 1", secret),
            originals: HashSet::new(),
        }
    }

    /// Returns the pseudonym of a name. `prefix` is the kind of the name: equal names of different kinds have different
    /// pseudonyms.
    fn pseudonym(&mut self, prefix: &str, name: &str) -> String {
        if name.is_empty() {
            return String::new();
        }
        if name.len() >= MIN_SEARCHED && self.originals.len() < MAX_ORIGINALS {
            self.originals.insert(name.to_owned());
        }
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(prefix.as_bytes());
        hasher.update(&[0]);
        hasher.update(name.as_bytes());
        let hex = hasher.finalize().to_hex();
        format!("{prefix}{}", &hex[..DIGITS])
    }

    fn pseudonyms(&mut self, prefix: &str, names: &[String]) -> Vec<String> {
        names.iter().map(|n| self.pseudonym(prefix, n)).collect()
    }

    /// Returns the pseudonym of a number.
    fn number(&self, n: u64) -> u64 {
        let hash = blake3::keyed_hash(&self.key, &n.to_le_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(first)
    }

    /// Returns the source with pseudonyms. Names of trigger types are kept, since they describe the kind of work. The
    /// seed and the digest of the settings are replaced, since settings could be guessed from them.
    pub fn source(&mut self, source: &Source) -> Source {
        let start = &source.start;
        Source {
            start: StartRecord {
                router: self.pseudonym("R-", &start.router),
                account_names: self.pseudonyms("A-", &start.account_names),
                front_names: self.pseudonyms("E-", &start.front_names),
                settings_digest: *blake3::keyed_hash(&self.key, &start.settings_digest).as_bytes(),
                seed: self.number(start.seed),
                ..start.clone()
            },
            clock_ahead: source.clock_ahead,
            provenance: Provenance::Stripped,
        }
    }

    /// Returns the record with pseudonyms.
    pub fn record(&mut self, record: Record) -> Record {
        match record {
            Record::Name { kind, index, name } => {
                let prefix = match kind {
                    NameKind::Worker => "W-",
                    NameKind::Function => "F-",
                };
                let name = self.pseudonym(prefix, &name);
                Record::Name { kind, index, name }
            }
            Record::Accepted {
                invocation,
                front,
                correlation_hash,
                redelivered,
            } => Record::Accepted {
                invocation,
                front,
                correlation_hash: correlation_hash
                    .map(|correlation_hash| self.number(correlation_hash)),
                redelivered,
            },
            Record::Decided { event, actions } => Record::Decided {
                event: self.event(event),
                actions,
            },
            other => other,
        }
    }

    fn event(&self, mut event: RecordedEvent) -> RecordedEvent {
        match &mut event {
            RecordedEvent::List { endpoints, .. } => {
                // Replaced because a worker's fingerprint is computed from its address.
                for endpoint in endpoints {
                    endpoint.fingerprint = self.number(endpoint.fingerprint);
                }
            }
            // Not stored: readers compute it from the function's name.
            RecordedEvent::Other(Event::Invocation(arrival)) => arrival.fingerprint = 0,
            RecordedEvent::Other(_) => {}
        }
        event
    }

    /// Returns an original name that these unpacked bytes still contain; absent if the block may be written.
    pub fn left_in(&self, bytes: &[u8]) -> Option<&str> {
        self.originals
            .iter()
            .find(|o| bytes.windows(o.len()).any(|w| w == o.as_bytes()))
            .map(String::as_str)
    }
}
