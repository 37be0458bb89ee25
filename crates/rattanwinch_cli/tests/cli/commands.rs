//! What operators do with the command, and its exit codes.

use serde_json::Value;

use rattanwinch_standins::StoreFaults;
use rattanwinch_standins::StoreMode;

use crate::site::Site;
use crate::site::command;

const WHY: [&str; 2] = ["--reason", "power works"];

async fn done(site: &Site, arguments: &[&str]) -> String {
    let outcome = site.command(arguments).await;
    assert_eq!(outcome.code, Some(0), "{arguments:?}: {outcome:?}");
    outcome.stdout
}

/// Guards against a closing that can't be seen, explained or taken back by the command.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_closed_and_reopened() {
    let site = Site::start().await;
    done(&site, &[&["zone", "add", "a"], &WHY[..]].concat()).await;
    let dry = done(
        &site,
        &[&["zone", "close", "a", "--dry-run"], &WHY[..]].concat(),
    )
    .await;
    assert!(dry.contains("dry run on revision"), "{dry}");
    let list = done(&site, &["exception", "list", "--json"]).await;
    assert_eq!(list.trim(), "[]");

    done(&site, &[&["zone", "close", "a"], &WHY[..]].concat()).await;
    let list = done(&site, &["exception", "list", "--json"]).await;
    let list: Value = serde_json::from_str(&list).expect("JSON");
    assert_eq!(list[0]["reason"], "power works");
    assert_eq!(list[0]["author"], "ada");
    let text = done(&site, &["config", "show"]).await;
    assert!(text.contains("zone a closed"), "{text}");

    let reopened = done(&site, &[&["zone", "reopen", "a"], &WHY[..]].concat()).await;
    assert!(
        reopened.contains("Availability zone a reopens"),
        "{reopened}"
    );
    let history = done(&site, &["config", "history"]).await;
    assert_eq!(history.matches(" by ada, ").count(), 3, "{history}");
    for list in ["fleet", "burn"] {
        done(&site, &[list]).await;
    }
    done(&site, &["guarantee", "list", "--json"]).await;
}

/// Guards against exit codes that scripts can't rely on, and failures without a verdict.
#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_tell_usage_conflicts_and_failures_apart() {
    let site = Site::start().await;
    done(
        &site,
        &[&["zone", "add", "a", "--change-id", "c1"], &WHY[..]].concat(),
    )
    .await;
    let again = [&["zone", "add", "a", "--change-id", "c1"], &WHY[..]].concat();
    assert!(done(&site, &again).await.contains("accepted before"));

    let stale = ["zone", "add", "b", "--base", "0"];
    let outcome = site.command(&[&stale, &WHY[..]].concat()).await;
    assert_eq!(outcome.code, Some(3), "{outcome:?}");
    assert!(outcome.stderr.contains("c1 by ada"), "{outcome:?}");

    let unknown = ["zone", "close", "nowhere"];
    let outcome = site.command(&[&unknown, &WHY[..]].concat()).await;
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
        &[&two, &WHY[..]].concat(),
        &["job", "status", "a/b", "1"],
        &["--entry", "ftp://x", "fleet"],
    ] {
        let outcome = site.command(usage).await;
        assert_eq!(outcome.code, Some(2), "{usage:?}: {outcome:?}");
    }
    assert_eq!(command(&["fleet"]).await.code, Some(2));
}

/// Guards against an outage of the store that is reported as done.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_during_an_outage_fails_with_its_verdict() {
    let site = Site::start().await;
    site.store.set_faults(StoreFaults {
        mode: StoreMode::Refuse,
        ..StoreFaults::default()
    });
    let outcome = site
        .command(&[&["zone", "add", "a"], &WHY[..]].concat())
        .await;
    assert_eq!(outcome.code, Some(1), "{outcome:?}");
    assert!(outcome.stderr.contains("verdict: not run"), "{outcome:?}");

    site.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    done(&site, &[&["zone", "add", "a"], &WHY[..]].concat()).await;
    let show = done(&site, &["config", "show", "--json"]).await;
    let show: Value = serde_json::from_str(&show).expect("JSON");
    assert_eq!(show["config"]["zones"], serde_json::json!(["a"]));
}

/// Guards against a watch that ends early or never.
#[tokio::test(flavor = "multi_thread")]
async fn a_watch_ends_when_the_zone_is_drained() {
    let site = Site::start().await;
    let watch = ["zone", "watch", "a", "--interval-ms", "1"];
    let lines = done(&site, &watch).await;
    let lines: Vec<_> = lines.lines().collect();
    assert_eq!(lines.len(), 4, "{lines:?}");
    assert!(lines[0].contains("left: 3 tasks"), "{lines:?}");
    assert_eq!(lines[3], "zone a: drained");

    let outcome = site.command(&["zone", "watch", "nowhere"]).await;
    assert_eq!(outcome.code, Some(1), "{outcome:?}");
}
