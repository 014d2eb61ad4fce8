//! What a trace file begins with: all that the decision module was created with, so that it can be created again, and
//! the names behind its indices. Its bytes: [`crate::start_codec`].

use cedarpulley::Balancer;
use cedarpulley::interface::Micros;
use cedarpulley_startup::StartupSettings;

/// What one router recorded when it began a file.
#[derive(Clone, Debug)]
pub struct StartRecord {
    /// The router's name.
    pub router: String,
    /// Digest of the decision module's source with its interface, see [`module_digest`].
    pub module_digest: [u8; 32],
    /// Digest of the settings' text, see [`digest`].
    pub settings_digest: [u8; 32],
    /// Number of this file among the files of the router's incarnation, from 0: only a series from 0 on can be
    /// replayed.
    pub file_number: u64,
    /// Wall clock at the router's time 0, in microseconds since 1970.
    pub wall_at_zero: Micros,
    /// Names of trigger types, by index.
    pub trigger_names: Vec<String>,
    /// Names of accounts, by index.
    pub account_names: Vec<String>,
    /// Names of listeners and queues, by index.
    pub front_names: Vec<String>,
    /// Seed of the decision module's draws.
    pub seed: u64,
    /// Everything else that the decision module was created with.
    pub startup: StartupSettings,
}

impl StartRecord {
    /// The decision module as the router created it.
    pub fn balancer(&self) -> Balancer {
        self.startup.balancer(self.seed)
    }
}

/// What was done to the records since the router wrote them. The numbers are stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Provenance {
    /// One file of its series, as it was written.
    #[default]
    Original = 0,
    /// A part that was cut out.
    Cut = 1,
    /// Names and seed were replaced by pseudonyms.
    Stripped = 2,
    /// The decisions are those of another build, for the same events.
    Redone = 3,
}

/// One router's records within a file; a merged file has several.
#[derive(Clone, Debug)]
pub struct Source {
    /// What the router recorded at the beginning.
    pub start: StartRecord,
    /// By how many microseconds its wall clock is ahead of the first source's, as estimated on merging.
    pub clock_ahead: Micros,
    /// What was done to its records since.
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
    /// The wall clock of the file's first source at this source's router time `at`.
    pub fn wall(&self, at: Micros) -> Micros {
        self.start
            .wall_at_zero
            .saturating_add(at)
            .saturating_sub(self.clock_ahead)
    }
}

/// Of this build's module.
pub fn module_digest() -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for source in cedarpulley::MODULE_SOURCES {
        hasher.update(source.text.as_bytes());
    }
    *hasher.finalize().as_bytes()
}

/// Of a settings text.
pub fn digest(text: &[u8]) -> [u8; 32] {
    *blake3::hash(text).as_bytes()
}
