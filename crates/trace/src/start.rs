//! The start record of a trace file: all parameters that the balancer was created with, so that it can be created
//! again, and the names behind its indices. [`crate::start_codec`] encodes it.

use cedarpulley::Balancer;
use cedarpulley::interface::Micros;
use cedarpulley_startup::StartupSettings;

/// The information that a router records at the beginning of a file.
#[derive(Clone, Debug)]
pub struct StartRecord {
    /// The router's name.
    pub router: String,
    /// Digest of the source code of the balancer and its interface, see [`module_digest`].
    pub module_digest: [u8; 32],
    /// Digest of the text of the settings, see [`digest`].
    pub settings_digest: [u8; 32],
    /// Number of this file among the files of the router's incarnation, from 0. Only a series that begins with file 0
    /// can be replayed.
    pub file_number: u64,
    /// Wall clock at router time 0, in microseconds since 1970.
    pub wall_at_zero: Micros,
    /// Names of trigger types, by index.
    pub trigger_names: Vec<String>,
    /// Names of accounts, by index.
    pub account_names: Vec<String>,
    /// Names of listeners and queues, by index.
    pub front_names: Vec<String>,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
    /// All other parameters that the balancer was created with.
    pub startup: StartupSettings,
}

impl StartRecord {
    /// Creates the balancer in the state in which the router created it.
    pub fn balancer(&self) -> Balancer {
        self.startup.balancer(self.seed)
    }
}

/// How the records were changed after the router wrote them. The numbers are stored in trace files.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Provenance {
    /// Unchanged: a file of a series as the router wrote it.
    #[default]
    Original = 0,
    /// A part of a trace.
    Cut = 1,
    /// Names and seed are replaced by pseudonyms.
    Stripped = 2,
    /// The decisions are replaced by those of another build for the same events.
    Redone = 3,
}

/// The records of one router within a file; a merged file has several sources.
#[derive(Clone, Debug)]
pub struct Source {
    /// The start record of the router.
    pub start: StartRecord,
    /// How far its wall clock is ahead of the first source's, in microseconds, as estimated when the files were merged.
    pub clock_ahead: Micros,
    /// How its records were changed after the router wrote them.
    pub provenance: Provenance,
}

impl From<StartRecord> for Source {
    fn from(start: StartRecord) -> Self {
        Source {
            start,
            clock_ahead: 0,
            provenance: Provenance::Original,
        }
    }
}

impl Source {
    /// Converts `at`, a router time of this source, to the wall clock of the file's first source.
    pub fn wall(&self, at: Micros) -> Micros {
        self.start
            .wall_at_zero
            .saturating_add(at)
            .saturating_sub(self.clock_ahead)
    }
}

/// Digest of the balancer's source code in this build.
pub fn module_digest() -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for source in cedarpulley::MODULE_SOURCES {
        hasher.update(source.text.as_bytes());
    }
    *hasher.finalize().as_bytes()
}

/// Digest of the text of the settings.
pub fn digest(text: &[u8]) -> [u8; 32] {
    *blake3::hash(text).as_bytes()
}
