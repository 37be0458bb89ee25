//! Tests of the operator commands and of the exit codes.

use rattanwinch_standins::StoreFaults;
use rattanwinch_standins::StoreMode;
use serde_json::Value;
use serde_json::json;

use crate::site::Site;
use crate::site::command;

const REASON_ARGUMENTS: [&str; 2] = ["--reason", "power works"];

async fn run_ok(site: &Site, arguments: &[&str]) -> String {
    let outcome = site.command(arguments).await;
    assert_eq!(outcome.code, Some(0), "{arguments:?}: {outcome:?}");
    outcome.stdout
}

/// Guards against a closed zone that the command cannot show, explain or reopen.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_closed_and_reopened() {
    let site = Site::start().await;
    run_ok(
        &site,
        &[&["zone", "add", "a"], &REASON_ARGUMENTS[..]].concat(),
    )
    .await;
    let dry = run_ok(
        &site,
        &[&["zone", "close", "a", "--dry-run"], &REASON_ARGUMENTS[..]].concat(),
    )
    .await;
    assert!(dry.contains("dry run on revision"), "{dry}");
    let list = run_ok(&site, &["exception", "list", "--json"]).await;
    assert_eq!(list.trim(), "[]");

    run_ok(
        &site,
        &[&["zone", "close", "a"], &REASON_ARGUMENTS[..]].concat(),
    )
    .await;
    let list = run_ok(&site, &["exception", "list", "--json"]).await;
    let list: Value = serde_json::from_str(&list).expect("JSON");
    assert_eq!(list[0]["reason"], "power works");
    assert_eq!(list[0]["author"], "ada");
    let text = run_ok(&site, &["config", "show"]).await;
    assert!(text.contains("zone a closed"), "{text}");

    let reopened = run_ok(
        &site,
        &[&["zone", "reopen", "a"], &REASON_ARGUMENTS[..]].concat(),
    )
    .await;
    assert!(
        reopened.contains("Availability zone a reopens"),
        "{reopened}"
    );
    let history = run_ok(&site, &["config", "history"]).await;
    assert_eq!(history.matches(" by ada, ").count(), 3, "{history}");
    for list in ["fleet", "burn"] {
        run_ok(&site, &[list]).await;
    }
    run_ok(&site, &["guarantee", "list", "--json"]).await;
}

/// Guards against commands that send a different change than documented; the examples are those of
/// `docs/operators.md`.
#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_change_is_written_to_the_document() {
    let site = Site::start().await;
    for change in [
        "zone add a",
        "zone add b",
        "zone remove b",
        "config dry-run max_attempts 7",
        "config set max_attempts 5",
        "organisation add letrafa --quota 64",
        "organisation add gait",
        "organisation change letrafa",
        "organisation remove gait",
        "guarantee add letrafa a 16 --blocks 2",
        "guarantee add letrafa a 1 --blocks 2",
        "guarantee change letrafa a 16 --blocks 3",
        "guarantee remove letrafa a 1",
        "exception add INC-311 --exclude-target t-17",
        "exception add INC-312 --limit-organisation letrafa=32",
        "exception add INC-313 --close-zone a",
        "exception remove INC-311",
    ] {
        let words: Vec<_> = change.split(' ').collect();
        run_ok(&site, &[&words[..], &REASON_ARGUMENTS].concat()).await;
    }
    let show = run_ok(&site, &["config", "show", "--json"]).await;
    let show: Value = serde_json::from_str(&show).expect("JSON");
    let config = &show["config"];
    assert_eq!(config["zones"], json!(["a"]));
    assert_eq!(config["defaults"]["max_attempts"], 5);
    assert_eq!(config["organisations"], json!([{"name": "letrafa"}]));
    let guarantee =
        json!({"organisation": "letrafa", "zone": "a", "blocks": 3, "accelerators": 16});
    assert_eq!(config["guarantees"], json!([guarantee]));
    let effects = config["exceptions"].as_array().expect("a list");
    let effects: Vec<_> = effects.iter().map(|one| one["effect"].clone()).collect();
    let limit = json!({"limit_organisation": {"organisation": "letrafa", "accelerators": 32}});
    assert_eq!(effects, [limit, json!({"close_zone": {"zone": "a"}})]);
}

/// Guards against wrong exit codes, on which scripts rely, and against failures without a verdict.
#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_distinguish_usage_conflicts_and_failures() {
    let site = Site::start().await;
    run_ok(
        &site,
        &[
            &["zone", "add", "a", "--change-id", "c1"],
            &REASON_ARGUMENTS[..],
        ]
        .concat(),
    )
    .await;
    let repeated = [
        &["zone", "add", "a", "--change-id", "c1"],
        &REASON_ARGUMENTS[..],
    ]
    .concat();
    assert!(run_ok(&site, &repeated).await.contains("accepted before"));

    let stale = ["zone", "add", "b", "--base", "0"];
    let outcome = site
        .command(&[&stale, &REASON_ARGUMENTS[..]].concat())
        .await;
    assert_eq!(outcome.code, Some(3), "{outcome:?}");
    assert!(outcome.stderr.contains("c1 by ada"), "{outcome:?}");

    let unknown = ["zone", "close", "nowhere"];
    let outcome = site
        .command(&[&unknown, &REASON_ARGUMENTS[..]].concat())
        .await;
    assert_eq!(outcome.code, Some(1), "{outcome:?}");
    assert!(outcome.stderr.contains("verdict: not run"), "{outcome:?}");

    let two = [
        "exception",
        "add",
        "x",
        "--close-zone",
        "a",
        "--exclude-target",
        "t",
    ];
    for usage in [
        &["zone", "close", "a"][..],
        &["exception", "add", "x", "--reason", "y"],
        &[&two, &REASON_ARGUMENTS[..]].concat(),
        &["job", "status", "a/b", "1"],
        &["--entry", "ftp://x", "fleet"],
    ] {
        let outcome = site.command(usage).await;
        assert_eq!(outcome.code, Some(2), "{usage:?}: {outcome:?}");
    }
    assert_eq!(command(&["fleet"]).await.code, Some(2));
}

/// Guards against reporting success during a store outage.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_during_an_outage_fails_with_its_verdict() {
    let site = Site::start().await;
    site.store.set_faults(StoreFaults {
        mode: StoreMode::Refuse,
        ..StoreFaults::default()
    });
    let outcome = site
        .command(&[&["zone", "add", "a"], &REASON_ARGUMENTS[..]].concat())
        .await;
    assert_eq!(outcome.code, Some(1), "{outcome:?}");
    assert!(outcome.stderr.contains("verdict: not run"), "{outcome:?}");

    site.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    run_ok(
        &site,
        &[&["zone", "add", "a"], &REASON_ARGUMENTS[..]].concat(),
    )
    .await;
    let show = run_ok(&site, &["config", "show", "--json"]).await;
    let show: Value = serde_json::from_str(&show).expect("JSON");
    assert_eq!(show["config"]["zones"], json!(["a"]));
}

/// Guards against a watch that ends too early or never.
#[tokio::test(flavor = "multi_thread")]
async fn a_watch_ends_when_the_zone_is_drained() {
    let site = Site::start().await;
    let watch = ["zone", "watch", "a", "--interval-ms", "1"];
    let lines = run_ok(&site, &watch).await;
    let lines: Vec<_> = lines.lines().collect();
    assert_eq!(lines.len(), 4, "{lines:?}");
    assert!(lines[0].contains("left: 3 tasks"), "{lines:?}");
    assert_eq!(lines[3], "zone a: drained");

    let outcome = site.command(&["zone", "watch", "nowhere"]).await;
    assert_eq!(outcome.code, Some(1), "{outcome:?}");
}
