//! Reads the settings of the endpoint list: the section `[workers]`.

use std::net::SocketAddr;

use cedarpulley::interface::EndpointState;
use cedarpulley_router::endpoint_list::ListedWorker;
use cedarpulley_startup::Names;

use crate::config_reader::Section;
use crate::config_values::{MAX_NUMBER, zone_index};

/// Where the workers are listed.
#[derive(Clone, Debug)]
pub enum EndpointListSource {
    /// A list in the settings; it never changes.
    Fixed(Vec<ListedWorker>),
    /// The address of a server that publishes endpoint slices; its list is watched.
    Watched(SocketAddr),
}

/// Reads `[workers]`: the address of a server to watch, or the list itself.
pub(crate) fn workers(section: &Section, names: &Names) -> EndpointListSource {
    let workers = match (section.has("watch"), section.has("list")) {
        (true, false) => EndpointListSource::Watched(section.loopback_address("watch")),
        (false, true) => EndpointListSource::Fixed(fixed_workers(section, names)),
        _ => {
            section.error("watch", "set either watch or list, and not both");
            EndpointListSource::Fixed(Vec::new())
        }
    };
    section.check_unknown_keys();
    workers
}

/// Reads the list of workers; a repeated address is an error.
fn fixed_workers(section: &Section, names: &Names) -> Vec<ListedWorker> {
    let mut listed: Vec<ListedWorker> = Vec::new();
    for entry in section.sections("list") {
        let address = entry.loopback_address("address").to_string();
        if listed.iter().any(|other| other.address == address) {
            entry.error("address", &format!("{address} is named twice"));
        }
        let machine_kind = entry.string("kind", Some(""));
        let machine_kind = match names
            .machine_kinds
            .iter()
            .position(|name| *name == machine_kind)
        {
            Some(index) => index as u32,
            None if machine_kind.is_empty() => 0,
            None => {
                entry.error("kind", &format!("there is no kind '{machine_kind}'"));
                0
            }
        };
        listed.push(ListedWorker {
            address,
            zone: zone_index(&entry, "zone", &names.zones),
            machine_kind,
            cell: entry.integer("cell", 0..1 << 30, Some(0)) as u32,
            state: EndpointState::InService,
            weight: entry.number("weight", 0.0..MAX_NUMBER, Some(1.0)),
            started_at: None,
        });
        entry.finish();
    }
    listed
}
