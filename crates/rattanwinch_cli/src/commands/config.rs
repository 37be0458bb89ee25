use std::io::Write;

use rattanwinch_operators::WireConfig;
use rattanwinch_operators::WireConfigChange;
use rattanwinch_operators::WireGuaranteeReport;
use rattanwinch_operators::WireHistory;
use rattanwinch_platform::records::WireException;
use rattanwinch_platform::records::WireExceptionEffect;
use rattanwinch_platform::records::WireOrganisation;

use super::context::Context;
use super::context::now_unix_ms;
use crate::Result;
use crate::arguments::ConfigCommand;
use crate::arguments::EffectArguments;
use crate::arguments::ExceptionCommand;
use crate::arguments::GuaranteeArguments;
use crate::arguments::GuaranteeCommand;
use crate::arguments::OrganisationCommand;
use crate::arguments::SetArguments;
use crate::table::Table;
use crate::table::format_age;
use crate::table::or_dash;

pub(super) async fn config(
    cx: &Context,
    command: ConfigCommand,
    out: &mut dyn Write,
) -> Result<()> {
    match command {
        ConfigCommand::Show => cx.write_result(out, &cx.config().await?, config_text),
        ConfigCommand::History { after, limit } => {
            let after = after.map_or_else(String::new, |after| format!("&after={after}"));
            let path = format!("/v1/config/changes?limit={limit}{after}");
            let history: WireHistory = cx.client.get(&path, cx.timeout).await?;
            cx.write_result(out, &history, history_text)
        }
        ConfigCommand::Set(arguments) => set(cx, arguments, out).await,
        ConfigCommand::DryRun(mut arguments) => {
            arguments.change.dry_run = true;
            set(cx, arguments, out).await
        }
    }
}

async fn set(cx: &Context, arguments: SetArguments, out: &mut dyn Write) -> Result<()> {
    let change = WireConfigChange::SetDefault {
        key: arguments.key,
        value: arguments.value,
    };
    cx.change(change, arguments.change, out).await
}

pub(super) async fn exception(
    cx: &Context,
    command: ExceptionCommand,
    out: &mut dyn Write,
) -> Result<()> {
    match command {
        ExceptionCommand::List => {
            let exceptions = cx.config().await?.config.exceptions;
            cx.write_result(out, &exceptions, |exceptions| exceptions_text(exceptions))
        }
        ExceptionCommand::Add { id, effect, change } => {
            let effect = wire_effect(effect);
            let add = WireConfigChange::AddException { id, effect };
            cx.change(add, change, out).await
        }
        ExceptionCommand::Remove { id, change } => {
            let remove = WireConfigChange::RemoveException { id };
            cx.change(remove, change, out).await
        }
    }
}

/// Converts the effect; the argument parser ensures that exactly one is present.
fn wire_effect(effect: EffectArguments) -> WireExceptionEffect {
    if let Some(zone) = effect.close_zone {
        WireExceptionEffect::CloseZone { zone }
    } else if let Some((organisation, accelerators)) = effect.limit_organisation {
        WireExceptionEffect::LimitOrganisation {
            organisation,
            accelerators,
        }
    } else {
        let target = effect.exclude_target.unwrap_or_default();
        WireExceptionEffect::ExcludeTarget { target }
    }
}

pub(super) async fn organisation(
    cx: &Context,
    command: OrganisationCommand,
    out: &mut dyn Write,
) -> Result<()> {
    let (config_change, change_arguments) = match command {
        OrganisationCommand::List => {
            let organisations = cx.config().await?.config.organisations;
            return cx.write_result(out, &organisations, |all| organisations_text(all));
        }
        OrganisationCommand::Add(arguments) => {
            let add = WireConfigChange::AddOrganisation {
                name: arguments.name,
                quota_accelerators: arguments.quota,
            };
            (add, arguments.change)
        }
        OrganisationCommand::Change(arguments) => {
            let replace = WireConfigChange::ChangeOrganisation {
                name: arguments.name,
                quota_accelerators: arguments.quota,
            };
            (replace, arguments.change)
        }
        OrganisationCommand::Remove { name, change } => {
            (WireConfigChange::RemoveOrganisation { name }, change)
        }
    };
    cx.change(config_change, change_arguments, out).await
}

pub(super) async fn guarantee(
    cx: &Context,
    command: GuaranteeCommand,
    out: &mut dyn Write,
) -> Result<()> {
    match command {
        GuaranteeCommand::List => {
            let report: Vec<WireGuaranteeReport> =
                cx.client.get("/v1/guarantees", cx.timeout).await?;
            cx.write_result(out, &report, |report| guarantees_text(report))
        }
        GuaranteeCommand::Add(GuaranteeArguments {
            guarantee,
            blocks,
            change,
        }) => {
            let add = WireConfigChange::AddGuarantee {
                organisation: guarantee.organisation,
                zone: guarantee.zone,
                blocks,
                accelerators: guarantee.accelerators,
            };
            cx.change(add, change, out).await
        }
        GuaranteeCommand::Change(GuaranteeArguments {
            guarantee,
            blocks,
            change,
        }) => {
            let replace = WireConfigChange::ChangeGuarantee {
                organisation: guarantee.organisation,
                zone: guarantee.zone,
                blocks,
                accelerators: guarantee.accelerators,
            };
            cx.change(replace, change, out).await
        }
        GuaranteeCommand::Remove { guarantee, change } => {
            let remove = WireConfigChange::RemoveGuarantee {
                organisation: guarantee.organisation,
                zone: guarantee.zone,
                accelerators: guarantee.accelerators,
            };
            cx.change(remove, change, out).await
        }
    }
}

fn config_text(config: &WireConfig) -> String {
    let defaults = &config.config.defaults;
    let mut table = Table::new(&["default", "value"]);
    let rows = [
        ("plain_when_stale_ms", defaults.plain_when_stale_ms),
        ("max_attempts", defaults.max_attempts.into()),
        ("checkpoint_limit_ms", defaults.checkpoint_limit_ms),
        ("stop_limit_ms", defaults.stop_limit_ms),
        (
            "completion_weight_percent",
            defaults.completion_weight_percent.into(),
        ),
        ("service_level_ppm", defaults.service_level_ppm.into()),
    ];
    for (key, value) in rows {
        table.add_row([key.to_owned(), value.to_string()]);
    }
    let mut guarantees = Table::new(&["guarantee of", "zone", "blocks", "accelerators of each"]);
    for guarantee in &config.config.guarantees {
        let numbers = [
            guarantee.blocks.to_string(),
            guarantee.accelerators.to_string(),
        ];
        let names = [guarantee.organisation.clone(), guarantee.zone.clone()];
        guarantees.add_row(names.into_iter().chain(numbers));
    }
    format!(
        "revision {}\navailability zones: {}\n\n{}\n{}\n{}\n{}",
        config.revision,
        config.config.zones.join(", "),
        table.render(),
        organisations_text(&config.config.organisations),
        guarantees.render(),
        exceptions_text(&config.config.exceptions),
    )
}

fn history_text(history: &WireHistory) -> String {
    let now = now_unix_ms();
    let mut text = String::new();
    for item in &history.changes {
        let record = &item.record;
        text.push_str(&format!(
            "revision {} {} by {}, {}: {}\n",
            item.revision,
            record.id,
            record.author,
            format_age(record.at_unix_ms, now),
            record.reason
        ));
        for effect in &record.effects {
            text.push_str(&format!("  {effect}\n"));
        }
    }
    if let Some(after) = &history.next_after {
        text.push_str(&format!("more: config history --after {after}\n"));
    }
    text
}

fn organisations_text(organisations: &[WireOrganisation]) -> String {
    let mut table = Table::new(&["organisation", "quota of accelerators"]);
    for organisation in organisations {
        table.add_row([
            organisation.name.clone(),
            or_dash(organisation.quota_accelerators),
        ]);
    }
    table.render()
}

fn exceptions_text(exceptions: &[WireException]) -> String {
    let now = now_unix_ms();
    let mut table = Table::new(&["exception", "effect", "author", "made", "reason"]);
    for exception in exceptions {
        let effect = match &exception.effect {
            WireExceptionEffect::CloseZone { zone } => format!("zone {zone} closed"),
            WireExceptionEffect::ExcludeTarget { target } => format!("target {target} excluded"),
            WireExceptionEffect::LimitOrganisation {
                organisation,
                accelerators,
            } => format!("{organisation} limited to {accelerators} accelerators"),
        };
        let made = format_age(exception.at_unix_ms, now);
        let (author, reason) = (exception.author.clone(), exception.reason.clone());
        table.add_row([exception.id.clone(), effect, author, made, reason]);
    }
    table.render()
}

fn guarantees_text(report: &[WireGuaranteeReport]) -> String {
    let mut table = Table::new(&[
        "organisation",
        "zone",
        "guaranteed",
        "used",
        "borrowed",
        "unmet",
        "cause",
    ]);
    for guarantee in report {
        let numbers = [
            guarantee.guaranteed,
            guarantee.used,
            guarantee.borrowed,
            guarantee.unmet,
        ];
        let names = [guarantee.organisation.clone(), guarantee.zone.clone()].into_iter();
        let numbers = numbers.iter().map(u32::to_string);
        table.add_row(
            names
                .chain(numbers)
                .chain([or_dash(guarantee.cause.clone())]),
        );
    }
    table.render()
}
