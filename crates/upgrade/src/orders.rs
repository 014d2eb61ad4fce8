//! The operator's orders. An [`OrderLine`] is an order as written in the file; an [`Order`] has passed the checks of
//! [`Order::try_from`] and can be carried out.

use cedarpulley::interface::Micros;
use cedarpulley_errors::Remedy;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Maximum number of orders in a file: an operator upgrades a few dozen models at a time at most.
pub const MAX_ORDERS: usize = 256;
/// Longest name, in bytes: names are part of records that all members store.
pub const MAX_NAME_BYTES: usize = 200;
/// Maximum number of canaries: in any region, more would be over one per worker, and then they are no longer canaries.
pub const MAX_CANARIES: u32 = 64;
/// Longest drain limit, in milliseconds: one day. A plan does not wait for sessions that last longer.
pub const MAX_DRAIN_MS: u64 = 86_400_000;
const MICROS_PER_MS: Micros = 1_000;

/// One order as the file has it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderLine {
    /// The model.
    pub model: String,
    /// The old version. Empty: the copies without a version.
    #[serde(default)]
    pub from: String,
    /// The new version.
    pub to: String,
    /// Increases with each order for the model, so that no order is carried out twice.
    pub serial: u64,
    /// Number of copies of the new version that are compared with the old version.
    #[serde(default = "default_canary")]
    pub canary: u32,
    /// Share of new work in the first region for the canaries, from 0 to 1.
    #[serde(default = "default_canary_part")]
    pub canary_part: f64,
    /// Share of the lanes warm at the beginning that stays available in each region at all times, from 0 to 1.
    #[serde(default = "default_floor")]
    pub floor: f64,
    /// How long the plan waits for sessions of the outgoing version, in milliseconds.
    pub drain_limit_ms: u64,
    /// Memory of a copy of the new version, in MB; 0: as much as a copy of the old version.
    #[serde(default)]
    pub copy_mb: u32,
    /// Whether the order was withdrawn: what was done for it is rolled back.
    #[serde(default)]
    pub withdrawn: bool,
}

fn default_canary() -> u32 {
    1
}

fn default_canary_part() -> f64 {
    0.05
}

fn default_floor() -> f64 {
    0.8
}

/// One order that has passed the checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The model.
    pub model: Name,
    /// The old version; empty: the copies without a version.
    pub from: Name,
    /// The new version.
    pub to: Name,
    /// Increases with each order for the model.
    pub serial: u64,
    /// Number of copies of the new version that are compared with the old version.
    pub canary: u32,
    /// Share of new work in the first region for the canaries, in thousandths.
    pub canary_part: u16,
    /// Share of the lanes warm at the beginning that stays available, in thousandths.
    pub floor: u16,
    /// How long the plan waits for sessions of the outgoing version, in microseconds.
    pub drain_limit: Micros,
    /// Memory of a copy of the new version, in MB; 0: as much as a copy of the old version.
    pub copy_mb: u32,
    /// Whether the order was withdrawn: what was done for it is rolled back.
    pub withdrawn: bool,
}

/// Why an order is rejected. Errors of a single order have its serial.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The model's name is empty, too long or contains a newline.
    #[error("order {0}: the model has no name, or one that is too long")]
    ModelName(u64),
    /// A version's name is empty, too long or contains a slash or a newline.
    #[error("order {0}: a version is empty, contains a slash or is too long")]
    VersionName(u64),
    /// The old and the new version are the same.
    #[error("order {0}: the new version equals the old one")]
    SameVersion(u64),
    /// The number of canaries is 0 or above [`MAX_CANARIES`].
    #[error("order {0}: the number of canaries is 0 or too large")]
    CanaryCount(u64),
    /// A share is not from 0 to 1.
    #[error("order {0}: canary_part or floor is not between 0 and 1")]
    Share(u64),
    /// The drain limit is above [`MAX_DRAIN_MS`].
    #[error("order {0}: the drain limit is longer than a day")]
    DrainLimit(u64),
    /// The file has more than [`MAX_ORDERS`] orders.
    #[error("there are more orders than {MAX_ORDERS}")]
    TooManyOrders,
    /// Two orders for this model have this serial.
    #[error("two orders for model '{0}' have the serial {1}")]
    DuplicateSerial(String, u64),
}

impl Remedy for OrderError {
    fn remedy(&self) -> &'static str {
        match self {
            OrderError::ModelName(_) => {
                "use the name by which clients call the model, in at most 200 bytes"
            }
            OrderError::VersionName(_) => {
                "name the version as in the path after /versions/; only `from` may be empty"
            }
            OrderError::SameVersion(_) => "set `to` to the new version",
            OrderError::CanaryCount(_) => "set `canary` from 1 to 64",
            OrderError::Share(_) => "set `canary_part` and `floor` between 0 and 1",
            OrderError::DrainLimit(_) => "set `drain_limit_ms` to at most 86400000",
            OrderError::TooManyOrders => "remove orders that were carried out from the file",
            OrderError::DuplicateSerial(..) => "give the later order the higher serial",
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains('\n')
}

fn is_valid_version(version: &str) -> bool {
    is_valid_name(version) && !version.contains('/')
}

fn thousandths(share: f64) -> Option<u16> {
    (0.0..=1.0)
        .contains(&share)
        .then(|| (share * 1000.0).round() as u16)
}

impl TryFrom<OrderLine> for Order {
    type Error = OrderError;

    fn try_from(line: OrderLine) -> Result<Order, OrderError> {
        if !is_valid_name(&line.model) {
            return Err(OrderError::ModelName(line.serial));
        }
        if !is_valid_version(&line.to) || !(line.from.is_empty() || is_valid_version(&line.from)) {
            return Err(OrderError::VersionName(line.serial));
        }
        if line.from == line.to {
            return Err(OrderError::SameVersion(line.serial));
        }
        if line.canary == 0 || line.canary > MAX_CANARIES {
            return Err(OrderError::CanaryCount(line.serial));
        }
        if line.drain_limit_ms > MAX_DRAIN_MS {
            return Err(OrderError::DrainLimit(line.serial));
        }
        let (Some(canary_part), Some(floor)) =
            (thousandths(line.canary_part), thousandths(line.floor))
        else {
            return Err(OrderError::Share(line.serial));
        };
        Ok(Order {
            model: line.model.into(),
            from: line.from.into(),
            to: line.to.into(),
            serial: line.serial,
            canary: line.canary,
            canary_part,
            floor,
            drain_limit: line.drain_limit_ms as Micros * MICROS_PER_MS,
            copy_mb: line.copy_mb,
            withdrawn: line.withdrawn,
        })
    }
}

/// The orders of a file, or the error of the first order that is rejected.
pub fn parse_orders(lines: Vec<OrderLine>) -> Result<Vec<Order>, OrderError> {
    if lines.len() > MAX_ORDERS {
        return Err(OrderError::TooManyOrders);
    }
    let orders: Vec<Order> = lines
        .into_iter()
        .map(Order::try_from)
        .collect::<Result<_, _>>()?;
    for (index, order) in orders.iter().enumerate() {
        let is_same = |other: &Order| other.model == order.model && other.serial == order.serial;
        if orders[..index].iter().any(is_same) {
            return Err(OrderError::DuplicateSerial(
                order.model.to_string(),
                order.serial,
            ));
        }
    }
    Ok(orders)
}
