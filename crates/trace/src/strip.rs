//! Replaces who and what: names of functions, workers, accounts, routers and listeners, and correlation ids, become
//! pseudonyms by a key, the same for the same name in every file that is stripped with it. Sizes and times stay. Without
//! the key nobody gets a name back, nor tells by trying whether one is in the file.

use std::collections::HashSet;

use cedarpulley::interface::Event;

use crate::records::{NameKind, Record, RecordedEvent};
use crate::start::{Provenance, Source, StartRecord};

/// Pseudonyms have so many hexadecimal digits: even among a million names two alike are not to be expected.
const DIGITS: usize = 16;
/// Shorter originals are not searched for: they stand in any bytes by chance.
const MIN_SEARCHED: usize = 4;
/// Originals that are remembered for the search.
const MAX_ORIGINALS: usize = 1_000_000;

/// Makes pseudonyms, and remembers what it replaced.
pub struct Pseudonymizer {
    key: [u8; 32],
    /// What was replaced, for the search afterwards.
    originals: HashSet<String>,
}

impl Pseudonymizer {
    /// `secret`: any length; whoever has it can make the same pseudonyms.
    pub fn new(secret: &[u8]) -> Self {
        Pseudonymizer {
            key: blake3::derive_key("cedarpulley trace strip, format 1", secret),
            originals: HashSet::new(),
        }
    }

    /// `prefix` says what is named; names of different kinds have different pseudonyms.
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

    fn number(&self, n: u64) -> u64 {
        let hash = blake3::keyed_hash(&self.key, &n.to_le_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(first)
    }

    /// Names of trigger types stay: they say what kind of work it was. The seed and the settings' digest are replaced:
    /// settings could be guessed by them.
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

    /// The record under pseudonyms.
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
                // A worker's fingerprint is computed from its address.
                for endpoint in endpoints {
                    endpoint.fingerprint = self.number(endpoint.fingerprint);
                }
            }
            // Computed from the function's name again by who reads it.
            RecordedEvent::Other(Event::Invocation(arrival)) => arrival.fingerprint = 0,
            RecordedEvent::Other(_) => {}
        }
        event
    }

    /// An original that stands in these unpacked bytes; there must be none.
    pub fn left_in(&self, bytes: &[u8]) -> Option<&str> {
        self.originals
            .iter()
            .find(|o| bytes.windows(o.len()).any(|w| w == o.as_bytes()))
            .map(String::as_str)
    }
}
