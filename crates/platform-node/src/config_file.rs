//! The configuration file. It may be replaced while the router runs.

use std::net::SocketAddr;
use std::path::PathBuf;

use cedarpulley_platform::config::{ConfigError, StartupConfig, discovery_address_of};
use cedarpulley_platform::discovery::DiscoveryError;

use crate::startup::StartError;

type Result<T> = std::result::Result<T, StartError>;

/// The file's place; each method reads it anew.
pub(crate) struct ConfigFile {
    path: PathBuf,
}

impl ConfigFile {
    pub fn new(path: PathBuf) -> Self {
        ConfigFile { path }
    }

    /// The whole configuration.
    pub fn read(&self) -> Result<StartupConfig> {
        StartupConfig::parse(&self.text()?).map_err(|source| self.invalid(source))
    }

    /// The address of discovery, as the file has it now.
    pub fn discovery_address(&self) -> Result<SocketAddr> {
        discovery_address_of(&self.text()?).map_err(|source| self.invalid(source))
    }

    /// The error for invalid events in the file.
    pub fn invalid_events(&self, source: DiscoveryError) -> StartError {
        StartError::InitialEvents {
            path: self.name(),
            source,
        }
    }

    fn invalid(&self, source: ConfigError) -> StartError {
        StartError::Config {
            path: self.name(),
            source,
        }
    }

    fn text(&self) -> Result<String> {
        std::fs::read_to_string(&self.path).map_err(|source| StartError::File {
            path: self.name(),
            source,
        })
    }

    fn name(&self) -> String {
        self.path.display().to_string()
    }
}
