//! One router as a process: sockets, timers, signals and settings around the core in `cedarpulley-router`. It
//! decides nothing of its own: what came in goes to the core, what the core puts out is carried out in order.
//!
//! Begin reading at [`serve`], which alone knows the whole; then [`desk`] (what each part gets), [`front`] (AMQP),
//! [`listen`] with [`rest`] and [`grpc`] (KServe v2), [`pool`] (workers), [`list`] (the worker list), [`circle`] with
//! [`fellows`], [`post`] and [`folder`] (the group that shares what was taken), and [`shared`], what other parts have of it. No part knows
//! another that stands above it.

pub mod calls;
pub mod circle;
pub mod desk;
pub mod fellows;
pub mod folder;
pub mod front;
pub mod gate;
pub mod grpc;
pub mod list;
pub mod listen;
pub mod meddle;
pub mod metering;
pub mod pool;
pub mod post;
pub mod reconciling;
pub mod recorder;
pub mod rest;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod sheet;
pub mod shown;
pub mod strangers;
pub mod tls;
pub mod upgrading;
pub mod words;
