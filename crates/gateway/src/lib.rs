//! One router as a process: sockets, timers, signals and configuration around the router core in
//! `cedarpulley-router`. This package makes no routing decisions: it passes every event to the core and executes
//! the core's outputs in order.
//!
//! Start reading at [`serve`], with `resources` (the files, sockets and state a router needs), `wiring` (builds and
//! connects the components), `gateway` (the running router), `outputs` and `shutdown`; only these modules depend on all
//! components. [`settings`] reads the configuration. The components are: [`context`] (shared by all others),
//! [`amqp_front`] with `amqp_messages` (AMQP), [`client_listener`] with [`rest`], [`grpc`], [`request_parsing`],
//! [`request_handling`], [`answer_body`] and [`client_connection`] (KServe v2), [`pool`] (connections to workers),
//! [`endpoint_list`], [`admission`] (sessions and versions, before the core), [`peer_group`] with [`peers`],
//! [`peer_transport`] and [`peer_store`] (the state that routers of a group share), and [`shared_state`], through which
//! the other components use that state. A module never depends on one listed before it.
//!
//! A *front* is a way in for requests: a queue consumed over AMQP, or a listener for KServe clients. The *core* is the
//! router's state machine; it drives the *balancer*, the decision module in `cedarpulley`.

pub mod admission;
pub(crate) mod admission_observer;
pub mod amqp_front;
pub(crate) mod amqp_messages;
pub mod answer_body;
pub mod answer_times;
pub(crate) mod body_buffer;
pub mod client_connection;
pub mod client_listener;
pub mod config_reader;
pub(crate) mod config_values;
pub mod context;
pub(crate) mod copy_inventory;
pub(crate) mod core_settings;
pub mod endpoint_list;
pub mod fault_injection;
pub(crate) mod file_names;
pub(crate) mod front_settings;
pub(crate) mod gateway;
pub(crate) mod group_settings;
pub mod grpc;
pub mod input_memory;
pub(crate) mod line_buffer;
pub(crate) mod listed_workers;
pub mod member_listener;
pub(crate) mod message_sending;
pub mod metering;
pub(crate) mod observed_stream;
pub(crate) mod open_connections;
pub mod outcome_names;
pub(crate) mod outputs;
pub(crate) mod peer_envelopes;
pub mod peer_events;
pub mod peer_group;
pub mod peer_messages;
pub(crate) mod peer_requests;
pub mod peer_settings;
pub mod peer_store;
pub(crate) mod peer_store_file;
pub mod peer_transport;
pub mod peers;
pub(crate) mod plan_conversions;
pub mod pool;
mod read_ahead;
pub mod reconciliation;
pub(crate) mod reconciliation_hooks;
pub(crate) mod reconciliation_log;
pub(crate) mod reconciliation_notes;
pub(crate) mod reconciliation_observer;
pub(crate) mod reconciliation_query;
pub(crate) mod reconciliation_workers;
pub mod rejected_envelopes;
mod request_framing;
pub mod request_handling;
pub mod request_parsing;
pub(crate) mod resources;
pub mod rest;
pub(crate) mod send_queue;
pub mod serve;
pub mod settings;
pub mod shared_state;
pub(crate) mod shutdown;
pub mod state_endpoint;
pub(crate) mod storage_settings;
pub(crate) mod stored_state;
pub mod task_owner;
pub mod tls;
pub mod trace_recorder;
pub(crate) mod upgrade_orders;
pub mod upgrades;
pub(crate) mod version_statistics;
pub(crate) mod waiting_requests;
pub(crate) mod wiring;
pub(crate) mod worker_settings;
