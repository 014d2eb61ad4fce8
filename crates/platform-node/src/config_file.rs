//! [`ConfigFile`]: the configuration file, which may be replaced while the router runs.

use std::net::SocketAddr;
use std::path::PathBuf;

use cedarpulley_platform::config::{ConfigError, StartupConfig, discovery_address_of};
use cedarpulley_platform::discovery::DiscoveryError;

use crate::startup::StartError;

type Result<T> = std::result::Result<T, StartError>;

/// The path of the configuration file. Each method that returns settings reads the file again.
pub(crate) struct ConfigFile {
    path: PathBuf,
}

impl ConfigFile {
    pub fn new(path: PathBuf) -> Self {
        ConfigFile { path }
    }

    /// Reads the whole configuration.
    pub fn read(&self) -> Result<StartupConfig> {
        StartupConfig::parse(&self.text()?).map_err(|source| self.config_error(source))
    }

    /// Reads the address of discovery that the file contains now.
    pub fn discovery_address(&self) -> Result<SocketAddr> {
        discovery_address_of(&self.text()?).map_err(|source| self.config_error(source))
    }

    /// The error for invalid discovery events in the file.
    pub fn initial_events_error(&self, source: DiscoveryError) -> StartError {
        StartError::InitialEvents {
            path: self.display_path(),
            source,
        }
    }

    fn config_error(&self, source: ConfigError) -> StartError {
        StartError::Config {
            path: self.display_path(),
            source,
        }
    }

    fn text(&self) -> Result<String> {
        std::fs::read_to_string(&self.path).map_err(|source| StartError::File {
            path: self.display_path(),
            source,
        })
    }

    fn display_path(&self) -> String {
        self.path.display().to_string()
    }
}
