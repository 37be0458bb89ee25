use std::sync::Arc;

use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::Guarantee;
use rattanwinch_types::Organisation;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::Timestamp;
use rattanwinch_types::WORKER_ACCELERATORS;
use rattanwinch_types::ZoneName;

use super::ChangeError;
use super::ConfigChange;

/// The longest reason, in bytes; reasons are read in full in lists and are part of the document.
pub const MAX_REASON_BYTES: usize = 1000;

/// The longest author, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

type Result<T> = std::result::Result<T, ChangeError>;

/// The configuration after a change; `config` itself is left as it is.
///
/// # Errors
///
/// [`ChangeError`] if the reason or the author is missing or the change doesn't fit the
/// configuration.
pub fn apply_change(
    config: &FleetConfig,
    change: &ConfigChange,
    author: &str,
    reason: &str,
    now: Timestamp,
) -> Result<FleetConfig> {
    let author = checked_text("author", author, MAX_AUTHOR_BYTES, "1 to 128 bytes of text")?;
    let reason = checked_text(
        "reason",
        reason,
        MAX_REASON_BYTES,
        "1 to 1000 bytes of text",
    )?;
    let mut next = config.clone();
    match change {
        ConfigChange::SetDefault { key, value } => {
            if !key.set(&mut next.defaults, *value) {
                return Err(ChangeError::default_out_of_range(*key, *value));
            }
        }
        ConfigChange::AddOrganisation(organisation) => add_organisation(&mut next, organisation)?,
        ConfigChange::ChangeOrganisation(organisation) => {
            *find_organisation(&mut next, &organisation.name)? = organisation.clone();
        }
        ConfigChange::RemoveOrganisation(name) => remove_organisation(&mut next, name)?,
        ConfigChange::AddZone(zone) => add_zone(&mut next, zone)?,
        ConfigChange::RemoveZone(zone) => remove_zone(&mut next, zone)?,
        ConfigChange::AddGuarantee(guarantee) => add_guarantee(&mut next, guarantee)?,
        ConfigChange::ChangeGuarantee(guarantee) => change_guarantee(&mut next, guarantee)?,
        ConfigChange::RemoveGuarantee {
            organisation,
            zone,
            accelerators,
        } => {
            let index = guarantee_index(&next, organisation, zone, *accelerators)?;
            next.guarantees.remove(index);
        }
        ConfigChange::AddException { id, effect } => {
            check_exception(&next, id, effect)?;
            next.exceptions.push(Exception {
                id: id.clone(),
                effect: effect.clone(),
                reason,
                author,
                at: now,
            });
        }
        ConfigChange::RemoveException(id) => remove_exception(&mut next, id)?,
    }
    if next == *config {
        return Err(ChangeError::NoEffect);
    }
    Ok(next)
}

/// Control characters are refused, because reasons are printed to terminals.
fn checked_text(
    field: &'static str,
    text: &str,
    max_bytes: usize,
    expected: &'static str,
) -> Result<Arc<str>> {
    let text = text.trim();
    let fits = !text.is_empty() && text.len() <= max_bytes;
    if fits && !text.chars().any(char::is_control) {
        Ok(Arc::from(text))
    } else {
        Err(ChangeError::Text { field, expected })
    }
}

fn add_organisation(config: &mut FleetConfig, organisation: &OrganisationConfig) -> Result<()> {
    if config.has_organisation(&organisation.name) {
        return Err(ChangeError::Duplicate {
            what: "organisation",
            name: organisation.name.to_string(),
        });
    }
    config.organisations.push(organisation.clone());
    Ok(())
}

fn find_organisation<'a>(
    config: &'a mut FleetConfig,
    name: &Organisation,
) -> Result<&'a mut OrganisationConfig> {
    let found = config
        .organisations
        .iter_mut()
        .find(|known| known.name == *name);
    found.ok_or_else(|| unknown_organisation(name))
}

fn remove_organisation(config: &mut FleetConfig, name: &Organisation) -> Result<()> {
    if !config.has_organisation(name) {
        return Err(unknown_organisation(name));
    }
    let guarantee = config.guarantees.iter().find(|g| g.organisation == *name);
    let exception = config.exceptions.iter().find(|exception| {
        matches!(&exception.effect,
            ExceptionEffect::LimitOrganisation { organisation, .. } if organisation == name)
    });
    if let Some(by) = user(guarantee, exception) {
        return Err(ChangeError::InUse {
            what: "organisation",
            name: name.to_string(),
            by,
        });
    }
    config.organisations.retain(|known| known.name != *name);
    Ok(())
}

fn add_zone(config: &mut FleetConfig, zone: &ZoneName) -> Result<()> {
    if config.zones.contains(zone) {
        return Err(ChangeError::Duplicate {
            what: "availability zone",
            name: zone.to_string(),
        });
    }
    config.zones.push(zone.clone());
    Ok(())
}

fn remove_zone(config: &mut FleetConfig, zone: &ZoneName) -> Result<()> {
    check_zone(config, zone)?;
    let guarantee = config.guarantees.iter().find(|g| g.zone == *zone);
    if let Some(by) = user(guarantee, config.zone_closure(zone)) {
        return Err(ChangeError::InUse {
            what: "availability zone",
            name: zone.to_string(),
            by,
        });
    }
    config.zones.retain(|known| known != zone);
    Ok(())
}

/// Describes what still refers to a thing that is to be removed.
fn user(guarantee: Option<&Guarantee>, exception: Option<&Exception>) -> Option<String> {
    let guarantee = guarantee.map(|guarantee| format!("the {}", guarantee_name(guarantee)));
    guarantee.or_else(|| exception.map(|exception| format!("the exception {}", exception.id)))
}

fn add_guarantee(config: &mut FleetConfig, guarantee: &Guarantee) -> Result<()> {
    check_guarantee(config, guarantee)?;
    let known = guarantee_index(
        config,
        &guarantee.organisation,
        &guarantee.zone,
        guarantee.accelerators,
    );
    if known.is_ok() {
        return Err(ChangeError::Duplicate {
            what: "guarantee",
            name: guarantee_name(guarantee),
        });
    }
    config.guarantees.push(guarantee.clone());
    Ok(())
}

fn change_guarantee(config: &mut FleetConfig, guarantee: &Guarantee) -> Result<()> {
    check_guarantee(config, guarantee)?;
    let index = guarantee_index(
        config,
        &guarantee.organisation,
        &guarantee.zone,
        guarantee.accelerators,
    )?;
    config.guarantees[index] = guarantee.clone();
    Ok(())
}

fn check_guarantee(config: &FleetConfig, guarantee: &Guarantee) -> Result<()> {
    if !config.has_organisation(&guarantee.organisation) {
        return Err(unknown_organisation(&guarantee.organisation));
    }
    check_zone(config, &guarantee.zone)?;
    let size = guarantee.accelerators;
    let whole_workers = size > 0 && size.is_multiple_of(u32::from(WORKER_ACCELERATORS));
    if !matches!(size, 1 | 2 | 4) && !whole_workers {
        return Err(ChangeError::OutOfRange {
            field: "accelerators of each block",
            value: size.into(),
            expected: "1, 2, 4, 8 or a multiple of 8".to_owned(),
        });
    }
    if guarantee.blocks == 0 || guarantee.blocks.checked_mul(size).is_none() {
        return Err(ChangeError::OutOfRange {
            field: "blocks",
            value: guarantee.blocks.into(),
            expected: "at least 1, and a total below 2^32 accelerators".to_owned(),
        });
    }
    Ok(())
}

fn guarantee_index(
    config: &FleetConfig,
    organisation: &Organisation,
    zone: &ZoneName,
    accelerators: u32,
) -> Result<usize> {
    let same = |known: &Guarantee| {
        known.organisation == *organisation
            && known.zone == *zone
            && known.accelerators == accelerators
    };
    let found = config.guarantees.iter().position(same);
    found.ok_or_else(|| ChangeError::Unknown {
        what: "guarantee",
        name: format!("{organisation} in {zone}, blocks of {accelerators}"),
    })
}

fn check_exception(config: &FleetConfig, id: &ExceptionId, effect: &ExceptionEffect) -> Result<()> {
    if config.exceptions.iter().any(|known| known.id == *id) {
        return Err(ChangeError::Duplicate {
            what: "exception",
            name: id.to_string(),
        });
    }
    match effect {
        ExceptionEffect::CloseZone(zone) => check_zone(config, zone),
        ExceptionEffect::LimitOrganisation { organisation, .. }
            if !config.has_organisation(organisation) =>
        {
            Err(unknown_organisation(organisation))
        }
        // Targets announce themselves, so the configuration can't know them.
        ExceptionEffect::LimitOrganisation { .. } | ExceptionEffect::ExcludeTarget(_) => Ok(()),
    }
}

fn remove_exception(config: &mut FleetConfig, id: &ExceptionId) -> Result<()> {
    let index = config.exceptions.iter().position(|known| known.id == *id);
    let index = index.ok_or_else(|| ChangeError::Unknown {
        what: "exception",
        name: id.to_string(),
    })?;
    config.exceptions.remove(index);
    Ok(())
}

fn check_zone(config: &FleetConfig, zone: &ZoneName) -> Result<()> {
    if config.zones.contains(zone) {
        return Ok(());
    }
    Err(ChangeError::Unknown {
        what: "availability zone",
        name: zone.to_string(),
    })
}

fn unknown_organisation(name: &Organisation) -> ChangeError {
    ChangeError::Unknown {
        what: "organisation",
        name: name.to_string(),
    }
}

fn guarantee_name(guarantee: &Guarantee) -> String {
    format!(
        "guarantee of {} in {}, blocks of {}",
        guarantee.organisation, guarantee.zone, guarantee.accelerators
    )
}
