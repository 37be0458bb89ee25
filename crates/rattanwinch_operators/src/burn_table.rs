use std::fmt::Write as _;

use crate::WireBurnReport;

/// Formats the burn report as a table for terminals, with a row for each organisation and a column
/// for each window. Each cell shows the burn rate and the bad requests out of all requests.
#[must_use]
pub fn burn_table(report: &WireBurnReport) -> String {
    let mut text = format!(
        "service level {:.4}%; burn rate 1.0 spends the error budget exactly\n",
        f64::from(report.service_level_ppm) / 10_000.0
    );
    let width = report
        .organisations
        .iter()
        .map(|burn| burn.organisation.len());
    let width = width.max().unwrap_or(0).max("organisation".len());
    let mut header = format!("{:width$}", "organisation");
    if let Some(first) = report.organisations.first() {
        for window in &first.windows {
            let _ = write!(header, "  {:>22}", window.window);
        }
    }
    let _ = writeln!(text, "{header}  alerts");
    for burn in &report.organisations {
        let _ = write!(text, "{:width$}", burn.organisation);
        for window in &burn.windows {
            let total = window.good.saturating_add(window.bad);
            let counts = format!("{}/{total}", window.bad);
            let rate = format!(
                "{}.{:02}",
                window.burn_permille / 1000,
                window.burn_permille % 1000 / 10
            );
            let cell = format!("{rate} ({counts})");
            let _ = write!(text, "  {cell:>22}");
        }
        let alerts = if burn.alerts.is_empty() {
            "-".to_owned()
        } else {
            burn.alerts.join(",")
        };
        let _ = writeln!(text, "  {alerts}");
    }
    text
}
