//! One router as a process: sockets, timers, signals and settings around the core in `cedarpulley-router`. It
//! decides nothing of its own: what came in goes to the core, what the core puts out is carried out in order.
//!
//! Begin reading at [`serve`]; then [`front`] (AMQP), [`rest`] (KServe v2), [`pool`] (workers), [`list`] (the worker list).

pub mod calls;
pub mod front;
pub mod grpc;
pub mod list;
pub mod meddle;
pub mod metering;
pub mod pool;
pub mod recorder;
pub mod rest;
pub mod serve;
pub mod settings;
pub mod sheet;
pub mod tls;
