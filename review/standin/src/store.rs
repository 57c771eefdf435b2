//! Stand-in for the platform's store: rows with versions, the change feed and objects, within the
//! limits that the protocol page states.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use foxtailhold_http::body::{self, AnswerBody};
use foxtailhold_http::server::{Handler, Server};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::Result;

/// Limits of one transaction: entries, and bytes of the call.
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1 << 20;
/// Limit of one value (`RowBytes`).
const MAX_ROW_BYTES: usize = 65_536;
/// Limits of one page of rows.
const MAX_PAGE_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;
/// Limit of one object (`BlobBytes`).
const MAX_OBJECT_BYTES: usize = 8 << 20;
/// Time after which a transaction without an answer is done, if it is late.
pub const LATE_MS: u64 = 6_000;
/// Time of one call.
const CALL_MS: u64 = 4;

type RowId = (String, String, String);

#[derive(Debug)]
struct Row {
    value: String,
    version: u64,
}

#[derive(Debug)]
struct Change {
    version: u64,
    id: RowId,
    value: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowId, Row>,
    changes: Vec<Change>,
    version: u64,
    objects: HashMap<String, Bytes>,
    is_down: bool,
    /// The next transaction whose values contain this text is done late and not answered.
    late_text: Option<String>,
    too_large: u64,
}

/// The store; clones share its state.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    started: Instant,
}

fn row_id(row: &Value) -> RowId {
    let field = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (field("Table"), field("part"), field("Key"))
}

fn row_json(id: &RowId, value: Option<&String>, version: u64) -> Value {
    let mut row = json!({"Table": id.0, "part": id.1, "Key": id.2, "Ver": version});
    match value {
        Some(value) => row["Value"] = json!(value),
        None => row["Tombstone"] = json!(true),
    }
    row
}

fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

fn entries<'a>(call: &'a Value, name: &str) -> &'a [Value] {
    call[name].as_array().map_or(&[], Vec::as_slice)
}

fn error(status: StatusCode, text: &str) -> Response<AnswerBody> {
    body::json(status, &json!({ "Error": text }))
}

impl State {
    fn apply(&mut self, id: RowId, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => {
                let value = value.clone();
                self.rows.insert(id.clone(), Row { value, version });
            }
            None => {
                self.rows.remove(&id);
            }
        }
        self.changes.push(Change { version, id, value });
    }
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Self {
        Store {
            state: Arc::default(),
            changed: watch::Sender::new(0),
            started: Instant::now(),
        }
    }

    /// Opens an endpoint on a free loopback port.
    pub async fn listen(&self) -> Result<Server> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(Server::bind(any_port, self.clone()).await?)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row as the operator or a backend server does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut state = self.state();
        state.version += 1;
        let id = (table.to_owned(), String::new(), key.to_owned());
        state.apply(id, Some(BASE64.encode(value.to_string())));
        let version = state.version;
        drop(state);
        self.changed.send_replace(version);
    }

    /// Removes a row as the platform does.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state();
        state.version += 1;
        state.apply((table.to_owned(), String::new(), key.to_owned()), None);
        let version = state.version;
        drop(state);
        self.changed.send_replace(version);
    }

    /// Begins or ends an outage. While it lasts every call is answered 503 and has no effect.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
        self.changed.send_modify(|_| {});
    }

    /// The next transaction with a value that contains `text` gets no answer and is done
    /// [`LATE_MS`] later, if its conditions hold then.
    pub fn delay_next(&self, text: &str) {
        self.state().late_text = Some(text.to_owned());
    }

    fn take_late(&self, bytes: &Bytes) -> bool {
        let mut state = self.state();
        let Some(text) = state.late_text.clone() else {
            return false;
        };
        let call: Value = serde_json::from_slice(bytes).unwrap_or_default();
        let contains = |row: &Value| {
            let value = BASE64.decode(row["Value"].as_str().unwrap_or_default());
            value.is_ok_and(|value| String::from_utf8_lossy(&value).contains(&text))
        };
        let is_late = entries(&call, "Writes").iter().any(contains);
        if is_late {
            state.late_text = None;
        }
        is_late
    }

    /// Number of transactions that were refused because they were too large.
    pub fn too_large(&self) -> u64 {
        self.state().too_large
    }

    fn transact(&self, bytes: &Bytes) -> Response<AnswerBody> {
        let Ok(call) = serde_json::from_slice::<Value>(bytes) else {
            return error(StatusCode::BAD_REQUEST, "the call is not JSON");
        };
        let (expected, writes) = (entries(&call, "IfRev"), entries(&call, "Writes"));
        let removals = entries(&call, "Remove");
        let count = expected.len() + writes.len() + removals.len();
        let mut state = self.state();
        if count > MAX_ENTRIES || bytes.len() > MAX_CALL_BYTES {
            state.too_large += 1;
            let text = "a call holds at most 100 entries and 1 MB";
            return error(StatusCode::PAYLOAD_TOO_LARGE, text);
        }
        let value_bytes = |row: &Value| row["Value"].as_str().map_or(0, str::len) / 4 * 3;
        if writes
            .iter()
            .any(|row| value_bytes(row) > MAX_ROW_BYTES + 2)
        {
            state.too_large += 1;
            return error(StatusCode::PAYLOAD_TOO_LARGE, "a value is over RowBytes");
        }
        let mut holds = true;
        let mut current = Vec::new();
        for row in expected {
            let id = row_id(row);
            let known = state.rows.get(&id);
            holds &= known.map_or(0, |known| known.version) == row["Ver"].as_u64().unwrap_or(0);
            current.extend(known.map(|known| row_json(&id, Some(&known.value), known.version)));
        }
        if !holds {
            let answer = json!({"Rows": current, "Ver": state.version, "NowMs": self.now_ms()});
            return body::json(StatusCode::PRECONDITION_FAILED, &answer);
        }
        state.version += 1;
        for row in writes {
            state.apply(row_id(row), row["Value"].as_str().map(str::to_owned));
        }
        for row in removals {
            state.apply(row_id(row), None);
        }
        let version = state.version;
        drop(state);
        self.changed.send_replace(version);
        let answer = json!({"Ver": version, "NowMs": self.now_ms()});
        body::json(StatusCode::OK, &answer)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn read(&self, query: &HashMap<String, String>) -> Response<AnswerBody> {
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (field("Table"), field("part"), field("From"), field("To"));
        let state = self.state();
        let first = (table.clone(), part.clone(), from);
        let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (id, row) in state.rows.range(first..) {
            if id.0 != table || id.1 != part || (!to.is_empty() && id.2 >= to) {
                break;
            }
            bytes += row.value.len();
            if rows.len() >= MAX_PAGE_ROWS || (bytes > MAX_PAGE_BYTES && !rows.is_empty()) {
                has_more = true;
                break;
            }
            rows.push(row_json(id, Some(&row.value), row.version));
        }
        let answer = json!({
            "Rows": rows, "HasMore": has_more, "Ver": state.version, "NowMs": self.now_ms(),
        });
        body::json(StatusCode::OK, &answer)
    }

    /// Waits for changes. The outage ends the wait.
    async fn feed(&self, query: &HashMap<String, String>) -> Response<AnswerBody> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
        let table = query.get("Table").cloned().unwrap_or_default();
        let (after, wait_ms): (u64, u64) =
            (number("After").unwrap_or(0), number("WaitMs").unwrap_or(0));
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            let (rows, version, is_down) = {
                let state = self.state();
                let first = state
                    .changes
                    .partition_point(|change| change.version <= after);
                let newer = state.changes[first..].iter();
                let newer = newer.filter(|change| change.id.0 == table);
                let rows: Vec<Value> = newer
                    .map(|change| row_json(&change.id, change.value.as_ref(), change.version))
                    .collect();
                (rows, state.version, state.is_down)
            };
            if is_down {
                return error(StatusCode::SERVICE_UNAVAILABLE, "the store is down");
            }
            let is_over = tokio::time::Instant::now() >= until;
            if !rows.is_empty() || is_over {
                let answer = json!({"Rows": rows, "Ver": version, "NowMs": self.now_ms()});
                return body::json(StatusCode::OK, &answer);
            }
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
        }
    }

    fn object(&self, method: &Method, name: &str, bytes: Bytes) -> Response<AnswerBody> {
        let mut state = self.state();
        match *method {
            Method::PUT if bytes.len() > MAX_OBJECT_BYTES => {
                error(StatusCode::PAYLOAD_TOO_LARGE, "an object is over BlobBytes")
            }
            Method::PUT => {
                state.objects.insert(name.to_owned(), bytes);
                body::json(StatusCode::OK, &json!({}))
            }
            Method::DELETE => {
                state.objects.remove(name);
                body::json(StatusCode::OK, &json!({}))
            }
            _ => match state.objects.get(name) {
                Some(bytes) => Response::new(body::whole(bytes.clone())),
                None => body::json(StatusCode::NOT_FOUND, &json!({})),
            },
        }
    }
}

impl Handler for Store {
    async fn handle(&self, _: SocketAddr, request: Request<Incoming>) -> Response<AnswerBody> {
        let (head, incoming) = request.into_parts();
        let bytes = match body::read_whole(incoming, 16 << 20).await {
            Ok(bytes) => bytes,
            Err(cause) => return error(StatusCode::BAD_REQUEST, &cause.to_string()),
        };
        if self.state().is_down {
            return error(StatusCode::SERVICE_UNAVAILABLE, "the store is down");
        }
        tokio::time::sleep(Duration::from_millis(CALL_MS)).await;
        let query: HashMap<String, String> = head
            .uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let path = head.uri.path();
        let object = path
            .strip_prefix("/v1/blob-")
            .and_then(|rest| rest.split_once('/'));
        if path == "/v1/rows-tx" && self.take_late(&bytes) {
            let store = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(LATE_MS)).await;
                store.transact(&bytes);
            });
            return std::future::pending().await;
        }
        match (path, object) {
            ("/v1/rows-tx", _) => self.transact(&bytes),
            ("/v1/rows-get", _) => self.read(&query),
            ("/v1/rows-feed", _) => self.feed(&query).await,
            (_, Some((_, name))) => self.object(&head.method, &decode(name), bytes),
            _ => error(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
