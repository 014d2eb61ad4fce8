//! Trace files: what a router saw and decided, recorded off the deciding path, and the tools that read them. Begin
//! reading at [`records::Record`]; the bytes are described in `docs/design/trace-format.md`.
//!
//! * [`wire`], [`records`], [`start`], [`blocks`], [`places`]: the format, free of I/O.
//! * [`keeping`]: decides when a file ends, which go, and what happens when the disk fails.
//! * [`writer`], [`reader`]: files. A trace never stops a router: what cannot be written is a gap.
//! * [`replay`]: drives the module anew and finds the first decision that differs; [`compare`] counts all, by kind.
//! * [`summary`], [`show`], [`course`] and its [`chart`]: what is in them.
//! * [`rules`]: judges the five rules as far as decisions show them.
//! * [`explain`]: ranks what cost most, from decisions.
//! * [`select`] decides what belongs to a cut, [`strip`] what may stay of names; [`rewrite`] and [`merge`] make files.

pub mod blocks;
pub mod chart;
pub mod compare;
pub mod course;
mod error;
pub mod explain;
pub mod keeping;
pub mod merge;
pub mod places;
pub mod reader;
pub mod records;
pub mod replay;
pub mod rewrite;
pub mod rules;
pub mod select;
pub mod show;
pub mod start;
pub mod strip;
pub mod summary;
pub mod wire;
pub mod writer;

pub use error::Error;
