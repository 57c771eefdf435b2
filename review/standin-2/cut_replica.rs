//! A replica as a process of its own, whose answers have no length and end with their connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http::{read_message, response};
use crate::record::Record;
use crate::replicas::{EVENT_TIME, FIRST_EVENT_TIME, HEARTBEAT, event_count, event_data};
use crate::store::Store;

/// Serves at a port until the process is killed, or its standard input ends.
pub fn serve(id: &str, port: u16) {
    thread::spawn(|| {
        let mut line = String::new();
        // Nothing is ever written there: it ends with the process that started this one.
        let _ = std::io::stdin().read_line(&mut line);
        std::process::exit(0);
    });
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let listener = TcpListener::bind(address).expect("the port is free");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        // The connection has failed: its caller sees it too.
        thread::spawn(move || serve_connection(stream, &id).is_ok());
    }
}

fn serve_connection(stream: TcpStream, id: &str) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let Some(request) = read_message(&mut reader)? else {
        return Ok(());
    };
    let attempt = request.header("attempt-id").unwrap_or("");
    let expected = request.header("expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        let headers = [("Instance-Id", id), ("Connection", "close")];
        return writer.write_all(&response("421 Misdirected Request", &headers, b""));
    }
    let after = request.header("last-event-id");
    let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
    println!("{id} runs {attempt} after {after}");
    thread::sleep(FIRST_EVENT_TIME);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\n\
         Response-Signature: sig.{id}.{attempt}\r\nConnection: close\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for event in after + 1..=event_count(request.header("token-usage").unwrap_or("")) {
        let text = format!("id: {event}\ndata: {}\n\n", event_data(attempt, event));
        writer.write_all(text.as_bytes())?;
        thread::sleep(EVENT_TIME);
    }
    println!("{id} has finished {attempt}");
    Ok(())
}

/// A replica's process, its entry in the store and the lines that it writes.
pub struct CutReplica {
    pub id: String,
    child: Child,
    is_up: Arc<AtomicBool>,
    /// Number of requests that it has begun to run.
    pub begun: Arc<Mutex<usize>>,
}

impl CutReplica {
    /// Starts a replica, which registers itself in the store.
    pub fn start(store: &Store, record: &Record, id: &str, port: u16) -> CutReplica {
        let program = std::env::current_exe().expect("this program has a path");
        let mut child = Command::new(program)
            .args(["replica", id, &port.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("this program can be started");
        let begun = Arc::new(Mutex::new(0));
        let (lines, counted, record) = (child.stdout.take(), Arc::clone(&begun), record.clone());
        thread::spawn(move || {
            let lines = lines.map(BufReader::new).into_iter();
            for line in lines
                .flat_map(std::io::BufRead::lines)
                .map_while(Result::ok)
            {
                record.line(&format!("replica: {line}"));
                let mut begun = counted.lock().unwrap_or_else(PoisonError::into_inner);
                *begun += usize::from(line.contains(" runs "));
            }
        });
        let is_up = Arc::new(AtomicBool::new(true));
        let (store, id) = (store.clone(), id.to_owned());
        let (beating, key) = (Arc::clone(&is_up), id.clone());
        thread::spawn(move || {
            let mut seq = 0;
            while beating.load(Ordering::SeqCst) {
                seq += 1;
                let entry = format!(
                    "{{\"Service\":\"llm\",\"Address\":\"127.0.0.1:{port}\",\"Zone\":\"concord-hall\",\
                     \"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":{seq}}}"
                );
                store.put("servers", &key, Some(&entry));
                thread::sleep(HEARTBEAT);
            }
            // It is removed after three intervals of silence.
            thread::sleep(HEARTBEAT * 2);
            store.put("servers", &key, None);
        });
        CutReplica {
            id,
            child,
            is_up,
            begun,
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.is_up.store(false, Ordering::SeqCst);
        let killed = self.child.kill().and_then(|()| self.child.wait());
        killed.expect("the process is a child of this one");
    }

    /// Number of requests that it has begun to run.
    pub fn begun(&self) -> usize {
        *self.begun.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for CutReplica {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Time for which a replica lets its port rest before it starts again.
pub const DOWN_TIME: Duration = Duration::from_millis(500);
