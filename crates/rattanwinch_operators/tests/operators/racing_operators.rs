//! Operators that change the configuration concurrently while the store fails.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Waker;

use arbtest::arbitrary::Unstructured;
use rattanwinch_decisions::ConfigChange;
use rattanwinch_decisions::DefaultKey;
use rattanwinch_decisions::apply_change;
use rattanwinch_operators::ChangeFailure;
use rattanwinch_operators::ChangeRequest;
use rattanwinch_operators::ConfigChanges;
use rattanwinch_platform::records::ChangeRecord;
use rattanwinch_testing::PropertyTest;
use rattanwinch_types::ChangeId;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::Revision;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;

use crate::memory_store::Fault;
use crate::memory_store::MemoryStore;

const NOW: Timestamp = Timestamp::from_millis(1000);

/// The maximum number of requests that an operator sends for one change.
const MAX_REQUESTS_PER_CHANGE: usize = 6;

/// The responses that an operator got for one change.
#[derive(Debug)]
struct ChangeOutcome {
    id: ChangeId,
    accepted: Option<Revision>,
    /// True if a response left open whether the change was made.
    ambiguous: bool,
}

/// Generates changes of a few exceptions with common ids, so that operators add, repeat and remove
/// the same ones.
fn any_change(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<ConfigChange> {
    let id = ExceptionId::new(format!("x{}", u.int_in_range(0..=3)?)).expect("a valid id");
    Ok(match u.int_in_range(0..=2)? {
        0 => ConfigChange::SetDefault {
            key: DefaultKey::MaxAttempts,
            value: u.int_in_range(1..=100)?,
        },
        1 => ConfigChange::AddException {
            id,
            effect: ExceptionEffect::ExcludeTarget(TargetName::new("t1").expect("a valid name")),
        },
        _ => ConfigChange::RemoveException(id),
    })
}

fn any_fault(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Fault> {
    Ok(match u.int_in_range(0..=9)? {
        0 => Fault::Refused,
        1 => Fault::LostRequest,
        2 => Fault::LostAnswer,
        3 => Fault::Delayed(u.int_in_range(0..=6)?),
        _ => Fault::None,
    })
}

async fn run_operator(
    changes: &ConfigChanges<MemoryStore>,
    name: String,
    requested: Vec<ConfigChange>,
) -> Vec<ChangeOutcome> {
    let mut outcomes = Vec::new();
    for (number, change) in requested.into_iter().enumerate() {
        let id = ChangeId::new(format!("{name}-{number}")).expect("a valid id");
        outcomes.push(send_until_accepted(changes, id, &name, change).await);
    }
    outcomes
}

/// Sends one change under one id until it is accepted or the retries are used up.
async fn send_until_accepted(
    changes: &ConfigChanges<MemoryStore>,
    id: ChangeId,
    author: &str,
    change: ConfigChange,
) -> ChangeOutcome {
    let mut outcome = ChangeOutcome {
        id: id.clone(),
        accepted: None,
        ambiguous: false,
    };
    for _ in 0..MAX_REQUESTS_PER_CHANGE {
        let Ok(current) = changes.current().await else {
            continue;
        };
        let req = ChangeRequest::builder()
            .id(id.clone())
            .author(author)
            .reason("race")
            .based_on(current.revision)
            .change(change.clone())
            .build();
        match changes.apply(&req, NOW).await {
            Ok(accepted) => {
                outcome.accepted = Some(accepted.revision);
                return outcome;
            }
            Err(ChangeFailure::Stale(stale)) => assert!(stale.current.revision != req.based_on),
            Err(ChangeFailure::Refused(error)) => {
                outcome.ambiguous |= error.verdict != Verdict::NotRun;
            }
        }
    }
    outcome
}

/// Polls the operators in an arbitrary order until all have ended.
fn run_interleaved<'a>(
    u: &mut Unstructured<'_>,
    operators: Vec<Pin<Box<dyn Future<Output = Vec<ChangeOutcome>> + 'a>>>,
) -> arbtest::arbitrary::Result<Vec<ChangeOutcome>> {
    let mut running = operators;
    let mut outcomes = Vec::new();
    let mut cx = Context::from_waker(Waker::noop());
    while !running.is_empty() {
        let index = u.choose_index(running.len())?;
        if let std::task::Poll::Ready(part) = running[index].as_mut().poll(&mut cx) {
            outcomes.extend(part);
            drop(running.swap_remove(index));
        }
    }
    Ok(outcomes)
}

/// Runs a future that waits only for a store which is always ready when polled again.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let mut future = Box::pin(future);
    let mut cx = Context::from_waker(Waker::noop());
    for _ in 0..10_000 {
        if let std::task::Poll::Ready(value) = future.as_mut().poll(&mut cx) {
            return value;
        }
    }
    panic!("the future did not end within 10000 polls");
}

fn history(changes: &ConfigChanges<MemoryStore>) -> BTreeMap<Revision, ChangeRecord> {
    let mut all = BTreeMap::new();
    let mut after = None;
    loop {
        let page = block_on(changes.history(after.as_ref(), 3)).expect("the history can be read");
        after = page.changes.last().map(|(_, record)| record.id.clone());
        for (revision, record) in page.changes {
            let twice = all.insert(revision, record);
            assert!(twice.is_none(), "two changes made revision {revision:?}");
        }
        if !page.more {
            return all;
        }
    }
}

/// Guards against lost updates, changes that are applied twice, documents that revert, and false
/// responses, when operators race and the store loses requests and responses.
#[test]
fn accepted_changes_last_and_are_applied_once() {
    let run = PropertyTest::new("racing operators").with_seeds(200);
    run.run(|u| {
        let mut requested: Vec<Vec<ConfigChange>> = Vec::new();
        for _ in 0..u.int_in_range(1..=3)? {
            let count = u.int_in_range(1..=4)?;
            requested.push(
                (0..count)
                    .map(|_| any_change(u))
                    .collect::<Result<_, _>>()?,
            );
        }
        let faults: Vec<Fault> = (0..40).map(|_| any_fault(u)).collect::<Result<_, _>>()?;
        let store = Arc::new(MemoryStore::default().with_faults(faults));
        let changes = ConfigChanges::new(Arc::clone(&store));
        let by_id: BTreeMap<String, ConfigChange> = requested
            .iter()
            .enumerate()
            .flat_map(|(operator, list)| {
                let named = list.iter().cloned().enumerate();
                named.map(move |(number, change)| (format!("op{operator}-{number}"), change))
            })
            .collect();
        let operators = requested
            .into_iter()
            .enumerate()
            .map(|(number, requested)| {
                let operator = run_operator(&changes, format!("op{number}"), requested);
                Box::pin(operator) as Pin<Box<dyn Future<Output = Vec<ChangeOutcome>>>>
            });
        let outcomes = run_interleaved(u, operators.collect())?;
        store.apply_all_delayed();

        let history = history(&changes);
        let revisions = store.document_revisions();
        assert!(revisions.is_sorted_by(|a, b| a < b), "{revisions:?}");
        assert!(
            revisions.iter().eq(history.keys()),
            "a write without its record"
        );
        let ids: BTreeSet<_> = history.values().map(|record| &record.id).collect();
        assert_eq!(ids.len(), history.len(), "an id was applied twice");
        for outcome in &outcomes {
            let made = history.iter().find(|(_, record)| record.id == outcome.id);
            match outcome.accepted {
                Some(revision) => assert_eq!(made.map(|(made, _)| *made), Some(revision)),
                None => assert!(
                    outcome.ambiguous || made.is_none(),
                    "{outcome:?} but it was made"
                ),
            }
        }
        // Applying the recorded changes in order to an empty configuration gives the document: none
        // is lost, and each accepted one is there unless a later one replaced it.
        let mut model = FleetConfig::default();
        for record in history.values() {
            let change = &by_id[record.id.as_str()];
            model = apply_change(&model, change, &record.author, &record.reason, NOW)
                .expect("the change is valid");
        }
        let current = block_on(changes.current()).expect("the document can be read");
        assert_eq!(current.document.config, model);
        Ok(1)
    });
}

/// Guards against a change that is treated as a repetition although its content differs.
#[test]
fn an_id_stands_for_one_change() {
    let changes = ConfigChanges::new(Arc::new(MemoryStore::default()));
    let req = |value, base| {
        ChangeRequest::builder()
            .id(ChangeId::new("c1").expect("a valid id"))
            .author("ada")
            .reason("slow checkpoints")
            .based_on(Revision(base))
            .change(ConfigChange::SetDefault {
                key: DefaultKey::MaxAttempts,
                value,
            })
            .build()
    };
    let first = block_on(changes.apply(&req(5, 0), NOW)).expect("the change is valid");
    assert!(!first.repeated);
    for base in [0, first.revision.0] {
        let again =
            block_on(changes.apply(&req(5, base), NOW)).expect("the repeated request is accepted");
        assert!(again.repeated);
        assert_eq!(again.revision, first.revision);
    }
    let other = block_on(changes.apply(&req(6, first.revision.0), NOW));
    let error = other.expect_err("the id is taken").to_error();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert!(error.message.contains("c1"), "{error}");
}

/// Guards against a conflict response that omits the changes made since.
#[test]
fn a_stale_change_shows_what_changed_since() {
    let changes = ConfigChanges::new(Arc::new(MemoryStore::default()));
    let set = |id: &str, value, base| {
        let req = ChangeRequest::builder()
            .id(ChangeId::new(id).expect("a valid id"))
            .author("ada")
            .reason("test")
            .based_on(base)
            .change(ConfigChange::SetDefault {
                key: DefaultKey::MaxAttempts,
                value,
            })
            .build();
        block_on(changes.apply(&req, NOW))
    };
    let first = set("c1", 5, Revision(0))
        .expect("the change is valid")
        .revision;
    let second = set("c2", 6, first).expect("the change is valid").revision;
    let Err(ChangeFailure::Stale(stale)) = set("c3", 7, first) else {
        panic!("a change on a stale revision was accepted");
    };
    assert_eq!(stale.current.revision, second);
    assert!(stale.complete);
    let since: Vec<_> = stale.changed_since.iter().map(|r| r.id.as_str()).collect();
    assert_eq!(since, ["c2"]);
    let effects = &stale.changed_since[0].effects;
    assert_eq!(&*effects[0], "Default max_attempts changes from 5 to 6.");
}

/// Guards against changes that are based on a configuration that has reverted with its store.
#[test]
fn a_store_that_has_reverted_accepts_no_changes() {
    let known = Arc::new(|| Revision(7));
    let changes = ConfigChanges::new(Arc::new(MemoryStore::default())).with_known_revision(known);
    let req = ChangeRequest::builder()
        .id(ChangeId::new("c1").expect("a valid id"))
        .author("ada")
        .reason("test")
        .based_on(Revision(0))
        .change(ConfigChange::SetDefault {
            key: DefaultKey::MaxAttempts,
            value: 5,
        })
        .build();
    for refused in [
        block_on(changes.apply(&req, NOW)).map(drop),
        block_on(changes.dry_run(&req, NOW)).map(drop),
    ] {
        let error = refused.expect_err("the store has reverted").to_error();
        assert_eq!(error.verdict, Verdict::NotRun);
        assert!(error.message.contains("store_regressed"), "{error}");
    }
    assert!(history(&changes).is_empty());
}
