//! Memory-seconds by tenant, free of I/O. Begin reading at [`accounting`], which says what each thing that happened
//! costs whom; [`sums`] adds it up exactly, and [`books`] joins what many routers measured. Nothing here decides what
//! is taken or sent; where sums are kept is `cedarpulley-usage-store`'s matter.

pub mod accounting;
pub mod books;
pub mod sums;

pub use accounting::{Ended, Held, Load, Meter, Part};
pub use books::{Book, Source};
pub use sums::{Key, Kind, Readings, Sum, Sums};
