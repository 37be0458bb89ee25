//! Operators that change the configuration at the same time over a store that fails.

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

/// Requests that one operator sends for one change at most.
const MAX_TRIES: usize = 6;

/// What an operator was told about one change.
#[derive(Debug)]
struct Told {
    id: ChangeId,
    accepted: Option<Revision>,
    /// True if an answer left open whether the change was made.
    open: bool,
}

/// A few exceptions on common ids, so that operators add, repeat and remove the same ones.
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

async fn operate(
    changes: &ConfigChanges<MemoryStore>,
    name: String,
    wanted: Vec<ConfigChange>,
) -> Vec<Told> {
    let mut told = Vec::new();
    for (number, change) in wanted.into_iter().enumerate() {
        let id = ChangeId::new(format!("{name}-{number}")).expect("a valid id");
        told.push(change_until_told(changes, id, &name, change).await);
    }
    told
}

/// Sends one change under one id until it is accepted or refused for good.
async fn change_until_told(
    changes: &ConfigChanges<MemoryStore>,
    id: ChangeId,
    author: &str,
    change: ConfigChange,
) -> Told {
    let mut told = Told {
        id: id.clone(),
        accepted: None,
        open: false,
    };
    for _ in 0..MAX_TRIES {
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
                told.accepted = Some(accepted.revision);
                return told;
            }
            Err(ChangeFailure::Stale(stale)) => assert!(stale.current.revision != req.based_on),
            Err(ChangeFailure::Refused(error)) => {
                told.open |= error.verdict != Verdict::NotRun;
            }
        }
    }
    told
}

/// Polls the operators in an arbitrary order until all have ended.
fn run_interleaved<'a>(
    u: &mut Unstructured<'_>,
    operators: Vec<Pin<Box<dyn Future<Output = Vec<Told>> + 'a>>>,
) -> arbtest::arbitrary::Result<Vec<Told>> {
    let mut running = operators;
    let mut told = Vec::new();
    let mut cx = Context::from_waker(Waker::noop());
    while !running.is_empty() {
        let index = u.choose_index(running.len())?;
        if let std::task::Poll::Ready(part) = running[index].as_mut().poll(&mut cx) {
            told.extend(part);
            drop(running.swap_remove(index));
        }
    }
    Ok(told)
}

/// Runs a future over a store that never waits for anything but its turn.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let mut future = Box::pin(future);
    let mut cx = Context::from_waker(Waker::noop());
    for _ in 0..10_000 {
        if let std::task::Poll::Ready(value) = future.as_mut().poll(&mut cx) {
            return value;
        }
    }
    panic!("the future didn't end within 10000 polls");
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

/// Guards against lost updates, changes that are applied twice, documents that go back, and
/// answers that aren't true, when operators race and the store loses requests and answers.
#[test]
fn accepted_changes_last_and_are_applied_once() {
    let run = PropertyTest::new("racing operators").with_seeds(200);
    run.run(|u| {
        let mut wanted: Vec<Vec<ConfigChange>> = Vec::new();
        for _ in 0..u.int_in_range(1..=3)? {
            let count = u.int_in_range(1..=4)?;
            wanted.push(
                (0..count)
                    .map(|_| any_change(u))
                    .collect::<Result<_, _>>()?,
            );
        }
        let faults: Vec<Fault> = (0..40).map(|_| any_fault(u)).collect::<Result<_, _>>()?;
        let store = Arc::new(MemoryStore::default().with_faults(faults));
        let changes = ConfigChanges::new(Arc::clone(&store));
        let by_id: BTreeMap<String, ConfigChange> = wanted
            .iter()
            .enumerate()
            .flat_map(|(operator, list)| {
                let named = list.iter().cloned().enumerate();
                named.map(move |(number, change)| (format!("op{operator}-{number}"), change))
            })
            .collect();
        let operators = wanted.into_iter().enumerate().map(|(number, wanted)| {
            let operator = operate(&changes, format!("op{number}"), wanted);
            Box::pin(operator) as Pin<Box<dyn Future<Output = Vec<Told>>>>
        });
        let told = run_interleaved(u, operators.collect())?;
        store.settle();

        let history = history(&changes);
        let revisions = store.document_revisions();
        assert!(revisions.is_sorted_by(|a, b| a < b), "{revisions:?}");
        assert!(
            revisions.iter().eq(history.keys()),
            "a write without its record"
        );
        let ids: BTreeSet<_> = history.values().map(|record| &record.id).collect();
        assert_eq!(ids.len(), history.len(), "an id was applied twice");
        for told in &told {
            let made = history.iter().find(|(_, record)| record.id == told.id);
            match told.accepted {
                Some(revision) => assert_eq!(made.map(|(made, _)| *made), Some(revision)),
                None => assert!(told.open || made.is_none(), "{told:?} but it was made"),
            }
        }
        // The document is what the recorded changes make of nothing, in their order: none is
        // lost, and each accepted one is there unless a later one replaced it.
        let mut model = FleetConfig::default();
        for record in history.values() {
            let change = &by_id[record.id.as_str()];
            model =
                apply_change(&model, change, &record.author, &record.reason, NOW).expect("it fits");
        }
        let current = block_on(changes.current()).expect("the document can be read");
        assert_eq!(current.document.config, model);
        Ok(1)
    });
}

/// Guards against an id that is taken for a repetition although it asks for something else.
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
    let first = block_on(changes.apply(&req(5, 0), NOW)).expect("it fits");
    assert!(!first.repeated);
    for base in [0, first.revision.0] {
        let again = block_on(changes.apply(&req(5, base), NOW)).expect("it is a repetition");
        assert!(again.repeated);
        assert_eq!(again.revision, first.revision);
    }
    let other = block_on(changes.apply(&req(6, first.revision.0), NOW));
    let error = other.expect_err("the id is taken").to_error();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert!(error.message.contains("c1"), "{error}");
}

/// Guards against a conflict that hides what changed meanwhile.
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
    let first = set("c1", 5, Revision(0)).expect("it fits").revision;
    let second = set("c2", 6, first).expect("it fits").revision;
    let Err(ChangeFailure::Stale(stale)) = set("c3", 7, first) else {
        panic!("a change on a stale revision was let through");
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
fn a_store_that_has_gone_back_takes_no_changes() {
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
        let error = refused.expect_err("the store has gone back").to_error();
        assert_eq!(error.verdict, Verdict::NotRun);
        assert!(error.message.contains("store_regressed"), "{error}");
    }
    assert!(history(&changes).is_empty());
}
