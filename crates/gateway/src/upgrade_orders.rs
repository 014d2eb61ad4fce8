//! Reads the operator's orders for upgrades from a TOML file next to the configuration file.

use std::path::Path;

use cedarpulley_errors::Remedy;
use cedarpulley_upgrade::Order;
use cedarpulley_upgrade::orders::{MAX_DRAIN_MS, MAX_ORDERS, OrderLine};

use crate::config_reader::{ConfigDocument, ConfigErrors, Section};

/// Upper limit of an order's serial.
const MAX_SERIAL: u64 = 1 << 53;

/// Reads the operator's orders. On any error all orders are rejected, with one line for each cause.
pub fn read(file: &Path) -> Result<Vec<Order>, ConfigErrors> {
    let name = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|e| ConfigErrors(vec![format!("{name}: {e}")]))?;
    let (document, table) = ConfigDocument::parse(&name, &text)?;
    let root = Section::root(&document, &table);
    let mut orders: Vec<Order> = Vec::new();
    for section in root.sections("order") {
        match Order::try_from(parse_order(&section)) {
            Ok(order)
                if orders
                    .iter()
                    .any(|o| o.model == order.model && o.serial == order.serial) =>
            {
                section.error("serial", "is given to two orders for one model");
            }
            Ok(order) => orders.push(order),
            Err(error) => section.error("model", &format!("{error}; {}", error.remedy())),
        }
        section.finish();
    }
    if orders.len() > MAX_ORDERS {
        root.error("order", &format!("there are more than {MAX_ORDERS}"));
    }
    root.finish();
    document.finish(orders)
}

/// Parses one order; absent keys have their defaults.
fn parse_order(section: &Section) -> OrderLine {
    OrderLine {
        model: section.string("model", None),
        from: section.string("from", Some("")),
        to: section.string("to", None),
        serial: section.integer("serial", 0..MAX_SERIAL, None),
        canary: section.integer("canary", 0..1_000, Some(1)) as u32,
        canary_part: section.number("canary_part", 0.0..1.0, Some(0.05)),
        floor: section.number("floor", 0.0..1.0, Some(0.8)),
        drain_limit_ms: section.integer("drain_limit_ms", 0..MAX_DRAIN_MS, None),
        copy_mb: section.integer("copy_mb", 0..1 << 30, Some(0)) as u32,
        withdrawn: section.boolean("withdrawn", Some(false)),
    }
}
