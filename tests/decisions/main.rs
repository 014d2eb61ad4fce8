//! Tests of the decision module; none needs the bench.

mod cases;
mod rules;
mod script;
mod slow_start;
mod sources;
