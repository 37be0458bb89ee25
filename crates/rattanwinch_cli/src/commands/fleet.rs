use std::io::Write;
use std::time::Duration;

use rattanwinch_operators::WireBurnReport;
use rattanwinch_operators::WireTargetReport;
use rattanwinch_operators::burn_table;

use super::context::Context;
use crate::Result;
use crate::table::Table;
use crate::table::format_duration;

pub(super) async fn fleet(cx: &Context, out: &mut dyn Write) -> Result<()> {
    let targets: Vec<WireTargetReport> = cx.client.get("/v1/fleet", cx.timeout).await?;
    cx.write_result(out, &targets, |targets| fleet_text(targets))
}

pub(super) async fn burn(cx: &Context, out: &mut dyn Write) -> Result<()> {
    let report: WireBurnReport = cx.client.get("/v1/burn", cx.timeout).await?;
    cx.write_result(out, &report, burn_table)
}

fn fleet_text(targets: &[WireTargetReport]) -> String {
    let headers = [
        "target",
        "zone",
        "rack",
        "requests/slots",
        "accelerators",
        "heartbeat",
        "state",
    ];
    let mut table = Table::new(&headers);
    for target in targets {
        let state = match (&target.excluded_by, target.leaving) {
            (Some(exception), _) => format!("excluded: {} ({})", exception.reason, exception.id),
            (None, true) => "leaving".to_owned(),
            (None, false) => "in use".to_owned(),
        };
        let last_heartbeat = format_duration(Duration::from_millis(target.last_heard_ms));
        table.add_row([
            target.target.clone(),
            target.zone.clone(),
            target.rack.clone(),
            format!("{}/{}", target.in_flight, target.slots),
            format!("{}/{}", target.accelerators_used, target.accelerators),
            format!("{last_heartbeat} ago"),
            state,
        ]);
    }
    table.render()
}
