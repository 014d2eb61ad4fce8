//! `meter reconcile`: compares the usage that routers metered in a scenario with the usage that the emulated workers
//! logged.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use cedarpulley_usage_metering::{Usage, UsageKind};
use serde_json::{Value, json};

use super::stores::{self, expand_folders};
use crate::error::CliError;

/// Largest accepted difference between metered and logged usage, as a share of the greater of the two.
const MAX_DIFFERENCE_SHARE: f64 = 0.01;
/// Target for uncertain usage, metered for times that no worker reported, as a share of all logged usage.
const MAX_UNCERTAIN_SHARE: f64 = 0.01;

/// Tenant, and the kind of use of its memory.
type TenantUsageKey = (String, UsageKind);

/// Usage that the emulated workers logged, in byte-microseconds.
#[derive(Default)]
struct LoggedUsage {
    by_tenant_and_kind: BTreeMap<TenantUsageKey, u128>,
    /// Usage that the workers' answers reported late or never.
    unreported: u128,
}

impl LoggedUsage {
    /// Reads the logs in this folder, one file for each worker.
    fn read(folder: &Path) -> Result<Self, CliError> {
        let mut usage = LoggedUsage::default();
        for entry in std::fs::read_dir(folder).map_err(CliError::file(folder))? {
            let path = entry.map_err(CliError::file(folder))?.path();
            let file = File::open(&path).map_err(CliError::file(&path))?;
            for text in BufReader::new(file).lines().map_while(Result::ok) {
                if let Ok(line) = serde_json::from_str::<Value>(&text)
                    && line["what"] == "held"
                {
                    usage.add(&line);
                }
            }
        }
        Ok(usage)
    }

    /// Adds a log line, which has a number of bytes and, for each kind of use, the microseconds for which they were held.
    fn add(&mut self, line: &Value) {
        let bytes = u128::from(line["bytes"].as_u64().unwrap_or(0));
        let kinds = [
            ("running", UsageKind::Running),
            ("loading", UsageKind::Loading),
            ("idle", UsageKind::Idle),
        ];
        for (name, kind) in kinds {
            let byte_us = bytes * u128::from(line[name].as_u64().unwrap_or(0));
            if line["reported"] != true {
                self.unreported += byte_us;
            }
            if byte_us > 0 {
                let account = line["account"].as_str().unwrap_or("").to_owned();
                *self.by_tenant_and_kind.entry((account, kind)).or_default() += byte_us;
            }
        }
    }
}

/// Metered and logged usage of one tenant and kind, in MB-seconds.
struct TenantComparison {
    key: TenantUsageKey,
    metered: f64,
    logged: f64,
    /// Difference as a share of the greater of the two; positive if more was metered.
    difference: f64,
}

/// The comparison of all tenants and kinds; usage in MB-seconds.
struct Reconciliation {
    /// Sorted by difference, the greatest first.
    rows: Vec<TenantComparison>,
    /// Usage metered for times that no worker reported.
    uncertain: f64,
    /// Usage that the workers' answers reported late or never.
    unreported: f64,
    /// All logged usage.
    total_logged: f64,
}

impl Reconciliation {
    fn of(metered: &BTreeMap<TenantUsageKey, Usage>, logged: &LoggedUsage) -> Self {
        let comparable = [UsageKind::Running, UsageKind::Loading, UsageKind::Idle];
        let mut keys: Vec<_> = metered
            .keys()
            .filter(|key| comparable.contains(&key.1))
            .chain(logged.by_tenant_and_kind.keys())
            .cloned()
            .collect();
        keys.sort();
        keys.dedup();
        let row = |key: TenantUsageKey| {
            let metered = metered.get(&key).copied().unwrap_or_default().mb_seconds();
            let byte_us = logged.by_tenant_and_kind.get(&key).copied();
            let logged = byte_us.unwrap_or_default() as f64 / 1e12;
            TenantComparison {
                key,
                metered,
                logged,
                difference: (metered - logged) / logged.max(metered).max(1e-9),
            }
        };
        let mut rows: Vec<TenantComparison> = keys.into_iter().map(row).collect();
        let total_logged = rows.iter().map(|row| row.logged).sum();
        rows.sort_by(|a, b| b.difference.abs().total_cmp(&a.difference.abs()));
        let uncertain = metered
            .iter()
            .filter(|(key, _)| key.1 == UsageKind::Uncertain);
        Reconciliation {
            rows,
            uncertain: uncertain.fold(0.0, |total, (_, sum)| total + sum.mb_seconds()),
            unreported: logged.unreported as f64 / 1e12,
            total_logged,
        }
    }

    fn within_limits(&self) -> bool {
        self.rows
            .iter()
            .all(|row| row.difference.abs() <= MAX_DIFFERENCE_SHARE)
    }

    fn print_json(&self) -> Result<(), CliError> {
        let rows: Vec<Value> = self
            .rows
            .iter()
            .map(|row| {
                let (tenant, kind) = &row.key;
                json!({
                    "tenant": tenant,
                    "kind": kind,
                    "metered": row.metered,
                    "held": row.logged,
                    "apart": row.difference,
                })
            })
            .collect();
        let all = json!({
            "rows": rows,
            "uncertain": self.uncertain,
            "untold": self.unreported,
            "held": self.total_logged,
        });
        print_line!("{}", serde_json::to_string_pretty(&all)?);
        Ok(())
    }

    fn print_table(&self) {
        print_line!(
            "{:<16} {:<10} {:>14} {:>14} {:>8}",
            "tenant",
            "kind",
            "metered MB-s",
            "held MB-s",
            "apart"
        );
        for row in &self.rows {
            let (tenant, kind) = &row.key;
            let tenant = if tenant.is_empty() { "(none)" } else { tenant };
            print_line!(
                "{tenant:<16} {:<10} {:>14.3} {:>14.3} {:>7.2}%",
                kind.name(),
                row.metered,
                row.logged,
                row.difference * 100.0
            );
        }
        let above_target = if self.uncertain > MAX_UNCERTAIN_SHARE * self.total_logged {
            ", above the aim of 1%"
        } else {
            ""
        };
        print_line!(
            "uncertain {:.3} MB-s, {:.2}% of what was held{above_target}; told late or never {:.3} MB-s",
            self.uncertain,
            100.0 * self.uncertain / self.total_logged.max(1e-9),
            self.unreported
        );
    }
}

/// Compares metered and logged usage of the scenario whose results are in this folder; true if no difference exceeds
/// [`MAX_DIFFERENCE_SHARE`].
pub fn reconcile(folder: &Path, json: bool) -> Result<bool, CliError> {
    let sums = stores::read(&expand_folders(&[folder.join("meter")])?)?.sums();
    let logged = LoggedUsage::read(&folder.join("traffic"))?;
    let metered = sums.group_by(|key| (key.account.to_string(), key.kind));
    let reconciliation = Reconciliation::of(&metered, &logged);
    if json {
        reconciliation.print_json()?;
    } else {
        reconciliation.print_table();
    }
    Ok(reconciliation.within_limits())
}
