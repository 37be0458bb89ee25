use std::io::Write;
use std::time::Duration;

use rattanwinch_operators::WireConfigChange;
use rattanwinch_operators::WireZoneReport;
use rattanwinch_platform::records::WireException;
use rattanwinch_platform::records::WireExceptionEffect;
use rattanwinch_types::Verdict;
use tokio::time::Instant;

use super::context::Context;
use super::context::new_id;
use crate::CommandError;
use crate::Result;
use crate::arguments::ZoneCommand;
use crate::table::Table;
use crate::table::or_dash;

pub(super) async fn zone(cx: &Context, command: ZoneCommand, out: &mut dyn Write) -> Result<()> {
    match command {
        ZoneCommand::List => {
            let zones = fetch_zones(cx).await?;
            cx.write_result(out, &zones, |zones| zones_text(zones))
        }
        ZoneCommand::Add { zone, change } => {
            cx.change(WireConfigChange::AddZone { zone }, change, out)
                .await
        }
        ZoneCommand::Remove { zone, change } => {
            cx.change(WireConfigChange::RemoveZone { zone }, change, out)
                .await
        }
        ZoneCommand::Close {
            zone,
            exception,
            mut change,
        } => {
            // A retry with the same change id must use the same exception id.
            let change_id = change.change_id.get_or_insert_with(new_id).clone();
            let id = exception.unwrap_or_else(|| format!("close-{zone}-{change_id}"));
            let effect = WireExceptionEffect::CloseZone { zone };
            let close = WireConfigChange::AddException { id, effect };
            cx.change(close, change, out).await
        }
        ZoneCommand::Reopen {
            zone,
            exception,
            change,
        } => {
            let id = match exception {
                Some(id) => id,
                None => find_closing_exception(&cx.config().await?.config.exceptions, &zone)?,
            };
            cx.change(WireConfigChange::RemoveException { id }, change, out)
                .await
        }
        ZoneCommand::Watch {
            zone,
            interval_ms,
            limit_s,
        } => {
            let interval = Duration::from_millis(interval_ms.max(1));
            watch(cx, &zone, interval, Duration::from_secs(limit_s), out).await
        }
    }
}

async fn fetch_zones(cx: &Context) -> Result<Vec<WireZoneReport>> {
    cx.client.get("/v1/zones", cx.timeout).await
}

/// Returns the id of the exception that closes the zone, if there is exactly one.
fn find_closing_exception(exceptions: &[WireException], zone: &str) -> Result<String> {
    let matching = exceptions.iter().filter(|exception| {
        matches!(&exception.effect, WireExceptionEffect::CloseZone { zone: closed } if closed == zone)
    });
    let mut ids: Vec<_> = matching.map(|exception| exception.id.clone()).collect();
    match ids.len() {
        1 => Ok(ids.remove(0)),
        0 => Err(CommandError::failed(
            Verdict::NotRun,
            "not_found",
            format!("no exception closes availability zone {zone}"),
        )),
        _ => Err(CommandError::Usage(format!(
            "several exceptions close availability zone {zone}: expected --exception with one of \
             {}",
            ids.join(", ")
        ))),
    }
}

/// Writes a line whenever the state changes, until the zone is drained.
async fn watch(
    cx: &Context,
    zone: &str,
    interval: Duration,
    timeout: Duration,
    out: &mut dyn Write,
) -> Result<()> {
    let deadline = Instant::now() + timeout;
    let mut previous = String::new();
    loop {
        let current = match fetch_zones(cx).await {
            Ok(zones) => {
                let report = zones.into_iter().find(|report| report.zone == zone);
                let report = report.ok_or_else(|| {
                    let message = format!("no availability zone {zone} in the configuration");
                    CommandError::failed(Verdict::NotRun, "not_found", message)
                })?;
                if report.open {
                    let message =
                        format!("availability zone {zone} is open, expected a closed zone");
                    return Err(CommandError::failed(Verdict::NotRun, "invalid", message));
                }
                if report.drained {
                    writeln!(out, "zone {zone}: drained")?;
                    return Ok(());
                }
                progress_text(&report)
            }
            // Entries may restart meanwhile, so a failed call does not end the watch.
            Err(CommandError::Failed(error)) => {
                format!("zone {zone}: state unavailable: {}", error.message)
            }
            Err(other) => return Err(other),
        };
        if current != previous {
            writeln!(out, "{current}")?;
            out.flush()?;
            previous = current;
        }
        if Instant::now() + interval > deadline {
            let message = format!("availability zone {zone} was not drained within the limit");
            return Err(CommandError::failed(Verdict::NotRun, "deadline", message));
        }
        tokio::time::sleep(interval).await;
    }
}

fn progress_text(report: &WireZoneReport) -> String {
    let closed_by = report.closed_by.as_ref();
    let reason = closed_by.map_or("", |exception| exception.reason.as_str());
    format!(
        "zone {}: closed ({reason}); left: {} tasks, {} plain requests; {} jobs wait",
        report.zone, report.running_tasks, report.in_flight, report.waiting_jobs
    )
}

fn zones_text(zones: &[WireZoneReport]) -> String {
    let headers = [
        "zone", "state", "decider", "epoch", "targets", "tasks", "requests", "waiting", "reason",
    ];
    let mut table = Table::new(&headers);
    for zone in zones {
        let state = match (zone.open, zone.drained) {
            (true, _) => "open",
            (false, true) => "drained",
            (false, false) => "draining",
        };
        let numbers = [
            zone.targets,
            zone.running_tasks,
            zone.in_flight,
            zone.waiting_jobs,
        ];
        let reason = zone.closed_by.as_ref().map(|exception| {
            format!(
                "{} ({}, {})",
                exception.reason, exception.author, exception.id
            )
        });
        let names = [
            zone.zone.clone(),
            state.to_owned(),
            or_dash(zone.decider.clone()),
        ];
        let epoch = [or_dash(zone.epoch)];
        let numbers = numbers.iter().map(u32::to_string);
        table.add_row(
            names
                .into_iter()
                .chain(epoch)
                .chain(numbers)
                .chain([or_dash(reason)]),
        );
    }
    table.render()
}
