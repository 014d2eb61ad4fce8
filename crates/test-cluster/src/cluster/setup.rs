//! Sets up a cluster: emulators, reserved ports, relays, settings files and router processes that are not started yet.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;

use cedarpulley_emulators::broker::Broker;
use cedarpulley_emulators::endpoint_list::{EndpointList, EndpointRecord};
use cedarpulley_emulators::store::{self, Store};
use cedarpulley_emulators::worker::{IdempotencyStore, InvocationProfile, Worker, WorkerProfile};
use cedarpulley_emulators::{Host, router_address};
use cedarpulley_invariant_checker::RuleSettings;

use super::router_settings::{Member, RouterSettings};
use super::{BROKER, Cluster, ClusterOptions, LIST, queue, worker_name};
use crate::links::Links;
use crate::relay::{Relay, RelayConfig, RelayMode, ReservedPort};
use crate::router_process::RouterProcess;
use crate::scenario::{Scenario, WorkerGroup};

/// Number of threads for emulators and relays.
const EMULATOR_THREADS: usize = 3;
/// Kinds of tampering that violate an invariant only if all routers apply them: `push` needs many routers to overload a
/// worker, `undoubting` has no effect while one other router doubts a record, and the votes of `promise` (against an
/// earlier promise) and `unkept` (not persisted) have an effect only if a majority casts them.
const TAMPER_KINDS_FOR_ALL_ROUTERS: [&str; 4] = ["push", "undoubting", "promise", "unkept"];
/// Loopback with a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Source address of a router.
pub(super) fn router_address_of(scenario: &Scenario, number: u32) -> IpAddr {
    router_address(scenario.zone_of(number), number)
}

/// Removes the files of an earlier run and creates the folder of the routers.
fn prepare_folder(folder: &Path) -> io::Result<()> {
    for old in ["traffic", "routers", "traces", "meter"] {
        if folder.join(old).exists() {
            std::fs::remove_dir_all(folder.join(old))?;
        }
    }
    std::fs::create_dir_all(folder.join("routers"))
}

/// Starts the emulators and prepares the routers' processes.
pub(super) fn set_up(
    scenario: &Scenario,
    rules: &RuleSettings,
    options: ClusterOptions,
) -> io::Result<Cluster> {
    let folder = &options.folder;
    prepare_folder(folder)?;
    std::fs::write(
        folder.join("terms.json"),
        serde_json::to_string_pretty(rules)?,
    )?;
    let emulators = Emulators::start(scenario, rules, folder)?;
    let log = emulators.host.log("day")?;
    let links = Links::new(Some(log.clone()));
    let ports = RouterPorts::reserve(scenario)?;
    let mut relays = RelaySet {
        scenario,
        host: &emulators.host,
        links: &links,
        relays: Vec::new(),
        worker_addresses: HashMap::new(),
    };
    let mut routers = Vec::new();
    for number in 0..ports.addresses.len() {
        let process = prepare_router(scenario, &options, number, &ports, &emulators, &mut relays)?;
        routers.push(Mutex::new(process));
    }
    let RelaySet {
        relays,
        worker_addresses,
        ..
    } = relays;
    if !scenario.regions.is_empty() {
        emulators.list.set_addresses_seen(move |router, worker| {
            worker_addresses
                .get(&(router, worker))
                .copied()
                .unwrap_or(worker)
        });
    }
    let consuming_routers = scenario.routers as usize - usize::from(scenario.witness);
    Ok(Cluster {
        host: emulators.host,
        broker: emulators.broker,
        store: emulators.store,
        list: emulators.list,
        workers: emulators.workers,
        rows: Mutex::new(emulators.rows),
        links,
        log,
        routers,
        addresses: ports.addresses,
        regions: ports.regions,
        zone_regions: zone_regions(scenario),
        kserve_ports: ports.kserve,
        peer_ports: ports.peers,
        _relays: relays,
        folder: options.folder,
        expected_consumers: consuming_routers * scenario.accounts.len(),
    })
}

/// Regions of the zones, by name.
fn zone_regions(scenario: &Scenario) -> HashMap<String, String> {
    scenario
        .zones
        .iter()
        .map(|zone| (zone.clone(), scenario.region_of(zone).to_owned()))
        .collect()
}

/// The emulators of a cluster.
struct Emulators {
    host: Host,
    broker: Broker,
    store: Store,
    list: EndpointList,
    workers: Vec<Worker>,
    rows: Vec<EndpointRecord>,
}

impl Emulators {
    fn start(scenario: &Scenario, rules: &RuleSettings, folder: &Path) -> io::Result<Self> {
        let host = Host::new(EMULATOR_THREADS, Some(&folder.join("traffic")))?;
        let broker = Broker::start(&host, BROKER, ANY_PORT)?;
        for account in &scenario.accounts {
            broker.declare(&queue(&account.name));
        }
        let profile = store::StoreProfile {
            mb_per_s: scenario.store.mb_per_s,
            full_rate_fetches: scenario.store.abreast,
            max_fetches: scenario.store.most,
        };
        let store = Store::start(&host, "store", ANY_PORT, profile)?;
        let list = EndpointList::start(&host, LIST, ANY_PORT)?;
        let programs = programs(scenario);
        let (idempotency, mut workers, mut rows) =
            (IdempotencyStore::default(), Vec::new(), Vec::new());
        let groups = scenario.workers.iter();
        for group in groups.flat_map(|group| (0..group.count).map(move |_| group)) {
            let worker = Worker::start(
                &host,
                &worker_name(workers.len()),
                ANY_PORT,
                scenario.seed,
                worker_profile(scenario, rules, group),
                store.server.address,
                programs.clone(),
                idempotency.clone(),
            )?;
            rows.push(EndpointRecord {
                address: worker.address,
                zone: group.zone.clone(),
                kind: group.kind.clone(),
                cell: 0,
                draining: false,
                start: 1,
                started_us: 0,
            });
            workers.push(worker);
        }
        for (number, row) in rows.iter().enumerate() {
            list.publish(&worker_name(number), row.clone());
        }
        Ok(Emulators {
            host,
            broker,
            store,
            list,
            workers,
            rows,
        })
    }
}

/// The invocation profiles by name of the trigger type.
fn programs(scenario: &Scenario) -> HashMap<String, InvocationProfile> {
    let program = |t: &crate::scenario::TriggerType| InvocationProfile {
        mean_work: Duration::from_secs_f64(t.work_ms / 1e3),
        copy_mb: t.copy_mb,
        start_up_time: Duration::from_millis(t.start_up_ms),
        lanes: t.lanes as usize,
        idempotency_window: (t.window_ms > 0).then(|| Duration::from_millis(t.window_ms)),
        prefix_rebuild_work: Duration::from_millis(t.prefix_ms),
    };
    scenario
        .triggers
        .iter()
        .map(|trigger| (trigger.name.clone(), program(trigger)))
        .collect()
}

fn worker_profile(scenario: &Scenario, rules: &RuleSettings, group: &WorkerGroup) -> WorkerProfile {
    let duration = |us: i64| Duration::from_micros(us.max(0) as u64);
    let loads_when_absent = scenario
        .settings
        .loads
        .get("loads_when_absent")
        .and_then(toml::Value::as_bool)
        .unwrap_or(true);
    WorkerProfile {
        cores: group.cores,
        memory_mb: group.memory_mb,
        max_waiting: scenario.worker_limits.most_waiting,
        max_loads: scenario.worker_limits.most_loads,
        loads_when_absent,
        slow_start_share: rules.slow_start_share,
        slow_start: duration(rules.slow_start_us),
        overload_multiple: rules.overload_multiple,
        overload_window: duration(rules.overload_window_us),
    }
}

/// Addresses and ports of the routers, by number.
struct RouterPorts {
    addresses: Vec<IpAddr>,
    regions: Vec<String>,
    kserve: Vec<ReservedPort>,
    /// Empty if the routers form no group.
    peers: Vec<ReservedPort>,
}

impl RouterPorts {
    fn reserve(scenario: &Scenario) -> io::Result<Self> {
        let addresses: Vec<IpAddr> = (0..scenario.routers)
            .map(|number| router_address_of(scenario, number))
            .collect();
        let reserve = || {
            addresses
                .iter()
                .map(|ip| ReservedPort::at(*ip))
                .collect::<io::Result<Vec<_>>>()
        };
        let kserve = reserve()?;
        let peers = if scenario.peers {
            reserve()?
        } else {
            Vec::new()
        };
        let region =
            |number: u32| scenario.region_of(&scenario.zones[scenario.zone_of(number) as usize]);
        let regions = (0..scenario.routers)
            .map(|number| region(number).to_owned())
            .collect();
        Ok(RouterPorts {
            addresses,
            regions,
            kserve,
            peers,
        })
    }
}

/// The relays on the links of all routers; empty if the scenario has no regions.
struct RelaySet<'a> {
    scenario: &'a Scenario,
    host: &'a Host,
    links: &'a Links,
    relays: Vec<Relay>,
    /// The address at which a router reaches a worker, by the addresses of both.
    worker_addresses: HashMap<(IpAddr, SocketAddr), SocketAddr>,
}

impl RelaySet<'_> {
    /// Returns the address at which the near side reaches `to`: that of a new relay or, without regions, `to` itself.
    fn add(
        &mut self,
        near: IpAddr,
        far: &str,
        to: SocketAddr,
        mode: RelayMode,
    ) -> io::Result<SocketAddr> {
        if self.scenario.regions.is_empty() {
            return Ok(to);
        }
        let config = RelayConfig {
            mode,
            near: &near.to_string(),
            far,
            from: Some(near),
            to,
            seed: self.scenario.seed ^ (self.relays.len() as u64 + 1) << 32,
        };
        let relay = Relay::start(self.host, self.links, config)?;
        let address = relay.address;
        self.relays.push(relay);
        Ok(address)
    }
}

/// Writes the settings of a router and starts a relay on each of its links.
fn prepare_router(
    scenario: &Scenario,
    options: &ClusterOptions,
    number: usize,
    ports: &RouterPorts,
    emulators: &Emulators,
    relays: &mut RelaySet,
) -> io::Result<RouterProcess> {
    let own = ports.addresses[number];
    let broker = relays.add(own, BROKER, emulators.broker.address, RelayMode::Bytes)?;
    let list_address = emulators.list.server.address;
    let list = relays.add(own, LIST, list_address, RelayMode::Bytes)?;
    for (n, worker) in emulators.workers.iter().enumerate() {
        let address = relays.add(own, &worker_name(n), worker.address, RelayMode::Bytes)?;
        relays
            .worker_addresses
            .insert((own, worker.address), address);
    }
    let mut members = Vec::new();
    for (n, peer) in ports.peers.iter().enumerate() {
        let address = if n == number {
            peer.address
        } else {
            let far = ports.addresses[n].to_string();
            relays.add(own, &far, peer.address, RelayMode::Messages)?
        };
        members.push(Member {
            name: format!("r{n}"),
            region: ports.regions[n].clone(),
            address,
        });
    }
    let settings = RouterSettings {
        scenario,
        number: number as u32,
        broker,
        list,
        kserve: ports.kserve[number].address,
        members: &members,
        trace: options.trace,
    };
    let folder = options.folder.join("routers");
    let file = folder.join(format!("router-{number}.toml"));
    std::fs::write(&file, settings.to_toml().map_err(io::Error::other)?)?;
    let state = folder.join(format!("state-{number}"));
    let args = router_args(scenario, options, number);
    Ok(RouterProcess::new(&options.program, &file, &state, &args))
}

fn router_args(scenario: &Scenario, options: &ClusterOptions, number: usize) -> Vec<String> {
    let mut args = vec!["--log".to_owned(), "json".to_owned()];
    // Only the first router tampers, except for kinds that violate an invariant only if all routers apply them.
    if let Some(kind) = options
        .tamper
        .as_ref()
        .filter(|kind| number == 0 || TAMPER_KINDS_FOR_ALL_ROUTERS.contains(&kind.as_str()))
    {
        args.extend(["--tamper".to_owned(), kind.clone()]);
    }
    if number < scenario.clock_offsets_ms.len() {
        args.push("--rig".to_owned());
    }
    args
}
