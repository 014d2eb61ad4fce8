//! One router as a process: sockets, timers, signals and configuration around the core in
//! `cedarpulley-router`. It makes no routing decisions: every event goes to the core, and the core's outputs
//! are carried out in order.
//!
//! Begin reading at [`serve`], the only module that knows all others. Then: [`context`] (what every part may
//! use), [`front`] (AMQP), [`listen`] with [`rest`] and [`grpc`] (KServe v2), [`pool`] (connections to
//! workers), [`list`] (the worker list), [`peer_group`] with [`peers`], [`peer_transport`] and [`peer_store`]
//! (the state that routers of a group share), and [`shared_state`], the interface of that state for the other
//! parts. No module depends on one that stands above it in this order of construction.

pub mod calls;
pub mod context;
pub mod front;
pub mod gate;
pub mod grpc;
pub mod list;
pub mod listen;
pub mod meddle;
pub mod metering;
pub mod peer_group;
pub mod peer_store;
pub mod peer_transport;
pub mod peers;
pub mod pool;
pub mod reconciling;
pub mod recorder;
pub mod rest;
pub mod serve;
pub mod settings;
pub mod shared_state;
pub mod sheet;
pub mod state_endpoint;
pub mod tls;
pub mod unknown_members;
pub mod upgrading;
pub mod words;
