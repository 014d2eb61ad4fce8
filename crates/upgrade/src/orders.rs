//! What an operator wants: an [`Asked`] is a line of the file as it is written, an [`Order`] is one that can be carried
//! out. Called with [`Order::try_from`].

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use serde::{Deserialize, Serialize};

use crate::Name;

/// A plan keeps one line for each; an operator has a few dozen models under way at most.
pub const MOST_ORDERS: usize = 256;
/// Names stand in records that all members keep.
pub const MOST_NAME: usize = 200;
/// More than a worker each in any region is no canary any more.
pub const MOST_CANARIES: u32 = 64;
/// A day: sessions that last longer are not waited for.
pub const MOST_DRAIN_MS: u64 = 86_400_000;
const MS: Micros = 1_000;

/// One order as the file has it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Asked {
    pub model: String,
    /// Empty: the copies without a version.
    #[serde(default)]
    pub from: String,
    pub to: String,
    /// Grows with each order for the model: what was carried out once is not begun again.
    pub serial: u64,
    #[serde(default = "one")]
    pub canary: u32,
    /// Of what begins in the first region, while there are canaries only.
    #[serde(default = "some")]
    pub canary_part: f64,
    /// Of the warm lanes at the beginning, in each region, at every moment.
    #[serde(default = "most")]
    pub floor: f64,
    pub drain_limit_ms: u64,
    /// Memory of a copy of the new version; 0: as the old one's.
    #[serde(default)]
    pub copy_mb: u32,
    /// Taken back: what has been done of it is undone.
    #[serde(default)]
    pub withdrawn: bool,
}

fn one() -> u32 {
    1
}

fn some() -> f64 {
    0.05
}

fn most() -> f64 {
    0.8
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub model: Name,
    pub from: Name,
    pub to: Name,
    pub serial: u64,
    pub canary: u32,
    /// In thousandths.
    pub canary_part: u16,
    /// In thousandths.
    pub floor: u16,
    pub drain_limit: Micros,
    pub copy_mb: u32,
    pub withdrawn: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    #[error("order {0}: the model has no name, or one that is too long")]
    Model(u64),
    #[error("order {0}: a version is empty, has a slash in it or is too long")]
    Version(u64),
    #[error("order {0}: the new version is the old one")]
    Same(u64),
    #[error("order {0}: its canaries are none or too many")]
    Canary(u64),
    #[error("order {0}: canary_part or floor is not within 0 and 1")]
    Part(u64),
    #[error("order {0}: the drain limit is longer than a day")]
    Drain(u64),
    #[error("there are more orders than {MOST_ORDERS}")]
    Many,
    #[error("two orders for model '{0}' have the serial {1}")]
    Twice(String, u64),
}

impl Remedy for Unfit {
    fn remedy(&self) -> &'static str {
        match self {
            Unfit::Model(_) => "name the model as its callers do, in at most 200 bytes",
            Unfit::Version(_) => {
                "name the version as it stands behind /versions/; only `from` may be empty"
            }
            Unfit::Same(_) => "set `to` to the version that is to come",
            Unfit::Canary(_) => "set `canary` from 1 to 64",
            Unfit::Part(_) => "set `canary_part` and `floor` between 0 and 1",
            Unfit::Drain(_) => "set `drain_limit_ms` to at most 86400000",
            Unfit::Many => "take orders that are carried out from the file",
            Unfit::Twice(..) => "give the later order the higher serial",
        }
    }
}

fn named(name: &str) -> bool {
    !name.is_empty() && name.len() <= MOST_NAME && !name.contains('\n')
}

fn thousandths(part: f64) -> Option<u16> {
    (0.0..=1.0)
        .contains(&part)
        .then(|| (part * 1000.0).round() as u16)
}

impl TryFrom<Asked> for Order {
    type Error = Unfit;

    fn try_from(a: Asked) -> Result<Order, Unfit> {
        let version = |v: &str| named(v) && !v.contains('/');
        if !named(&a.model) {
            return Err(Unfit::Model(a.serial));
        }
        if !version(&a.to) || !(a.from.is_empty() || version(&a.from)) {
            return Err(Unfit::Version(a.serial));
        }
        if a.from == a.to {
            return Err(Unfit::Same(a.serial));
        }
        if a.canary == 0 || a.canary > MOST_CANARIES {
            return Err(Unfit::Canary(a.serial));
        }
        if a.drain_limit_ms > MOST_DRAIN_MS {
            return Err(Unfit::Drain(a.serial));
        }
        let (Some(canary_part), Some(floor)) = (thousandths(a.canary_part), thousandths(a.floor))
        else {
            return Err(Unfit::Part(a.serial));
        };
        Ok(Order {
            model: a.model.into(),
            from: a.from.into(),
            to: a.to.into(),
            serial: a.serial,
            canary: a.canary,
            canary_part,
            floor,
            drain_limit: a.drain_limit_ms as Micros * MS,
            copy_mb: a.copy_mb,
            withdrawn: a.withdrawn,
        })
    }
}

/// All orders of a file, or what is wrong with the first one that is unfit.
pub fn all(asked: Vec<Asked>) -> Result<Vec<Order>, Unfit> {
    if asked.len() > MOST_ORDERS {
        return Err(Unfit::Many);
    }
    let orders: Vec<Order> = asked
        .into_iter()
        .map(Order::try_from)
        .collect::<Result<_, _>>()?;
    for (at, o) in orders.iter().enumerate() {
        if orders[..at]
            .iter()
            .any(|e| e.model == o.model && e.serial == o.serial)
        {
            return Err(Unfit::Twice(o.model.to_string(), o.serial));
        }
    }
    Ok(orders)
}
