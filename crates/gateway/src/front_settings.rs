//! The settings of the fronts: AMQP queues, KServe listeners, and their certificates.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use cedarpulley::interface::{Account, Micros};
use cedarpulley_certificates::{self as certificates, FileRole};
use cedarpulley_startup::Names;

use crate::amqp_front::AmqpSource;
use crate::client_listener::{ListenerSettings, Protocol};
use crate::config_reader::Section;
use crate::settings::path_of;
use crate::tls::{self, ClientTls, ServerTls, TlsFiles};

/// What front settings refer to.
pub(crate) struct References<'a> {
    pub(crate) folder: &'a Path,
    pub(crate) names: &'a Names,
    pub(crate) accounts: &'a [Account],
}

/// Reads the queues to consume from; their weights are appended to `weights`.
pub(crate) fn amqp_sources(
    root: &Section,
    to: &References,
    weights: &mut Vec<f64>,
) -> Vec<AmqpSource> {
    let mut amqp_sources = Vec::new();
    for s in root.sections("amqp") {
        weights.push(front_weight(&s, to));
        amqp_sources.push(AmqpSource {
            name: s.string("name", Some("amqp")),
            broker: s.loopback_address("broker"),
            virtual_host: s.string("virtual_host", Some("/")),
            user: s.string("user", Some("guest")),
            password: s.string("password", Some("guest")),
            queue: s.string("queue", None),
            heartbeat_s: s.integer("heartbeat_s", 0..65_535, Some(10)) as u16,
            tls: client_tls(&s, to.folder),
        });
        s.finish();
    }
    amqp_sources
}

/// Reads the KServe listeners; their weights are appended to `weights`.
pub(crate) fn kserve_listeners(
    root: &Section,
    to: &References,
    weights: &mut Vec<f64>,
) -> Vec<ListenerSettings> {
    let mut listeners: Vec<ListenerSettings> = Vec::new();
    for s in root.sections("kserve") {
        weights.push(front_weight(&s, to));
        let protocol = match s.string("protocol", Some("rest")).as_str() {
            "rest" => Protocol::Rest,
            "grpc" => Protocol::Grpc,
            _ => {
                s.error("protocol", "is none of rest, grpc");
                Protocol::Rest
            }
        };
        let listen = ListenerSettings {
            name: s.string("name", Some("kserve")),
            address: s.loopback_address("listen"),
            protocol,
            tls: server_tls_files(&s, to.folder, protocol),
            max_streams: s.integer("most_streams", 1..10_000, Some(100)) as u32,
            max_connections: s.integer("most_connections", 1..1_000_000, Some(10_000)) as usize,
        };
        if listeners
            .iter()
            .any(|l| l.address == listen.address && l.address.port() != 0)
        {
            s.error("listen", "is given twice");
        }
        listeners.push(listen);
        s.finish();
    }
    listeners
}

fn wall_time() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as Micros)
}

fn report_certificate(s: &Section, why: &certificates::RejectedFile, clients: &str) {
    let key = match why.role {
        FileRole::Certificate => "certificate",
        FileRole::Key => "key",
        FileRole::Clients => clients,
    };
    s.error(key, &why.cause);
}

fn server_tls_files(s: &Section, folder: &Path, protocol: Protocol) -> Option<TlsFiles> {
    let (certificate, key) = (path_of(s, "certificate", folder), path_of(s, "key", folder));
    let clients = path_of(s, "clients", folder);
    let (certificate, key) = match (certificate, key) {
        (Some(certificate), Some(key)) => (certificate, key),
        (None, None) if clients.is_none() => return None,
        _ => {
            s.error(
                "certificate",
                "certificate and key belong together, and clients need both",
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
    if let Err(why) = ServerTls::open(files.clone(), wall_time()) {
        report_certificate(s, &why, "clients");
    }
    Some(files)
}

fn client_tls(s: &Section, folder: &Path) -> Option<ClientTls> {
    let roots = path_of(s, "authorities", folder);
    let (certificate, key) = (path_of(s, "certificate", folder), path_of(s, "key", folder));
    let name = s.string("server_name", Some("localhost"));
    let Some(roots) = roots else {
        if certificate.is_some() || key.is_some() || s.has("server_name") {
            s.error(
                "authorities",
                "TLS needs the authorities that the broker's certificate is from",
            );
        }
        return None;
    };
    if certificate.is_some() != key.is_some() {
        s.error("certificate", "certificate and key belong together");
        return None;
    }
    let own = certificate.as_deref().zip(key.as_deref());
    match tls::client_tls(&roots, own, &name, wall_time()) {
        Ok(config) => Some(config),
        Err(why) => {
            report_certificate(s, &why, "authorities");
            None
        }
    }
}

/// A front's weight: its own, or an account's share.
fn front_weight(s: &Section, to: &References) -> f64 {
    match s.string("share_of", Some("")).as_str() {
        "" => s.number("weight", 1e-3..1e3, Some(1.0)),
        name => match to.names.accounts.iter().position(|n| n == name) {
            Some(i) => to.accounts[i].share.max(1e-3),
            None => {
                s.error("share_of", &format!("there is no account '{name}'"));
                1.0
            }
        },
    }
}
