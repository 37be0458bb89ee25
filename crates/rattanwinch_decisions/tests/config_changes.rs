//! The checks of a change to the configuration.

use rattanwinch_decisions::ChangeError;
use rattanwinch_decisions::ConfigChange;
use rattanwinch_decisions::DefaultKey;
use rattanwinch_decisions::apply_change;
use rattanwinch_decisions::describe_effects;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::Guarantee;
use rattanwinch_types::Organisation;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

const NOW: Timestamp = Timestamp::from_millis(7);

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a valid name")
}

fn organisation(name: &str) -> Organisation {
    Organisation::new(name).expect("a valid name")
}

fn exception(id: &str) -> ExceptionId {
    ExceptionId::new(id).expect("a valid id")
}

fn guarantee(owner: &str, zone_name: &str, blocks: u32, accelerators: u32) -> Guarantee {
    Guarantee {
        organisation: organisation(owner),
        zone: zone(zone_name),
        blocks,
        accelerators,
    }
}

fn fleet() -> FleetConfig {
    FleetConfig {
        zones: vec![zone("a"), zone("b")],
        organisations: vec![OrganisationConfig {
            name: organisation("letrafa"),
            quota_accelerators: None,
        }],
        guarantees: vec![guarantee("letrafa", "a", 2, 16)],
        ..FleetConfig::default()
    }
}

fn change(config: &FleetConfig, change: &ConfigChange) -> Result<FleetConfig, ChangeError> {
    apply_change(config, change, "ada", "maintenance of rack 4", NOW)
}

/// Guards against a change that nobody can explain later.
#[test]
fn reason_and_author_are_needed() {
    let close = ConfigChange::close_zone(exception("x"), zone("a"));
    let long = "x".repeat(1001);
    for text in ["", "  \t", long.as_str(), "bell \u{7}"] {
        for (author, reason, field) in [("ada", text, "reason"), (text, "why", "author")] {
            let refused = apply_change(&fleet(), &close, author, reason, NOW);
            let Err(ChangeError::Text { field: named, .. }) = refused else {
                panic!("{field} {text:?} was let through");
            };
            assert_eq!(named, field);
        }
    }
}

/// Guards against a configuration that names things that don't exist, twice, or of wrong size.
#[test]
fn changes_that_do_not_fit_are_refused() {
    let add = |guarantee| ConfigChange::AddGuarantee(guarantee);
    let limit = ExceptionEffect::LimitOrganisation {
        organisation: organisation("nobody"),
        accelerators: 8,
    };
    let set = |key, value| ConfigChange::SetDefault { key, value };
    let refused = [
        ConfigChange::AddZone(zone("a")),
        ConfigChange::RemoveZone(zone("c")),
        ConfigChange::RemoveZone(zone("a")),
        ConfigChange::RemoveOrganisation(organisation("letrafa")),
        ConfigChange::RemoveOrganisation(organisation("nobody")),
        ConfigChange::close_zone(exception("x"), zone("c")),
        ConfigChange::reopen_zone(exception("x")),
        ConfigChange::AddException {
            id: exception("x"),
            effect: limit,
        },
        add(guarantee("nobody", "a", 1, 8)),
        add(guarantee("letrafa", "c", 1, 8)),
        add(guarantee("letrafa", "a", 1, 16)),
        add(guarantee("letrafa", "b", 0, 8)),
        add(guarantee("letrafa", "b", u32::MAX, 8)),
        ConfigChange::ChangeGuarantee(guarantee("letrafa", "b", 1, 16)),
        set(DefaultKey::CompletionWeightPercent, 101),
        set(DefaultKey::CompletionWeightPercent, 256),
        set(DefaultKey::MaxAttempts, 0),
        set(DefaultKey::ServiceLevelPpm, 1_000_000),
        set(DefaultKey::MaxAttempts, 3),
    ];
    for wrong in refused {
        let outcome = change(&fleet(), &wrong);
        assert!(outcome.is_err(), "{wrong:?} was let through");
    }
}

/// Guards against block sizes that the packing of guarantees can't place.
#[test]
fn block_sizes_are_1_2_4_or_whole_workers() {
    for size in 0..=64 {
        let added = ConfigChange::AddGuarantee(guarantee("letrafa", "b", 1, size));
        let allowed = matches!(size, 1 | 2 | 4) || (size > 0 && size % 8 == 0);
        assert_eq!(
            change(&fleet(), &added).is_ok(),
            allowed,
            "blocks of {size}"
        );
    }
}

/// Guards against a reopening that ends another operator's closing of the same zone.
#[test]
fn a_zone_stays_closed_until_the_last_closing_is_removed() {
    let close = |id| ConfigChange::close_zone(exception(id), zone("a"));
    let once = change(&fleet(), &close("x1")).expect("the zone is open");
    assert!(matches!(
        change(&once, &close("x1")),
        Err(ChangeError::Duplicate { .. })
    ));
    let twice = change(&once, &close("x2")).expect("another reason to close");
    let still = change(&twice, &ConfigChange::reopen_zone(exception("x1"))).expect("it exists");
    let closing = still
        .zone_closure(&zone("a"))
        .expect("the zone stays closed");
    assert_eq!(closing.id, exception("x2"));
    assert_eq!((&*closing.author, closing.at), ("ada", NOW));
    let sentence = &describe_effects(&twice, &still)[0];
    assert!(
        sentence.contains("stays closed by exception x2"),
        "{sentence}"
    );
    let open = change(&still, &ConfigChange::reopen_zone(exception("x2"))).expect("it exists");
    assert_eq!(open, fleet());
}

/// Guards against a dry run that leaves out what a change does.
#[test]
fn each_change_has_an_effect_in_words() {
    let changes = [
        (
            ConfigChange::AddZone(zone("c")),
            "Availability zone c is added and takes work.",
        ),
        (
            ConfigChange::ChangeGuarantee(guarantee("letrafa", "a", 3, 16)),
            "The guarantee of letrafa in a changes from 2 to 3 blocks of 16 accelerators.",
        ),
        (
            ConfigChange::RemoveGuarantee {
                organisation: organisation("letrafa"),
                zone: zone("a"),
                accelerators: 16,
            },
            "The guarantee of letrafa in a changes from 2 to 0 blocks of 16 accelerators.",
        ),
        (
            ConfigChange::ChangeOrganisation(OrganisationConfig {
                name: organisation("letrafa"),
                quota_accelerators: Some(64),
            }),
            "Organisation letrafa now has a quota of 64 accelerators.",
        ),
        (
            ConfigChange::close_zone(exception("x"), zone("a")),
            "Availability zone a closes (exception x): no work starts there and running work is \
             moved out; 1 guarantees there can't be reclaimed meanwhile; 1 availability zones \
             stay open.",
        ),
    ];
    for (one, expected) in changes {
        let after = change(&fleet(), &one).expect("it fits");
        let sentences = describe_effects(&fleet(), &after);
        assert_eq!(sentences.len(), 1, "{sentences:?}");
        assert_eq!(&*sentences[0], expected);
    }
    assert!(describe_effects(&fleet(), &fleet()).is_empty());
}
