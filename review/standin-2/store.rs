//! A stand-in of the platform's store: rows, the change feed and objects.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, percent_decoded, query, read_message, response};
use crate::json::{Json, base64, quoted};

/// Time in which the store answers a call.
const ANSWER_TIME: Duration = Duration::from_millis(2);
/// Limits of one answer with rows.
const MAX_PAGE_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;
/// Limits of a transaction and of a row.
const MAX_CALL_BYTES: usize = 1_000_000;
const MAX_ENTRIES: usize = 100;
const MAX_VALUE_BYTES: usize = 65_536;

type RowId = (String, String, String);

/// Locks the rows; a thread that has panicked left them whole.
fn locked(rows: &Mutex<Rows>) -> MutexGuard<'_, Rows> {
    rows.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowId, (String, u64)>,
    changes: Vec<(u64, RowId, Option<String>)>,
    version: u64,
    blobs: HashMap<String, Vec<u8>>,
}

/// The store; clones share its rows.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Rows>, Condvar)>,
    begun: Instant,
}

impl Store {
    /// An empty store.
    pub fn new() -> Self {
        Store {
            state: Arc::default(),
            begun: Instant::now(),
        }
    }

    /// Writes a row as the operator or a replica does, or deletes it; returns the new version.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> u64 {
        let (lock, changed) = &*self.state;
        let mut rows = locked(lock);
        rows.version += 1;
        let id = (table.to_owned(), String::new(), key.to_owned());
        apply(&mut rows, id, value.map(|value| base64(value.as_bytes())));
        changed.notify_all();
        rows.version
    }

    /// Serves the store at a free port.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                // The connection has failed: its caller sees it too.
                thread::spawn(move || store.serve(stream).is_ok());
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let json = [("Content-Type", "application/json")];
            writer.write_all(&response(status, &json, &body))?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let target = request.target();
        let path = target.split('?').next().unwrap_or("");
        match (request.method(), path) {
            ("POST", "/v1/rows-tx") => self.transaction(&request.body),
            ("GET", "/v1/rows-get") => self.read(target),
            ("GET", "/v1/rows-feed") => self.feed(target),
            (method, path) if path.starts_with("/v1/blob-") => {
                self.blob(method, path, &request.body)
            }
            _ => ("404 Not Found", b"{}".to_vec()),
        }
    }

    fn blob(&self, method: &str, path: &str, body: &[u8]) -> (&'static str, Vec<u8>) {
        let name = percent_decoded(path.rsplit('/').next().unwrap_or(""));
        let mut rows = locked(&self.state.0);
        match method {
            "PUT" => {
                rows.blobs.insert(name, body.to_vec());
                ("200 OK", b"{}".to_vec())
            }
            "GET" => match rows.blobs.get(&name) {
                Some(bytes) => ("200 OK", bytes.clone()),
                None => ("404 Not Found", b"{}".to_vec()),
            },
            _ => {
                rows.blobs.remove(&name);
                ("200 OK", b"{}".to_vec())
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn transaction(&self, body: &[u8]) -> (&'static str, Vec<u8>) {
        let text = String::from_utf8_lossy(body);
        let Some(json) = Json::parse(&text) else {
            return ("400 Bad Request", b"{}".to_vec());
        };
        let entries = ["IfRev", "Writes", "Remove"].map(|name| json.list(name).len());
        let has_large_value = json
            .list("Writes")
            .iter()
            .any(|row| row.text("Value").len() > MAX_VALUE_BYTES);
        if body.len() > MAX_CALL_BYTES
            || entries.iter().sum::<usize>() > MAX_ENTRIES
            || has_large_value
        {
            return ("413 Payload Too Large", b"{}".to_vec());
        }
        let id = |row: &Json| (row.text("Table"), row.text("part"), row.text("Key"));
        let (lock, changed) = &*self.state;
        let mut rows = locked(lock);
        let is_met = json.list("IfRev").iter().all(|row| {
            rows.rows.get(&id(row)).map_or(0, |(_, version)| *version) == row.number("Ver")
        });
        if !is_met {
            let current = json.list("IfRev").iter().filter_map(|row| {
                let id = id(row);
                rows.rows
                    .get(&id)
                    .map(|(value, version)| write_row(&id, Some(value), *version))
            });
            let current: Vec<String> = current.collect();
            let body = format!(
                "{{\"Rows\":[{}],\"Ver\":{},\"NowMs\":{}}}",
                current.join(","),
                rows.version,
                self.now_ms()
            );
            return ("412 Precondition Failed", body.into_bytes());
        }
        rows.version += 1;
        for row in json.list("Writes") {
            apply(&mut rows, id(row), Some(row.text("Value")));
        }
        for row in json.list("Remove") {
            apply(&mut rows, id(row), None);
        }
        changed.notify_all();
        let body = format!("{{\"Ver\":{},\"NowMs\":{}}}", rows.version, self.now_ms());
        ("200 OK", body.into_bytes())
    }

    fn read(&self, target: &str) -> (&'static str, Vec<u8>) {
        let field = |name| query(target, name).unwrap_or_default();
        let (table, part, from, to) = (field("Table"), field("part"), field("From"), field("To"));
        let rows = locked(&self.state.0);
        let found = rows.rows.iter().filter(|(id, _)| {
            id.0 == table && id.1 == part && id.2 >= from && (to.is_empty() || id.2 < to)
        });
        let mut out = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (id, (value, version)) in found {
            if out.len() >= MAX_PAGE_ROWS || bytes > MAX_PAGE_BYTES {
                has_more = true;
                break;
            }
            let row = write_row(id, Some(value), *version);
            bytes += row.len();
            out.push(row);
        }
        let body = format!(
            "{{\"Rows\":[{}],\"HasMore\":{has_more},\"Ver\":{},\"NowMs\":{}}}",
            out.join(","),
            rows.version,
            self.now_ms()
        );
        ("200 OK", body.into_bytes())
    }

    fn feed(&self, target: &str) -> (&'static str, Vec<u8>) {
        let table = query(target, "Table").unwrap_or_default();
        let number = |name| {
            query(target, name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0u64)
        };
        let (after, wait_ms) = (number("After"), number("WaitMs"));
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (lock, changed) = &*self.state;
        let mut rows = locked(lock);
        loop {
            let mut newest: BTreeMap<RowId, (u64, Option<String>)> = BTreeMap::new();
            for (version, id, value) in rows.changes.iter().rev() {
                if *version <= after {
                    break;
                }
                if id.0 == table {
                    newest
                        .entry(id.clone())
                        .or_insert((*version, value.clone()));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if newest.is_empty() && !left.is_zero() {
                let waited = changed.wait_timeout(rows, left);
                rows = waited.unwrap_or_else(PoisonError::into_inner).0;
                continue;
            }
            let mut found: Vec<_> = newest.into_iter().collect();
            found.sort_by_key(|(_, (version, _))| *version);
            let out: Vec<String> = found
                .iter()
                .map(|(id, (version, value))| write_row(id, value.as_deref(), *version))
                .collect();
            let body = format!(
                "{{\"Rows\":[{}],\"Ver\":{},\"NowMs\":{}}}",
                out.join(","),
                rows.version,
                self.now_ms()
            );
            return ("200 OK", body.into_bytes());
        }
    }
}

fn apply(rows: &mut Rows, id: RowId, value: Option<String>) {
    let version = rows.version;
    match &value {
        Some(value) => {
            rows.rows.insert(id.clone(), (value.clone(), version));
        }
        None => {
            rows.rows.remove(&id);
        }
    }
    rows.changes.push((version, id, value));
}

fn write_row(id: &RowId, value: Option<&str>, version: u64) -> String {
    let content = match value {
        Some(value) => format!("\"Value\":{}", quoted(value)),
        None => "\"Tombstone\":true".to_owned(),
    };
    format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},{content},\"Ver\":{version}}}",
        quoted(&id.0),
        quoted(&id.1),
        quoted(&id.2)
    )
}
