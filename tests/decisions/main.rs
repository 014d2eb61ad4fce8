//! Tests of the decision module, which run without the benchmark.

mod attempts;
mod connection_shortage;
mod deduplication;
mod helpers;
mod load_orders;
mod load_shedding;
mod memory;
mod outlier_detection;
mod readiness;
mod routing;
mod rules;
mod script;
mod slow_start;
mod sources;
