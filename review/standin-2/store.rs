//! The platform's metadata store, in memory, as PROTOCOL.md describes it. Each process of the site
//! calls it at an address of its own, so that a case knows who calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reply;
use crate::http::Request;
use crate::http::serve;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;

/// Usual time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const MAX_KEY_BYTES: usize = 200;
const MAX_VALUE_BYTES: usize = 1_048_576;
const MAX_ENTRIES: usize = 32;
const PAGE: usize = 500;

struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// Called with each call before it is carried out, with the number of its address.
type Hook = Box<dyn Fn(usize, &Request) + Send + Sync>;

type Loss = Box<dyn Fn(usize, &Request) -> bool + Send + Sync>;

/// Longer than any process waits for an answer.
const UNANSWERED: Duration = Duration::from_secs(100);

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    addresses: Arc<AtomicUsize>,
    /// Tells whether the answer to a call that has been carried out is lost.
    lost: Arc<Mutex<Option<Arc<Loss>>>>,
    before: Arc<Mutex<Option<Arc<Hook>>>>,
    /// Called after a call has been carried out, and before it is answered.
    after: Arc<Mutex<Option<Arc<Hook>>>>,
}

impl Store {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            addresses: Arc::default(),
            lost: Arc::default(),
            before: Arc::default(),
            after: Arc::default(),
        }
    }

    /// Opens a further address.
    pub fn open(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let number = self.addresses.fetch_add(1, Ordering::SeqCst);
        let store = self.clone();
        serve(listener, move |req| store.handle(number, req));
        address
    }

    pub fn set_before(&self, hook: impl Fn(usize, &Request) + Send + Sync + 'static) {
        *self.before.lock().unwrap() = Some(Arc::new(Box::new(hook)));
    }

    pub fn set_after(&self, hook: impl Fn(usize, &Request) + Send + Sync + 'static) {
        *self.after.lock().unwrap() = Some(Arc::new(Box::new(hook)));
    }

    pub fn set_lost(&self, loses: impl Fn(usize, &Request) -> bool + Send + Sync + 'static) {
        *self.lost.lock().unwrap() = Some(Arc::new(Box::new(loses)));
    }

    /// Writes a key as the operator.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        let item = Item {
            value: encode_base64(value.to_string().as_bytes()),
            rev,
            created: rev,
            lease: 0,
        };
        state.items.insert(key.to_owned(), item);
    }

    fn handle(&self, address: usize, req: &Request) -> Reply {
        let hook = self.before.lock().unwrap().clone();
        if let Some(hook) = hook {
            hook(address, req);
        }
        let (status, body) = self.state.lock().unwrap().answer(req);
        let hook = self.after.lock().unwrap().clone();
        if let Some(hook) = hook {
            hook(address, req);
        }
        let loses = self.lost.lock().unwrap().clone();
        if loses.is_some_and(|loses| loses(address, req)) {
            thread::sleep(UNANSWERED);
        }
        thread::sleep(ANSWER_TIME);
        (status, body)
    }
}

/// True if the request writes this key.
pub fn writes_key(req: &Request, key: &str) -> bool {
    let mut puts = req.body.get("puts").list().iter();
    puts.any(|put| put.get("key").text() == key)
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let before = self.items.len();
        self.items.retain(|_, item| item.lease != id || id == 0);
        self.rev += u64::from(self.items.len() < before);
        existed
    }

    fn item(&self, key: &str) -> Json {
        match self.items.get(key) {
            Some(item) => object([
                ("key", text(key)),
                ("value", text(&*item.value)),
                ("rev", number(item.rev)),
                ("created", number(item.created)),
                ("lease", number(item.lease)),
                ("current_rev", number(self.rev)),
            ]),
            None => object([("key", text(key)), ("rev", number(0))]),
        }
    }

    fn answer(&mut self, req: &Request) -> (u16, Json) {
        self.expire();
        let call = req.path.trim_start_matches("/rattanwinch/");
        let (call, id) = call.split_once('/').unwrap_or((call, ""));
        let id = id.parse().unwrap_or(0);
        let missing = object([("current_rev", number(self.rev))]);
        match call {
            "kv-key" if self.items.contains_key(req.param("key")) => {
                (200, self.item(req.param("key")))
            }
            "kv-range" => self.range(req.param("prefix"), req.param("after")),
            "kv-txn" => self.commit(&req.body),
            "kv-lease" => {
                self.next_lease += 1;
                let ttl = Duration::from_millis(req.body.get("ttl_ms").number());
                self.leases
                    .insert(self.next_lease, (ttl, Instant::now() + ttl));
                let granted = [
                    ("lease", number(self.next_lease)),
                    ("ttl_ms", req.body.get("ttl_ms").clone()),
                ];
                (200, object(granted))
            }
            "kv-keep" => match self.leases.get_mut(&id) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, object([]))
                }
                None => (404, object([])),
            },
            "kv-lease-end" if self.end_lease(id) => (200, object([])),
            _ => (404, missing),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Json) {
        let keys = self.items.keys();
        let mut keys = keys.filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let items = keys.by_ref().take(PAGE).map(|key| self.item(key)).collect();
        let fields = [
            ("items", Json::List(items)),
            ("has_more", Json::Bool(keys.next().is_some())),
            ("current_rev", number(self.rev)),
        ];
        (200, object(fields))
    }

    fn commit(&mut self, txn: &Json) -> (u16, Json) {
        let conditions = txn.get("expected_rev").list();
        let puts = txn.get("puts").list();
        let deletes = txn.get("deletes").list();
        if conditions.len() + puts.len() + deletes.len() > MAX_ENTRIES {
            return (400, object([("error", text("too many entries"))]));
        }
        for put in puts {
            let key = put.get("key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, object([]));
            }
            let bytes = put.get("value").text().len() / 4 * 3;
            if key.len() > MAX_KEY_BYTES || bytes > MAX_VALUE_BYTES {
                return (
                    400,
                    object([("error", text("the key or the value is too long"))]),
                );
            }
        }
        let rev_of = |key: &str| self.items.get(key).map_or(0, |item| item.rev);
        let holds =
            |condition: &Json| rev_of(condition.get("key").text()) == condition.get("rev").number();
        if !conditions.iter().all(holds) {
            let items = conditions.iter();
            let items = items.map(|condition| self.item(condition.get("key").text()));
            return (412, object([("items", Json::List(items.collect()))]));
        }
        let has_lease = |put: &Json| {
            let lease = put.get("lease").number();
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, object([]));
        }
        self.rev += 1;
        for put in puts {
            let key = put.get("key").text();
            let item = Item {
                value: put.get("value").text().to_owned(),
                rev: self.rev,
                created: self.items.get(key).map_or(self.rev, |item| item.created),
                lease: put.get("lease").number(),
            };
            self.items.insert(key.to_owned(), item);
        }
        for key in deletes {
            self.items.remove(key.text());
        }
        (200, object([("rev", number(self.rev))]))
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            if position <= chunk.len() {
                let index = (bits >> (18 - 6 * position)) & 63;
                out.push(char::from(ALPHABET[index as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
