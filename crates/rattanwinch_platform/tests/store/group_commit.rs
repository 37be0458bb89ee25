//! Property test of group commit: random concurrent transactions, checked against each other and
//! the final state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use arbitrary::Unstructured;
use futures::future::join_all;
use rattanwinch_platform::Condition;
use rattanwinch_platform::EtcdStore;
use rattanwinch_platform::Result;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store as _;
use rattanwinch_platform::StoreSettings;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::TransactionOutcome;
use rattanwinch_platform::Write;
use rattanwinch_platform::keys::Key;
use rattanwinch_standins::StandinStore;
use rattanwinch_standins::StoreFaults;
use rattanwinch_testing::PropertyTest;
use rattanwinch_types::Revision;
use rattanwinch_types::Verdict;

use crate::support::applied;
use crate::support::client;
use crate::support::key;
use crate::support::settings;
use crate::support::start_store;

const KEYS: [&str; 4] = ["a", "b", "c", "d"];

/// The writes of each key by revision: the number of the transaction that put it, or `None` for a
/// deletion.
type Writes = BTreeMap<Key, BTreeMap<Revision, Option<usize>>>;

/// Guards against outcomes that are not serialisable, such as write skew within a group, and
/// against outcomes that are returned for the wrong transaction.
#[test]
fn outcomes_are_serialisable() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let store = runtime.block_on(start_store());
    let client = runtime.block_on(async {
        client(StoreSettings {
            writes_per_second: 250,
            reads_per_second: 1000,
            ..settings(&store)
        })
    });
    let run = PropertyTest::new("group commit").with_seeds(30);
    run.run(|u| {
        runtime.block_on(run_case(u, &store, &client))?;
        Ok(1)
    });
    assert_eq!(store.counts().refused_by_rate, 0);
}

async fn run_case(
    u: &mut Unstructured<'_>,
    store: &StandinStore,
    client: &EtcdStore,
) -> arbitrary::Result<()> {
    let (base, mut writes) = reset(client).await;
    let count = u.int_in_range(2..=16)?;
    let transactions = (1..=count).map(|number| transaction(u, number, base));
    let transactions = transactions.collect::<arbitrary::Result<Vec<_>>>()?;
    store.set_faults(StoreFaults {
        lose_answers: u.int_in_range(0..=1)?,
        ..StoreFaults::default()
    });
    let sent = transactions
        .iter()
        .cloned()
        .map(|transaction| client.transact(transaction));
    let outcomes = join_all(sent).await;
    store.set_faults(StoreFaults::default());
    let unknown = record(&transactions, &outcomes, &mut writes);
    for (transaction, outcome) in transactions.iter().zip(&outcomes) {
        check_outcome(transaction, outcome, &writes, unknown);
    }
    if !unknown {
        for name in KEYS {
            let found = client.read(&key(name)).await.unwrap();
            let found = found.map(|item| (item.revision, parse_number(&item.value)));
            assert_eq!(found, state_before(&writes, &key(name), Revision(i64::MAX)));
        }
    }
    Ok(())
}

/// Puts `a` and `b` as transaction 0 and deletes `c` and `d`.
async fn reset(client: &EtcdStore) -> (Revision, Writes) {
    let start = Transaction::new()
        .with_put(key("a"), *b"0", Retention::Permanent)
        .with_put(key("b"), *b"0", Retention::Permanent)
        .with_delete(key("c"))
        .with_delete(key("d"));
    let base = applied(client.transact(start).await.unwrap());
    let at_base = |name| (key(name), BTreeMap::from([(base, Some(0))]));
    (base, BTreeMap::from([at_base("a"), at_base("b")]))
}

fn transaction(
    u: &mut Unstructured<'_>,
    number: usize,
    base: Revision,
) -> arbitrary::Result<Transaction> {
    let mut transaction = Transaction::new();
    for _ in 0..u.int_in_range(0..=2)? {
        let key = key(u.choose(&KEYS)?);
        transaction = transaction.with_condition(match u.ratio(1, 2)? {
            true => Condition::Absent(key),
            false => Condition::ModifiedAt(key, base),
        });
    }
    let names: BTreeSet<&str> = (0..u.int_in_range(1..=2)?)
        .map(|_| u.choose(&KEYS).copied())
        .collect::<arbitrary::Result<_>>()?;
    // Each transaction puts a key, because one that only deletes absent keys creates no revision.
    for (index, name) in names.into_iter().enumerate() {
        transaction = if index > 0 && u.ratio(1, 2)? {
            transaction.with_delete(key(name))
        } else {
            let value = number.to_string().into_bytes();
            transaction.with_put(key(name), value, Retention::Permanent)
        };
    }
    Ok(transaction)
}

/// Records the writes of the applied transactions; true if any outcome is unknown.
fn record(
    transactions: &[Transaction],
    outcomes: &[Result<TransactionOutcome>],
    writes: &mut Writes,
) -> bool {
    let mut unknown = false;
    for (index, (transaction, outcome)) in transactions.iter().zip(outcomes).enumerate() {
        match outcome {
            Ok(TransactionOutcome::Applied(revision)) => {
                for write in &transaction.writes {
                    let (key, value) = match write {
                        Write::Put { key, .. } => (key, Some(index + 1)),
                        Write::Delete(key) => (key, None),
                    };
                    let of_key = writes.entry(Key::clone(key)).or_default();
                    let other = of_key.insert(*revision, value);
                    assert_eq!(other, None, "{key} was written twice in one group");
                }
            }
            Ok(TransactionOutcome::Conflict(_)) => {}
            Err(error) => unknown |= error.verdict == Verdict::MayHaveRun,
        }
    }
    unknown
}

fn check_outcome(
    transaction: &Transaction,
    outcome: &Result<TransactionOutcome>,
    writes: &Writes,
    unknown: bool,
) {
    match outcome {
        Ok(TransactionOutcome::Applied(revision)) if !unknown => {
            for condition in &transaction.conditions {
                let state = state_before(writes, condition.key(), *revision);
                let found = state.map(|(revision, _)| revision);
                assert!(holds(condition, found), "{condition:?}, found {found:?}");
            }
            for condition in &transaction.conditions {
                let written = writes.get(condition.key());
                let at_once = written.is_some_and(|written| written.contains_key(revision));
                let by_itself = transaction.writes.iter().any(|write| match write {
                    Write::Put { key, .. } | Write::Delete(key) => key == condition.key(),
                });
                assert!(
                    !at_once || by_itself,
                    "{condition:?} was written in the same group"
                );
            }
        }
        Ok(TransactionOutcome::Conflict(found)) => {
            let fails = |condition: &Condition| {
                let item = found.iter().find(|item| item.key == *condition.key());
                !holds(condition, item.map(|item| item.revision))
            };
            assert!(
                transaction.conditions.iter().any(fails),
                "{transaction:?}: {found:?}"
            );
            for item in found.iter().filter(|_| !unknown) {
                let written = writes
                    .get(&item.key)
                    .and_then(|of_key| of_key.get(&item.revision));
                assert_eq!(written, Some(&parse_number(&item.value)));
            }
        }
        _ => {}
    }
}

fn holds(condition: &Condition, found: Option<Revision>) -> bool {
    match condition {
        Condition::Absent(_) => found.is_none(),
        Condition::ModifiedAt(_, revision) => found == Some(*revision),
    }
}

/// Returns the last write of a key before a revision, unless it deleted the key.
fn state_before(writes: &Writes, key: &Key, before: Revision) -> Option<(Revision, Option<usize>)> {
    let (revision, value) = writes.get(key)?.range(..before).next_back()?;
    value.map(|number| (*revision, Some(number)))
}

fn parse_number(value: &[u8]) -> Option<usize> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
