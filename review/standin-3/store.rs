//! The platform's store: tables of rows, conditional transactions and a change feed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::json::Json;
use crate::json::base64;
use crate::json::quote;
use crate::wire::Answer;
use crate::wire::Message;
use crate::wire::Server;

/// Time that a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(3);

const MAX_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

type Key = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

/// What ails the store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    #[default]
    Sound,
    /// It answers 503 and does nothing.
    Busy,
    /// It neither answers nor does anything.
    Silent,
    /// It does a third of the writes and doesn't answer them.
    Loses,
    /// It does a third of the writes 1 to 4 s later, if their conditions still hold, and doesn't answer them.
    Late,
    /// Answers take 240 ms.
    Slow,
}

pub struct Store {
    pub mood: Mutex<Mood>,
    /// Whether it turns a node away, with 503, by the node's index.
    pub refused: Vec<AtomicBool>,
    /// The node that last wrote under a condition.
    writer: AtomicUsize,
    random: AtomicU64,
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
}

impl Store {
    /// A store that serves each node at an address of its own, so that it can turn some away.
    pub fn open(addresses: &[SocketAddr]) -> (Arc<Self>, Vec<Arc<Server>>) {
        let store = Arc::new(Self {
            refused: addresses.iter().map(|_| AtomicBool::new(false)).collect(),
            writer: AtomicUsize::new(usize::MAX),
            mood: Mutex::default(),
            random: AtomicU64::new(1),
            state: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let servers = addresses.iter().enumerate().map(|(node, &address)| {
            let serving = Arc::clone(&store);
            Server::open(address, move |request| serving.handle(node, request))
        });
        let servers = servers.collect();
        (store, servers)
    }

    fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis() + 1_000
    }

    /// Writes a row of the empty partition, as the operator and the runners do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let row = (Some(base64(value.as_bytes())), version);
        state.rows.insert((table.to_owned(), String::new(), key.to_owned()), row);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes a row of the empty partition.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), String::new(), key.to_owned()), (None, version));
        drop(state);
        self.changed.notify_all();
    }

    /// Index of the node that last wrote under a condition.
    pub fn writer(&self) -> Option<usize> {
        Some(self.writer.load(Ordering::SeqCst)).filter(|&node| node < self.refused.len())
    }

    fn handle(&self, node: usize, request: &Message) -> Answer {
        if self.refused[node].load(Ordering::SeqCst) {
            return Some((503, String::new()));
        }
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent(value)))
            .collect();
        let mood = *self.mood.lock().unwrap();
        let mut state = self.random.fetch_add(1, Ordering::SeqCst);
        let drawn = crate::cases::draw(&mut state, 300);
        match mood {
            Mood::Busy => return Some((503, String::new())),
            Mood::Silent => {
                std::thread::sleep(Duration::from_secs(3));
                return None;
            }
            Mood::Loses if path == "/rows-tx" && drawn < 100 => {
                self.transact(node, &request.body);
                std::thread::sleep(Duration::from_secs(3));
                return None;
            }
            Mood::Late if path == "/rows-tx" && drawn < 100 => {
                std::thread::sleep(Duration::from_millis(1_000 + drawn * 30));
                self.transact(node, &request.body);
                return None;
            }
            Mood::Slow => std::thread::sleep(Duration::from_millis(240)),
            _ => {}
        }
        match path {
            "/rows-tx" => Some(self.transact(node, &request.body)),
            "/rows-get" => Some(self.read(&query)),
            "/rows-feed" => Some(self.feed(&query)),
            _ => Some((404, String::new())),
        }
    }

    fn respond(&self, state: &State, rows: &str, more: bool) -> String {
        format!(
            "{{\"rows\":[{rows}],\"hasMore\":{more},\"rowVersion\":{},\"nowMs\":{}}}",
            state.version,
            self.now_ms()
        )
    }

    fn transact(&self, node: usize, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        std::thread::sleep(TRANSACTION);
        let key = |row: &Json| -> Key {
            let text = |name: &str| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.state.lock().unwrap();
        let conditions = call.get("expectedRev").list();
        let (puts, removed) = (call.get("puts").list(), call.get("remove").list());
        let met = conditions.iter().all(|row| {
            let known = state.rows.get(&key(row)).filter(|(value, _)| value.is_some());
            known.map_or(0, |(_, version)| *version) == row.get("rowVersion").whole()
        });
        if !met {
            let rows: Vec<String> = conditions
                .iter()
                .filter_map(|row| {
                    let key = key(row);
                    state.rows.get(&key).map(|row| encode(&key, row))
                })
                .collect();
            return (412, self.respond(&state, &rows.join(","), false));
        }
        let long = puts.iter().any(|row| row.get("value").text().len() > 65_536 / 3 * 4 + 4);
        if long || conditions.len() + puts.len() + removed.len() > 100 || body.len() > 1_048_576 {
            return (400, "{}".to_owned());
        }
        state.version += 1;
        if !conditions.is_empty() {
            self.writer.store(node, Ordering::SeqCst);
        }
        let version = state.version;
        for row in puts {
            let value = row.get("value").text().to_owned();
            state.rows.insert(key(row), (Some(value), version));
        }
        for row in removed {
            state.rows.insert(key(row), (None, version));
        }
        let answer = self.respond(&state, "", false);
        drop(state);
        self.changed.notify_all();
        (200, answer)
    }

    fn read(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit = get("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let target = get("target");
        let (table, part) = (get("table"), get("part"));
        let state = self.state.lock().unwrap();
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, row) in state.rows.range((table.clone(), part.clone(), get("from"))..) {
            if key.0 != table || key.1 != part || (!target.is_empty() && key.2 >= target) {
                break;
            }
            let Some(value) = &row.0 else { continue };
            if rows.len() >= limit || (!rows.is_empty() && bytes + value.len() > MAX_PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += value.len();
            rows.push(encode(key, row));
        }
        (200, self.respond(&state, &rows.join(","), more))
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let table = query.get("table").cloned().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let first = (table.clone(), String::new(), String::new());
            let of_table = state.rows.range(first..).take_while(|(key, _)| key.0 == table);
            let mut changed: Vec<(u64, Key)> = of_table
                .filter(|(_, row)| row.1 > after)
                .map(|(key, row)| (row.1, key.clone()))
                .collect();
            changed.sort();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows = changed.iter().map(|(_, key)| encode(key, &state.rows[key]));
                let rows: Vec<String> = rows.collect();
                return (200, self.respond(&state, &rows.join(","), false));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn encode(key: &Key, row: &(Option<String>, u64)) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    let rest = match &row.0 {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{name},\"rowVersion\":{},{rest}}}", row.1)
}

fn percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
