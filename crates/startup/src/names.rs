//! Names of trigger types, accounts, zones and machine kinds, and their indices.

/// Names used in protocols and settings. A name's place in its list is the index that the policy module uses.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Of trigger types.
    pub triggers: Vec<String>,
    /// Of accounts; if empty, there is one account without a name.
    pub accounts: Vec<String>,
    /// Of zones.
    pub zones: Vec<String>,
    /// Of machine kinds.
    pub machine_kinds: Vec<String>,
}

impl Names {
    /// The index of a trigger type; none if there is none of this name.
    pub fn trigger_index(&self, name: &str) -> Option<u32> {
        index_of(&self.triggers, name)
    }

    /// The index of an account: the first one without a name or where no accounts are named; none if there is none of
    /// this name.
    pub fn account_index(&self, name: Option<&str>) -> Option<u32> {
        match name {
            None => Some(0),
            Some(_) if self.accounts.is_empty() => Some(0),
            Some(name) => index_of(&self.accounts, name),
        }
    }
}

fn index_of(names: &[String], name: &str) -> Option<u32> {
    names
        .iter()
        .position(|listed| listed == name)
        .map(|index| index as u32)
}
