//! State that the routers of a group share, so that they fail well together: what was taken and by whom, what may have
//! left, what was answered; choices that a majority made; what somebody observed. Free of I/O: time and messages go in,
//! messages and verdicts come out. Begin reading at [`Replica::handle`] in `replica.rs`; why it is so is in
//! docs/design/replica.md.
//!
//! * [`record`]: what is shared, and the rule for copies that differ.
//! * [`store`]: all records, how long they are kept, digests.
//! * [`wire`]: what members say to each other, and which votes count together.
//! * [`holding`]: what a member promises and holds for others.
//! * `claims`: what is open here, in the order in which it is due.
//! * [`owning`]: what a member takes: intents held by a majority before they leave, and takeovers.
//! * [`choosing`]: what a majority decides, once or term after term.
//! * [`keeping`]: votes on these, which wait until the member's folder has what they stand for.
//! * [`returning`]: what a member that started anew may do, and when it remembers enough to vote.
//! * [`catchup`]: finding and fetching what is lacking, at a bounded pace.
//!
//! What it must never do: let anything leave that must not run twice before a majority holds the intent, vote without
//! remembering, or rest a proof on a clock.

pub mod catchup;
pub mod choosing;
mod claims;
pub mod holding;
pub mod keeping;
pub mod owning;
pub mod record;
pub mod replica;
pub mod returning;
pub mod store;
pub mod wire;

pub use choosing::Outcome;
pub use owning::{Because, Lack, Need, Verdict};
pub use record::{Answered, Ballot, Effect, Note, Record, Sending, Sent};
pub use replica::{Counts, Guard, Input, Output, Replica, Terms, kept_for};
pub use store::{Key, Shared};
pub use wire::{Memory, Message, VERSION};
