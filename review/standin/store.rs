//! The platform's metadata store: items, conditional transactions and leases in memory.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reply;
use crate::http::Request;
use crate::http::Service;
use crate::json::Json;
use crate::json::base64;
use crate::json::quote;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// The store; all calls are answered at once.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let before = self.items.len();
        self.items.retain(|_, item| item.lease != lease);
        if self.items.len() != before {
            self.rev += 1;
        }
        known
    }

    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            rev,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn row(&self, key: &str) -> String {
        let item = &self.items[key];
        format!(
            "{{\"key\":{},\"value\":{},\"rev\":{},\"created\":{},\"lease\":{}}}",
            quote(key),
            quote(&item.value),
            item.rev,
            item.created,
            item.lease
        )
    }

    fn transaction(&mut self, req: &Json) -> (u16, String) {
        let conditions = req.get("expected_rev").items();
        let holds = conditions.iter().all(|row| {
            let present = self
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.rev);
            present == row.get("rev").number()
        });
        if !holds {
            let keys = conditions.iter().map(|row| row.get("key").text());
            let rows: Vec<_> = keys
                .filter(|key| self.items.contains_key(*key))
                .map(|key| self.row(key))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        let puts = req.get("puts").items();
        let mut leases = puts.iter().map(|row| row.get("lease").number());
        if leases.any(|lease| lease != 0 && !self.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        self.rev += 1;
        for row in puts {
            self.put(
                row.get("key").text(),
                row.get("value").text(),
                row.get("lease").number(),
            );
        }
        for key in req.get("deletes").items() {
            self.items.remove(key.text());
        }
        (200, format!("{{\"rev\":{}}}", self.rev))
    }
}

impl Store {
    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        state.put(key, &base64(value), 0);
    }

    fn handle(&self, req: &Request) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let path = req.path.strip_prefix("/rattanwinch/").unwrap_or_default();
        let body = Json::parse(&req.body);
        match path.split_once('/').unwrap_or((path, "")) {
            ("kv-key", _) => {
                let key = req.query("key").unwrap_or_default();
                if state.items.contains_key(key) {
                    let row = state.row(key);
                    let rest = row.strip_suffix('}').unwrap_or(&row);
                    (200, format!("{rest},\"current_rev\":{}}}", state.rev))
                } else {
                    (404, format!("{{\"current_rev\":{}}}", state.rev))
                }
            }
            ("kv-range", _) => {
                let prefix = req.query("prefix").unwrap_or_default();
                let after = req.query("after").unwrap_or_default();
                let keys = state.items.keys().filter(|key| key.starts_with(prefix));
                let rows = keys
                    .filter(|key| key.as_str() > after)
                    .map(|key| state.row(key));
                let rows: Vec<_> = rows.collect();
                let items = rows.iter().take(500).cloned().collect::<Vec<_>>().join(",");
                let more = rows.len() > 500;
                let rev = state.rev;
                (
                    200,
                    format!("{{\"items\":[{items}],\"has_more\":{more},\"current_rev\":{rev}}}"),
                )
            }
            ("kv-txn", _) => state.transaction(&body),
            ("kv-lease", _) => {
                let ttl_ms = body.get("ttl_ms").number().clamp(1000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("kv-keep", id) => match id.parse().ok().and_then(|id| state.leases.get_mut(&id)) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, "{}".to_owned())
                }
                None => (404, "{}".to_owned()),
            },
            ("kv-lease-end", id) => {
                let ended = id.parse().is_ok_and(|id| state.end_lease(id));
                (if ended { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl Service for Store {
    fn answer(&self, req: &Request) -> Reply {
        let (status, body) = self.handle(req);
        Reply::Answer(status, body)
    }
}
