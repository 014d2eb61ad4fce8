//! Settings of the trace (`[trace]`) and the usage ledger (`[meter]`), which a router writes to disk.

use std::path::{Path, PathBuf};

use cedarpulley_trace::retention::RetentionLimits;

use crate::config_reader::Section;
use crate::config_values::DAY_MS;
use crate::trace_recorder::TraceSettings;

/// Reads `[trace]`; absent if no trace is recorded. Relative paths start at `folder`.
pub(crate) fn trace(section: &Section, folder: &Path) -> Option<TraceSettings> {
    let trace = section.is_present().then(|| {
        let retention = RetentionLimits {
            file_bytes: section.integer("file_mb", 1..1 << 16, Some(64)) << 20,
            file_age: section.millis_as_micros("file_minutes", 1..DAY_MS / 60_000 + 1, Some(60))
                * 60_000,
            budget_bytes: section.integer("budget_mb", 2..1 << 24, Some(1024)) << 20,
        };
        if retention.budget_bytes < retention.file_bytes * 2 {
            section.error("budget_mb", "is below twice file_mb");
        }
        TraceSettings {
            folder: folder.join(section.string("folder", None)),
            retention,
        }
    });
    section.check_unknown_keys();
    trace
}

/// Reads the folder of the usage ledger from `[meter]`; absent if usage is not metered. Relative paths start at `folder`.
pub(crate) fn ledger_folder(section: &Section, folder: &Path) -> Option<PathBuf> {
    let ledger_folder = section
        .is_present()
        .then(|| folder.join(section.string("folder", None)));
    section.check_unknown_keys();
    ledger_folder
}
