//! [`ReportField`]: the fields of workers' load reports that a site uses.

use cedarpulley::interface::LoadReport;

use crate::raw_settings::RawSettings;

/// One field of a load report, by its name in settings and protocols.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// `rif`: invocations in flight.
    InFlight,
    /// `q`: invocations queued.
    Queued,
    /// `busy`: fraction of the cores that are in use.
    Utilization,
    /// `x1`: loads of copies in progress.
    LoadsInProgress,
    /// `x0`: fraction of the memory that is in use and cannot be freed.
    MemoryFraction,
    /// Any other name; its value is ignored.
    Other,
}

impl ReportField {
    /// The fields that the setting `stats.fields` lists, in that order.
    pub fn from_settings(raw: &RawSettings) -> Vec<Self> {
        raw.list("stats.fields").map(Self::from_name).collect()
    }

    fn from_name(name: &str) -> Self {
        match name {
            "rif" => ReportField::InFlight,
            "q" => ReportField::Queued,
            "busy" => ReportField::Utilization,
            "x1" => ReportField::LoadsInProgress,
            "x0" => ReportField::MemoryFraction,
            _ => ReportField::Other,
        }
    }

    /// Sets the field called `name` in the report if it is one of the listed `fields`; otherwise ignores the value.
    pub fn set_in_report(report: &mut LoadReport, fields: &[Self], name: &str, value: f64) {
        let field = Self::from_name(name);
        let reported = match field {
            ReportField::InFlight => &mut report.in_flight,
            ReportField::Queued => &mut report.queued,
            ReportField::Utilization => &mut report.utilization,
            ReportField::LoadsInProgress => &mut report.loads_in_progress,
            ReportField::MemoryFraction => &mut report.memory_fraction,
            ReportField::Other => return,
        };
        if fields.contains(&field) {
            *reported = Some(value);
        }
    }
}
