//! Reads the settings of the fronts: AMQP queues, KServe listeners, and their certificates.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use cedarpulley::interface::{Account, Micros};
use cedarpulley_certificates::{self as certificates, FileRole};
use cedarpulley_startup::Names;

use crate::amqp_front::AmqpSource;
use crate::client_listener::{ListenerSettings, Protocol};
use crate::config_reader::Section;
use crate::config_values::path_of;
use crate::tls::{self, ClientTls, ServerTls, TlsFiles};

/// Settings that the settings of fronts refer to.
pub(crate) struct References<'a> {
    /// Folder of the settings file; paths are relative to it.
    pub(crate) folder: &'a Path,
    /// The configured names, by index.
    pub(crate) names: &'a Names,
    /// The configured accounts.
    pub(crate) accounts: &'a [Account],
}

/// Reads the queues to consume from; appends the fronts' weights to `weights`.
pub(crate) fn amqp_sources(
    root: &Section,
    references: &References,
    weights: &mut Vec<f64>,
) -> Vec<AmqpSource> {
    let mut amqp_sources = Vec::new();
    for section in root.sections("amqp") {
        weights.push(front_weight(&section, references));
        amqp_sources.push(AmqpSource {
            name: section.string("name", Some("amqp")),
            broker: section.loopback_address("broker"),
            virtual_host: section.string("virtual_host", Some("/")),
            user: section.string("user", Some("guest")),
            password: section.string("password", Some("guest")),
            queue: section.string("queue", None),
            heartbeat_s: section.integer("heartbeat_s", 0..65_535, Some(10)) as u16,
            tls: client_tls(&section, references.folder),
        });
        section.finish();
    }
    amqp_sources
}

/// Reads the KServe listeners; appends the fronts' weights to `weights`.
pub(crate) fn kserve_listeners(
    root: &Section,
    references: &References,
    weights: &mut Vec<f64>,
) -> Vec<ListenerSettings> {
    let mut listeners: Vec<ListenerSettings> = Vec::new();
    for section in root.sections("kserve") {
        weights.push(front_weight(&section, references));
        let protocol = match section.string("protocol", Some("rest")).as_str() {
            "rest" => Protocol::Rest,
            "grpc" => Protocol::Grpc,
            _ => {
                section.error("protocol", "is none of rest, grpc");
                Protocol::Rest
            }
        };
        let listener = ListenerSettings {
            name: section.string("name", Some("kserve")),
            address: section.loopback_address("listen"),
            protocol,
            tls: server_tls_files(&section, references.folder, protocol),
            max_streams: section.integer("most_streams", 1..10_000, Some(100)) as u32,
            max_connections: section.integer("most_connections", 1..1_000_000, Some(10_000))
                as usize,
        };
        if listeners
            .iter()
            .any(|other| other.address == listener.address && other.address.port() != 0)
        {
            section.error("listen", "is given twice");
        }
        listeners.push(listener);
        section.finish();
    }
    listeners
}

fn wall_time() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as Micros)
}

fn report_certificate(section: &Section, rejected: &certificates::RejectedFile, clients: &str) {
    let key = match rejected.role {
        FileRole::Certificate => "certificate",
        FileRole::Key => "key",
        FileRole::Clients => clients,
    };
    section.error(key, &rejected.cause);
}

fn server_tls_files(section: &Section, folder: &Path, protocol: Protocol) -> Option<TlsFiles> {
    let (certificate, key) = (
        path_of(section, "certificate", folder),
        path_of(section, "key", folder),
    );
    let clients = path_of(section, "clients", folder);
    let (certificate, key) = match (certificate, key) {
        (Some(certificate), Some(key)) => (certificate, key),
        (None, None) if clients.is_none() => return None,
        _ => {
            section.error(
                "certificate",
                "certificate and key have to be set together, and clients requires both",
            );
            return None;
        }
    };
    let alpn: &[u8] = if protocol == Protocol::Grpc {
        b"h2"
    } else {
        b"http/1.1"
    };
    let files = TlsFiles {
        certificate,
        key,
        clients,
        alpn,
    };
    if let Err(rejected) = ServerTls::open(files.clone(), wall_time()) {
        report_certificate(section, &rejected, "clients");
    }
    Some(files)
}

fn client_tls(section: &Section, folder: &Path) -> Option<ClientTls> {
    let roots = path_of(section, "authorities", folder);
    let (certificate, key) = (
        path_of(section, "certificate", folder),
        path_of(section, "key", folder),
    );
    let name = section.string("server_name", Some("localhost"));
    let Some(roots) = roots else {
        if certificate.is_some() || key.is_some() || section.has("server_name") {
            section.error(
                "authorities",
                "is missing; TLS requires the authorities that issued the broker's certificate",
            );
        }
        return None;
    };
    if certificate.is_some() != key.is_some() {
        section.error("certificate", "certificate and key have to be set together");
        return None;
    }
    let own = certificate.as_deref().zip(key.as_deref());
    match tls::client_tls(&roots, own, &name, wall_time()) {
        Ok(config) => Some(config),
        Err(rejected) => {
            report_certificate(section, &rejected, "authorities");
            None
        }
    }
}

/// Reads a front's weight: given directly, or as the share of an account.
fn front_weight(section: &Section, references: &References) -> f64 {
    match section.string("share_of", Some("")).as_str() {
        "" => section.number("weight", 1e-3..1e3, Some(1.0)),
        name => match references
            .names
            .accounts
            .iter()
            .position(|account| account == name)
        {
            Some(index) => references.accounts[index].share.max(1e-3),
            None => {
                section.error("share_of", &format!("there is no account '{name}'"));
                1.0
            }
        },
    }
}
