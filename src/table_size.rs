//! The sizes of tables that callers, workers or discovery fill, for the log.

use std::fmt;

/// The size of a table that callers, workers or discovery fill, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSize {
    /// What the table holds.
    pub name: &'static str,
    /// Number of entries.
    pub entries: usize,
    /// Estimated memory that the entries take, in bytes.
    pub bytes: usize,
}

/// The sizes of several tables; displayed as `name: entries (bytes B)`, separated by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableSizes(pub Vec<TableSize>);

impl fmt::Display for TableSizes {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        for (number, table) in self.0.iter().enumerate() {
            let separator = if number > 0 { ", " } else { "" };
            let TableSize {
                name,
                entries,
                bytes,
            } = table;
            write!(out, "{separator}{name}: {entries} ({bytes} B)")?;
        }
        Ok(())
    }
}
