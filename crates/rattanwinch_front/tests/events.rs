//! Checks that the operators' page lists all log events.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_sources(folder: &Path, found: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(std::fs::read_to_string(&path).expect("a file"));
        }
    }
}

/// Collects the first string after each call of a logging macro or of the function that logs run
/// events.
fn logged_events(source: &str, found: &mut BTreeSet<String>) {
    let calls = ["info!(", "warn!(", "error!(", "debug!(", "log_run_event("];
    for call in calls {
        for (at, _) in source.match_indices(call) {
            let rest = &source[at + call.len()..];
            let Some(begin) = rest.find('"') else {
                continue;
            };
            let Some(end) = rest[begin + 1..].find('"') else {
                continue;
            };
            let event = &rest[begin + 1..begin + 1 + end];
            // Inside that function the message is a parameter.
            if event != "{}" {
                found.insert(event.to_owned());
            }
        }
    }
}

/// Guards against log events that operators can't look up, and listed events that don't exist.
#[test]
fn the_page_lists_the_events_of_the_code() {
    let mut logged = BTreeSet::new();
    for package in ["rattanwinch_front", "rattanwinch_side"] {
        let mut found = Vec::new();
        read_sources(
            &repository().join("crates").join(package).join("src"),
            &mut found,
        );
        for source in &found {
            logged_events(source, &mut logged);
        }
    }
    let page = repository().join("docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).expect("the page");
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| front |") || line.starts_with("| side |"));
    let listed: BTreeSet<String> = rows
        .filter_map(|row| row.split('|').nth(2))
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .map(str::to_owned)
        .collect();
    let unlisted: Vec<_> = logged.difference(&listed).collect();
    let unknown: Vec<_> = listed.difference(&logged).collect();
    assert!(unlisted.is_empty(), "logged and not listed: {unlisted:?}");
    assert!(unknown.is_empty(), "listed and not logged: {unknown:?}");
}
