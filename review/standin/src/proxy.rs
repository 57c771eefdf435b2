//! A proxy between one instance and the platform's store. It can make a connection silent: nothing
//! passes any more and nothing is closed, while new connections work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::Result;
use crate::record::Record;

const BUFFER_BYTES: usize = 64 << 10;
/// Bytes at the start of a request in which its target stands.
const TARGET_BYTES: usize = 200;

/// An open connection.
#[derive(Debug, Default)]
struct Connection {
    /// Start of the last request.
    request: Mutex<String>,
    is_silent: AtomicBool,
    is_closed: AtomicBool,
}

impl Connection {
    fn request(&self) -> MutexGuard<'_, String> {
        self.request.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The proxy; clones share its connections.
#[derive(Debug, Clone, Default)]
pub struct Proxy {
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
}

impl Proxy {
    /// Listens on a free loopback port and forwards to `target`.
    pub async fn start(target: SocketAddr, record: &Record) -> Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let proxy = Proxy::default();
        tokio::spawn(proxy.clone().accept(listener, target, record.clone()));
        Ok((proxy, address))
    }

    fn connections(&self) -> MutexGuard<'_, Vec<Arc<Connection>>> {
        let connections = self.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr, record: Record) {
        loop {
            let accepted = listener.accept().await;
            let opened = match accepted {
                Ok((client, _)) => TcpStream::connect(target)
                    .await
                    .map(|store| (client, store)),
                Err(error) => Err(error),
            };
            let (client, store) = match opened {
                Ok(opened) => opened,
                Err(error) => {
                    record.line(format!("the proxy cannot open a connection: {error}"));
                    continue;
                }
            };
            let connection = Arc::new(Connection::default());
            self.connections().push(Arc::clone(&connection));
            tokio::spawn(forward_both(connection, client, store));
        }
    }

    /// Number of open connections that are not silent.
    pub fn open(&self) -> usize {
        let is_open = |connection: &&Arc<Connection>| {
            !connection.is_closed.load(Ordering::Relaxed)
                && !connection.is_silent.load(Ordering::Relaxed)
        };
        self.connections().iter().filter(is_open).count()
    }

    /// Makes the connections silent whose last request holds `target`; returns their number.
    pub fn silence(&self, target: &str) -> usize {
        let mut count = 0;
        for connection in self.connections().iter() {
            let is_open = !connection.is_closed.load(Ordering::Relaxed);
            if is_open && connection.request().contains(target) {
                connection.is_silent.store(true, Ordering::Relaxed);
                count += 1;
            }
        }
        count
    }
}

async fn forward_both(connection: Arc<Connection>, client: TcpStream, store: TcpStream) {
    let (client_in, client_out) = client.into_split();
    let (store_in, store_out) = store.into_split();
    let requests = forward(&connection, client_in, store_out, true);
    let answers = forward(&connection, store_in, client_out, false);
    tokio::select! {
        () = requests => {}
        () = answers => {}
    }
    connection.is_closed.store(true, Ordering::Relaxed);
}

/// Forwards until one side closes. A silent connection stays open and drops what comes.
async fn forward(
    connection: &Connection,
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    is_request: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(count) if count > 0 => count,
            // An end of either side is passed on by closing both.
            _ => return,
        };
        if is_request {
            let start = &buffer[..count.min(TARGET_BYTES)];
            *connection.request() = String::from_utf8_lossy(start).into_owned();
        }
        if connection.is_silent.load(Ordering::Relaxed) {
            continue;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
