//! Trace files: the events that a router received and the decisions that it made, recorded outside the decision path,
//! and the tools that read them. Start reading at [`records::Record`]; `docs/design/trace-format.md` describes the
//! bytes.
//!
//! * [`codec`], [`event_codec`], [`action_codec`], [`record_codec`], [`start`], [`blocks`], [`block_index`]: the file
//!   format, without I/O.
//! * [`retention`]: when a file ends, which old files are deleted, and how long writing pauses after a disk error.
//! * [`writer`] with [`file_series`] and [`file_writer`], [`reader`]: file input and output. A trace never blocks a
//!   router: records that cannot be written are replaced by a gap record.
//! * [`replay`]: feeds recorded events to the balancer of this build and finds the first decision that differs;
//!   [`compare`] counts all differences by kind.
//! * [`summary`], [`invocation_history`], [`timeline`] and its [`chart`]: show the contents of trace files.
//! * [`rule_check`]: checks the five delivery rules as far as the recorded decisions show them.
//! * [`explain`]: ranks the causes of failed and late invocations by cost.
//! * [`selection`] decides which records belong to a cut, [`strip`] replaces names by pseudonyms; [`rewrite`] and
//!   [`merge`] write the resulting files.

#![warn(missing_docs)]

pub mod action_codec;
pub mod block_index;
pub mod blocks;
pub mod chart;
pub mod codec;
pub mod compare;
mod error;
pub mod event_codec;
pub mod explain;
pub mod file_series;
pub mod file_writer;
pub mod invocation_history;
pub mod merge;
pub mod reader;
pub mod record_codec;
pub mod records;
pub mod replay;
pub mod retention;
pub mod rewrite;
pub mod rule_check;
pub mod selection;
pub mod start;
pub mod start_codec;
pub mod strip;
pub mod summary;
pub mod timeline;
pub mod writer;

pub use error::Error;
