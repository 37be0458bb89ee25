use std::sync::Arc;

use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::Guarantee;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::ZoneName;

use super::DefaultKey;

/// What differs between two configurations, a sentence each; empty if nothing does.
#[must_use]
pub fn describe_effects(before: &FleetConfig, after: &FleetConfig) -> Vec<Arc<str>> {
    let mut sentences = Vec::new();
    defaults(before, after, &mut sentences);
    zones(before, after, &mut sentences);
    organisations(before, after, &mut sentences);
    guarantees(before, after, &mut sentences);
    exceptions(before, after, &mut sentences);
    sentences.into_iter().map(Arc::from).collect()
}

fn defaults(before: &FleetConfig, after: &FleetConfig, sentences: &mut Vec<String>) {
    for key in DefaultKey::ALL {
        let (old, new) = (key.get(&before.defaults), key.get(&after.defaults));
        if old != new {
            sentences.push(format!(
                "Default {} changes from {old} to {new}.",
                key.as_str()
            ));
        }
    }
}

fn zones(before: &FleetConfig, after: &FleetConfig, sentences: &mut Vec<String>) {
    for zone in after
        .zones
        .iter()
        .filter(|zone| !before.zones.contains(zone))
    {
        sentences.push(format!("Availability zone {zone} is added and takes work."));
    }
    for zone in before
        .zones
        .iter()
        .filter(|zone| !after.zones.contains(zone))
    {
        sentences.push(format!("Availability zone {zone} is removed."));
    }
}

fn organisations(before: &FleetConfig, after: &FleetConfig, sentences: &mut Vec<String>) {
    let find = |config: &FleetConfig, one: &OrganisationConfig| {
        let mut all = config.organisations.iter();
        all.find(|known| known.name == one.name).cloned()
    };
    for new in &after.organisations {
        let quota = quota(new.quota_accelerators);
        match find(before, new) {
            None => sentences.push(format!("Organisation {} is added with {quota}.", new.name)),
            Some(old) if old != *new => {
                sentences.push(format!("Organisation {} now has {quota}.", new.name));
            }
            Some(_) => {}
        }
    }
    for old in &before.organisations {
        if find(after, old).is_none() {
            let name = &old.name;
            sentences.push(format!(
                "Organisation {name} is removed; its requests and jobs are refused."
            ));
        }
    }
}

fn quota(accelerators: Option<u32>) -> String {
    accelerators.map_or_else(
        || "no limit of accelerators".to_owned(),
        |limit| format!("a quota of {limit} accelerators"),
    )
}

fn guarantees(before: &FleetConfig, after: &FleetConfig, sentences: &mut Vec<String>) {
    let find = |config: &FleetConfig, one: &Guarantee| {
        let mut all = config.guarantees.iter();
        let same = |known: &&Guarantee| {
            known.organisation == one.organisation
                && known.zone == one.zone
                && known.accelerators == one.accelerators
        };
        all.find(same).map(|known| known.blocks)
    };
    for new in &after.guarantees {
        let old = find(before, new).unwrap_or(0);
        if old != new.blocks {
            sentences.push(guarantee_sentence(new, old, new.blocks));
        }
    }
    for old in &before.guarantees {
        if find(after, old).is_none() {
            sentences.push(guarantee_sentence(old, old.blocks, 0));
        }
    }
}

fn guarantee_sentence(guarantee: &Guarantee, old: u32, new: u32) -> String {
    format!(
        "The guarantee of {} in {} changes from {old} to {new} blocks of {} accelerators.",
        guarantee.organisation, guarantee.zone, guarantee.accelerators
    )
}

fn exceptions(before: &FleetConfig, after: &FleetConfig, sentences: &mut Vec<String>) {
    let has = |config: &FleetConfig, one: &Exception| {
        config.exceptions.iter().any(|known| known.id == one.id)
    };
    for new in after.exceptions.iter().filter(|new| !has(before, new)) {
        sentences.push(added(new, after));
    }
    for old in before.exceptions.iter().filter(|old| !has(after, old)) {
        sentences.push(removed(old, after));
    }
}

fn added(exception: &Exception, after: &FleetConfig) -> String {
    let id = &exception.id;
    match &exception.effect {
        ExceptionEffect::CloseZone(zone) => {
            let closed = closed_zones(after);
            let open = after.zones.len() - closed;
            let guarantees = after.guarantees.iter().filter(|g| g.zone == *zone).count();
            format!(
                "Availability zone {zone} closes (exception {id}): no work starts there and \
                 running work is moved out; {guarantees} guarantees there can't be reclaimed \
                 meanwhile; {open} availability zones stay open."
            )
        }
        ExceptionEffect::ExcludeTarget(target) => format!(
            "Target {target} is excluded (exception {id}): no work starts there and running work \
             is moved out."
        ),
        ExceptionEffect::LimitOrganisation {
            organisation,
            accelerators,
        } => format!(
            "Jobs of {organisation} use at most {accelerators} accelerators at once (exception \
             {id})."
        ),
    }
}

fn removed(exception: &Exception, after: &FleetConfig) -> String {
    let id = &exception.id;
    match &exception.effect {
        ExceptionEffect::CloseZone(zone) => after.zone_closure(zone).map_or_else(
            || format!("Availability zone {zone} reopens (exception {id} is removed)."),
            |other| {
                format!(
                    "Exception {id} is removed; availability zone {zone} stays closed by exception \
                     {}: {}.",
                    other.id, other.reason
                )
            },
        ),
        ExceptionEffect::ExcludeTarget(target) => after.target_exclusion(target).map_or_else(
            || format!("Target {target} takes work again (exception {id} is removed)."),
            |other| {
                format!(
                    "Exception {id} is removed; {target} stays excluded by {}.",
                    other.id
                )
            },
        ),
        ExceptionEffect::LimitOrganisation { organisation, .. } => format!(
            "The limit on jobs of {organisation} by exception {id} is removed; they now have {}.",
            quota(after.accelerator_limit(organisation))
        ),
    }
}

fn closed_zones(config: &FleetConfig) -> usize {
    let is_closed = |zone: &&ZoneName| config.zone_closure(zone).is_some();
    config.zones.iter().filter(is_closed).count()
}
