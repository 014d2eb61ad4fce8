//! Takes out who and what: names of functions, workers, accounts, routers and marks become pseudonyms by a key, the
//! same for the same name in every file that is stripped with it. Sizes and times stay. Without the key nobody gets a
//! name back, nor tells by trying whether one is in it.

use std::collections::HashSet;

use crate::records::{Record, RecordedEvent, Space};
use crate::start::{Extent, Source};
use cedarpulley::interface::Event;

/// Pseudonyms are so many hexadecimal digits: even among a million names two alike are not to be expected.
const DIGITS: usize = 16;
/// Shorter originals are not looked for: they stand in any bytes by chance.
const LOOKED_FOR: usize = 4;

pub struct Strip {
    key: [u8; 32],
    /// What was replaced, for the check afterwards; bounded.
    originals: HashSet<String>,
}

/// Originals that the check remembers.
const MOST_ORIGINALS: usize = 1_000_000;

impl Strip {
    /// `secret`: any length; whoever has it can make the same pseudonyms.
    pub fn new(secret: &[u8]) -> Self {
        Strip {
            key: blake3::derive_key("cedarpulley trace strip, format 1", secret),
            originals: HashSet::new(),
        }
    }

    fn pseudonym(&mut self, kind: &str, text: &str) -> String {
        if text.is_empty() {
            return String::new();
        }
        if text.len() >= LOOKED_FOR && self.originals.len() < MOST_ORIGINALS {
            self.originals.insert(text.to_owned());
        }
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(kind.as_bytes());
        hasher.update(&[0]);
        hasher.update(text.as_bytes());
        let hex = hasher.finalize().to_hex();
        format!("{kind}{}", &hex[..DIGITS])
    }

    fn number(&self, n: u64) -> u64 {
        let hash = blake3::keyed_hash(&self.key, &n.to_le_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(first)
    }

    /// Names of trigger types stay: they say what kind of work it was. The seed and the settings' digest go: by them
    /// settings could be told.
    pub fn source(&mut self, source: &Source) -> Source {
        let start = &source.start;
        let mut s = start.clone();
        s.router = self.pseudonym("R-", &start.router);
        s.accounts_named = start
            .accounts_named
            .iter()
            .map(|n| self.pseudonym("A-", n))
            .collect();
        s.fronts_named = start
            .fronts_named
            .iter()
            .map(|n| self.pseudonym("E-", n))
            .collect();
        s.settings = *blake3::keyed_hash(&self.key, &start.settings).as_bytes();
        s.seed = self.number(start.seed);
        Source {
            start: s,
            clock_ahead: source.clock_ahead,
            extent: Extent::Stripped,
        }
    }

    pub fn record(&mut self, record: Record) -> Record {
        match record {
            Record::Name {
                kind: space,
                index: ix,
                name: text,
            } => {
                let kind = if space == Space::Worker { "W-" } else { "F-" };
                let text = self.pseudonym(kind, &text);
                Record::Name {
                    kind: space,
                    index: ix,
                    name: text,
                }
            }
            Record::Taken {
                inv,
                front,
                mark,
                redelivered,
            } => {
                let mark = mark.map(|m| self.number(m));
                Record::Taken {
                    inv,
                    front,
                    mark,
                    redelivered,
                }
            }
            Record::Decided {
                event:
                    RecordedEvent::List {
                        kind,
                        mut endpoints,
                    },
                actions,
            } => {
                // A worker's fingerprint is made of its address.
                endpoints
                    .iter_mut()
                    .for_each(|e| e.fingerprint = self.number(e.fingerprint));
                Record::Decided {
                    event: RecordedEvent::List { kind, endpoints },
                    actions,
                }
            }
            Record::Decided {
                event: RecordedEvent::Other(Event::Invocation(mut a)),
                actions,
            } => {
                // Made of the function's name again by who reads it.
                a.fingerprint = 0;
                Record::Decided {
                    event: RecordedEvent::Other(Event::Invocation(a)),
                    actions,
                }
            }
            other => other,
        }
    }

    /// An original that stands in these unpacked bytes; there must be none.
    pub fn left_in(&self, bytes: &[u8]) -> Option<&str> {
        self.originals
            .iter()
            .find(|o| bytes.windows(o.len()).any(|w| w == o.as_bytes()))
            .map(String::as_str)
    }
}
