//! Writes the settings file of one router of a cluster.

use std::fmt::{self, Write};
use std::net::SocketAddr;

use cedarpulley_invariant_checker::Effect;

use super::queue;
use super::setup::router_address_of;
use crate::scenario::Scenario;

/// Group name in the settings of all routers.
const GROUP_NAME: &str = "fleet";

/// A member of the group, as it is listed in the settings of a router.
pub(super) struct Member {
    pub(super) name: String,
    pub(super) region: String,
    pub(super) address: SocketAddr,
}

/// The inputs for the settings file of one router.
pub(super) struct RouterSettings<'a> {
    pub(super) scenario: &'a Scenario,
    /// The router's number.
    pub(super) number: u32,
    /// Address at which this router reaches the broker.
    pub(super) broker: SocketAddr,
    /// Address at which this router reaches the endpoint list.
    pub(super) list: SocketAddr,
    /// Address that this router listens on for KServe v2.
    pub(super) kserve: SocketAddr,
    /// All routers of the group with the addresses at which this router reaches them; empty without a group.
    pub(super) members: &'a [Member],
    /// Whether the router writes traces and a usage ledger.
    pub(super) trace: bool,
}

/// Name of an effect in the settings of routers.
fn effect_name(effect: Effect) -> &'static str {
    match effect {
        Effect::Idempotent => "idempotent",
        Effect::Tokened => "tokened",
        Effect::NonIdempotent => "non-idempotent",
    }
}

impl RouterSettings<'_> {
    /// Returns the text of the settings file.
    pub(super) fn to_toml(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        self.write_router(&mut text)?;
        self.write_rules(&mut text)?;
        self.write_worker_kinds(&mut text)?;
        self.write_triggers(&mut text)?;
        self.write_accounts_and_fronts(&mut text)?;
        writeln!(text, "[workers]\nwatch = \"{}\"", self.list)?;
        self.write_peers(&mut text)?;
        self.write_optional_tables(&mut text)?;
        Ok(text)
    }

    fn is_witness(&self) -> bool {
        self.scenario.witness && self.number + 1 == self.scenario.routers
    }

    fn write_router(&self, text: &mut String) -> fmt::Result {
        let (scenario, number) = (self.scenario, self.number);
        writeln!(
            text,
            "[router]\nseed = {}\nrouters = {}\nposition = {number}",
            scenario.seed + u64::from(number),
            scenario.routers
        )?;
        writeln!(
            text,
            "zone = {:?}\nzones = {:?}",
            scenario.zones[scenario.zone_of(number) as usize],
            scenario.zones
        )?;
        writeln!(
            text,
            "from = \"{}\"\n{}",
            router_address_of(scenario, number),
            scenario.settings.router
        )?;
        if let Some(offset) = scenario.clock_offsets_ms.get(number as usize) {
            writeln!(text, "[rig]\nclock_offset_ms = {offset}\n")?;
        }
        // The routers of each scenario leave usage ledgers and traces; those of a killed router end at the kill.
        if self.trace {
            writeln!(
                text,
                "[trace]\nfolder = \"../traces\"\n\n[meter]\nfolder = \"../meter\"\n"
            )?;
        }
        Ok(())
    }

    fn write_rules(&self, text: &mut String) -> fmt::Result {
        let settings = &self.scenario.settings;
        for (name, table) in [
            ("rules", &settings.rules),
            ("dispatch", &settings.dispatch),
            ("loads", &settings.loads),
            ("prices", &settings.prices),
        ] {
            writeln!(text, "[{name}]\n{table}")?;
        }
        Ok(())
    }

    fn write_worker_kinds(&self, text: &mut String) -> fmt::Result {
        let mut kinds: Vec<&str> = Vec::new();
        for group in &self.scenario.workers {
            if kinds.contains(&group.kind.as_str()) {
                continue;
            }
            kinds.push(&group.kind);
            writeln!(
                text,
                "[[kind]]\nname = {:?}\nmemory_mb = {:?}\n",
                group.kind, group.memory_mb
            )?;
        }
        Ok(())
    }

    fn write_triggers(&self, text: &mut String) -> fmt::Result {
        for trigger in &self.scenario.triggers {
            writeln!(
                text,
                "[[trigger]]\nname = {:?}\neffect = {:?}",
                trigger.name,
                effect_name(trigger.effect)
            )?;
            if trigger.window_ms > 0 {
                writeln!(text, "window_ms = {}", trigger.window_ms)?;
            }
            if let Some(behaviour) = &trigger.without_majority {
                writeln!(text, "without_majority = {behaviour:?}")?;
            }
            writeln!(
                text,
                "latency_objective_ms = {}",
                trigger.latency_objective_ms
            )?;
            writeln!(text, "client_timeout_ms = {}", trigger.client_timeout_ms)?;
            writeln!(text, "billed_value = {:?}\n", trigger.billed_value)?;
        }
        Ok(())
    }

    fn write_accounts_and_fronts(&self, text: &mut String) -> fmt::Result {
        let (scenario, broker) = (self.scenario, self.broker);
        for account in &scenario.accounts {
            writeln!(
                text,
                "[[account]]\nname = {:?}\nshare = {:?}",
                account.name, account.share
            )?;
            writeln!(text, "allowance_per_s = {:?}\n", account.allowance_per_s)?;
        }
        if self.is_witness() {
            return Ok(());
        }
        for account in &scenario.accounts {
            let name = &account.name;
            writeln!(text, "[[amqp]]\nname = {name:?}\nbroker = \"{broker}\"")?;
            writeln!(text, "queue = {:?}\nshare_of = {name:?}\n", queue(name))?;
        }
        if scenario.kserve_part > 0.0 {
            writeln!(text, "[[kserve]]\nlisten = \"{}\"\n", self.kserve)?;
        }
        Ok(())
    }

    fn write_peers(&self, text: &mut String) -> fmt::Result {
        let Some(own) = self.members.get(self.number as usize) else {
            return Ok(());
        };
        writeln!(
            text,
            "\n[peers]\nlisten = \"{}\"\ngroup = \"{GROUP_NAME}\"",
            own.address
        )?;
        writeln!(
            text,
            "name = {:?}\nstate = \"state-{}\"\n{}",
            own.name, self.number, self.scenario.settings.peers
        )?;
        for (number, member) in self.members.iter().enumerate() {
            let witness = self.scenario.witness && number + 1 == self.members.len();
            writeln!(
                text,
                "\n[[peers.member]]\nname = {:?}\naddress = \"{}\"",
                member.name, member.address
            )?;
            writeln!(
                text,
                "region = {:?}\nweight = 1\nwitness = {witness}",
                member.region
            )?;
        }
        Ok(())
    }

    fn write_optional_tables(&self, text: &mut String) -> fmt::Result {
        let settings = &self.scenario.settings;
        for (name, table) in [
            ("upgrade", &settings.upgrade),
            ("reconcile", &settings.reconcile),
        ] {
            if !table.is_empty() {
                let named = toml::Table::from_iter([(name.to_owned(), table.clone().into())]);
                writeln!(text, "\n{named}")?;
            }
        }
        Ok(())
    }
}
