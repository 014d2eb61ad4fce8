//! [`Names`]: the names of trigger types, accounts, zones and machine kinds, and their indices.

/// Names used in protocols and settings. The position of a name in its list is the index that the balancer uses.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the trigger types.
    pub triggers: Vec<String>,
    /// Names of the accounts. If the list is empty, there is one account, which has no name.
    pub accounts: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machines.
    pub machine_kinds: Vec<String>,
}

impl Names {
    /// The index of a trigger type; `None` if no trigger type has this name.
    pub fn trigger_index(&self, name: &str) -> Option<u32> {
        index_of(&self.triggers, name)
    }

    /// The index of an account; `None` if no account has this name. Without a name, or if no accounts are listed, it is
    /// that of the first account.
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
