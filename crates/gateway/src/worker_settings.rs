//! The settings of the worker list: the section `[workers]`.

use std::net::SocketAddr;

use cedarpulley::interface::EndpointState;
use cedarpulley_router::roster::Listed;
use cedarpulley_startup::Names;

use crate::config_reader::Section;
use crate::config_values::{MAX_NUMBER, zone_index};

/// Where the workers are listed.
#[derive(Clone, Debug)]
pub enum WorkerList {
    /// In the settings; the list never changes.
    Fixed(Vec<Listed>),
    /// At a server of endpoint slices, whose watch events are followed.
    Watched(SocketAddr),
}

/// Reads `[workers]`: the address of a server to watch, or the list itself.
pub(crate) fn workers(section: &Section, names: &Names) -> WorkerList {
    let workers = match (section.has("watch"), section.has("list")) {
        (true, false) => WorkerList::Watched(section.loopback_address("watch")),
        (false, true) => WorkerList::Fixed(fixed_workers(section, names)),
        _ => {
            section.error("watch", "give either a list to watch or a list here");
            WorkerList::Fixed(Vec::new())
        }
    };
    section.check_unknown_keys();
    workers
}

/// Reads the list of workers; addresses are unique.
fn fixed_workers(section: &Section, names: &Names) -> Vec<Listed> {
    let mut listed: Vec<Listed> = Vec::new();
    for entry in section.sections("list") {
        let address = entry.loopback_address("address").to_string();
        if listed.iter().any(|other| other.address == address) {
            entry.error("address", &format!("{address} is named twice"));
        }
        let kind = entry.string("kind", Some(""));
        let kind = match names.kinds.iter().position(|name| *name == kind) {
            Some(index) => index as u32,
            None if kind.is_empty() => 0,
            None => {
                entry.error("kind", &format!("there is no kind '{kind}'"));
                0
            }
        };
        listed.push(Listed {
            address,
            zone: zone_index(&entry, "zone", &names.zones),
            kind,
            cell: entry.integer("cell", 0..1 << 30, Some(0)) as u32,
            standing: EndpointState::InService,
            weight: entry.number("weight", 0.0..MAX_NUMBER, Some(1.0)),
            started: None,
        });
        entry.finish();
    }
    listed
}
