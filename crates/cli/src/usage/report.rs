//! `meter report`: memory-seconds, summed by the columns given with `--by`.

use std::collections::BTreeMap;
use std::path::PathBuf;

use cedarpulley_usage_metering::{Usage, UsageKey};
use serde_json::{Map, Value, json};

use super::GroupBy;
use super::stores;
use crate::error::CliError;

/// How a report is printed.
pub enum OutputFormat {
    Json,
    Csv,
    Table,
}

/// Usage by the values of the columns.
type Rows = BTreeMap<Vec<String>, Usage>;

impl GroupBy {
    /// The column's name in every format.
    fn name(self) -> &'static str {
        match self {
            GroupBy::Tenant => "tenant",
            GroupBy::Function => "function",
            GroupBy::Hour => "hour",
            GroupBy::Kind => "kind",
        }
    }

    /// The column's value; an hour is given as its start in seconds since 1970.
    fn value(self, key: &UsageKey) -> String {
        match self {
            GroupBy::Tenant => key.account.to_string(),
            GroupBy::Function => key.function.to_string(),
            GroupBy::Hour => (i64::from(key.hour) * 3600).to_string(),
            GroupBy::Kind => key.kind.name().to_owned(),
        }
    }
}

/// Prints the usage in the files, summed by these columns.
pub fn report(files: &[PathBuf], by: &[GroupBy], format: OutputFormat) -> Result<(), CliError> {
    let sums = stores::read(files)?.sums();
    let rows = sums.group_by(|key| {
        by.iter()
            .map(|column| column.value(key))
            .collect::<Vec<_>>()
    });
    let columns: Vec<&str> = by.iter().map(|column| column.name()).collect();
    let total = sums.total();
    match format {
        OutputFormat::Json => print_json(&columns, &rows, &total),
        OutputFormat::Csv => print_csv(&columns, &rows),
        OutputFormat::Table => {
            print_table(&columns, &rows, &total);
            Ok(())
        }
    }
}

fn print_json(columns: &[&str], rows: &Rows, total: &Usage) -> Result<(), CliError> {
    let rows: Vec<Value> = rows
        .iter()
        .map(|(values, sum)| row_as_json(columns, values, sum))
        .collect();
    let report = json!({"rows": rows, "total": row_as_json(&[], &[], total)});
    print_line!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}

fn row_as_json(columns: &[&str], values: &[String], sum: &Usage) -> Value {
    let mut row: Map<String, Value> = columns
        .iter()
        .zip(values)
        .map(|(column, value)| ((*column).to_owned(), json!(value)))
        .collect();
    // A string, as many readers of JSON parse numbers as floats, which do not keep all digits.
    row.insert("byte_microseconds".into(), json!(sum.byte_us.to_string()));
    row.insert("mb_seconds".into(), json!(sum.mb_seconds()));
    row.insert("count".into(), json!(sum.count));
    Value::Object(row)
}

fn print_csv(columns: &[&str], rows: &Rows) -> Result<(), CliError> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let figures = ["mb_seconds", "byte_microseconds", "count"];
    writer.write_record(columns.iter().chain(&figures))?;
    for (values, sum) in rows {
        let figures = [
            format!("{:.6}", sum.mb_seconds()),
            sum.byte_us.to_string(),
            sum.count.to_string(),
        ];
        writer.write_record(values.iter().chain(&figures))?;
    }
    let text = writer.into_inner().unwrap_or_default();
    print_line!("{}", String::from_utf8_lossy(&text).trim_end());
    Ok(())
}

fn print_table(columns: &[&str], rows: &Rows, total: &Usage) {
    let padded = |cell: &str| format!("{cell:<20}");
    let header: String = columns.iter().map(|column| padded(column)).collect();
    print_line!("{header}{:>16} {:>10}", "MB-s", "count");
    for (values, sum) in rows {
        let cells: String = values.iter().map(|value| padded(value)).collect();
        print_line!("{cells}{:>16.3} {:>10}", sum.mb_seconds(), sum.count);
    }
    print_line!("{:.3} MB-s in all", total.mb_seconds());
}
