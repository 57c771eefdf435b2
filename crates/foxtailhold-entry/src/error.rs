//! Errors of an instance's start and stop.

use foxtailhold_http::server::ServerError;
use foxtailhold_peer::PeerError;
use miette::Diagnostic;
use thiserror::Error;

/// Result of starting or stopping an instance.
pub type Result<T> = std::result::Result<T, EntryError>;

/// Why an instance could not start or stop.
#[derive(Debug, Error, Diagnostic)]
pub enum EntryError {
    /// An HTTP listener failed.
    #[error(transparent)]
    #[diagnostic(help("is another process on that port?"))]
    Server(#[from] ServerError),
    /// The peer listener failed.
    #[error(transparent)]
    #[diagnostic(help("is another process on that port?"))]
    Peer(#[from] PeerError),
    /// An actor did not start.
    #[error("an actor could not be started: {0}")]
    Spawn(#[from] ractor::SpawnErr),
    /// A socket or signal handler could not be set up.
    #[error("signals cannot be received: {0}")]
    Signal(#[from] std::io::Error),
    /// Requests were still in flight when the planned stop reached its time limit; they were
    /// aborted.
    #[error("requests were still in flight {stop_wait_ms} ms after the stop began")]
    #[diagnostic(help("raise --stop-wait-ms above the longest answer"))]
    CutRequests {
        /// Time limit of the planned stop.
        stop_wait_ms: u64,
    },
}
