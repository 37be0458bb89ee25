use std::collections::BTreeMap;
use std::sync::Arc;

use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::FleetDefaults;
use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::ZoneName;

/// The configuration as it applies to one availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ZoneConfig {
    /// The fleet-wide defaults.
    pub defaults: FleetDefaults,
    /// Maximum number of accelerators that each organisation may use at once.
    pub limits: BTreeMap<Organisation, u32>,
    /// Reason and author of the availability zone's closure, if it is closed.
    pub closure_reason: Option<Arc<str>>,
    /// Reason and author of each excluded target.
    pub exclusions: BTreeMap<TargetName, Arc<str>>,
    /// Number of guaranteed blocks by owner and block size in accelerators.
    pub guarantees: BTreeMap<(Organisation, u32), u32>,
}

fn exception_text(exception: &Exception) -> Arc<str> {
    let Exception {
        id, reason, author, ..
    } = exception;
    Arc::from(format!("{reason} ({author}, exception {id})"))
}

impl ZoneConfig {
    pub(crate) fn from_fleet(zone: &ZoneName, cfg: &FleetConfig) -> Self {
        let mut guarantees = BTreeMap::new();
        for guarantee in cfg.guarantees.iter().filter(|known| known.zone == *zone) {
            let key = (guarantee.organisation.clone(), guarantee.accelerators);
            let blocks: &mut u32 = guarantees.entry(key).or_default();
            *blocks = blocks.saturating_add(guarantee.blocks);
        }
        let exclusions = cfg.exceptions.iter().filter_map(|exception| {
            let ExceptionEffect::ExcludeTarget(target) = &exception.effect else {
                return None;
            };
            Some((target.clone(), exception_text(exception)))
        });
        Self {
            defaults: cfg.defaults.clone(),
            limits: limits(cfg),
            closure_reason: cfg.zone_closure(zone).map(exception_text),
            exclusions: exclusions.collect(),
            guarantees,
        }
    }
}

/// Accelerator limit of each organisation that has one: by quota, by exception or by both.
fn limits(cfg: &FleetConfig) -> BTreeMap<Organisation, u32> {
    let limited = cfg.exceptions.iter().filter_map(|exception| {
        let ExceptionEffect::LimitOrganisation { organisation, .. } = &exception.effect else {
            return None;
        };
        Some(organisation)
    });
    let known = cfg.organisations.iter().map(|known| &known.name);
    let named = known.chain(limited);
    named
        .filter_map(|name| Some((name.clone(), cfg.accelerator_limit(name)?)))
        .collect()
}
