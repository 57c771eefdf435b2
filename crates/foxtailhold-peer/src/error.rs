//! Errors of messages to peers.

use std::net::SocketAddr;

use foxtailhold_http::memory::MemoryExhausted;
use thiserror::Error;

/// Result of a message to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Why there is no usable answer from a peer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection could be made, so the peer has not received the message.
    #[error("no connection to peer {address}: {source}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection failed; the peer may have received the message.
    #[error("the h2 connection failed: {0}")]
    Protocol(#[from] h2::Error),
    /// The peer did not answer in time; it may have received the message.
    #[error("peer {address} gave no answer within {timeout_ms} ms")]
    TimedOut {
        /// Address of the peer.
        address: SocketAddr,
        /// Time limit that passed.
        timeout_ms: u64,
    },
    /// A message could not be encoded.
    #[error("the message cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// A message could not be decoded.
    #[error("the message cannot be decoded: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// A message is larger than the limit.
    #[error("the message is over {limit_bytes} bytes")]
    TooLarge {
        /// Size limit.
        limit_bytes: usize,
    },
    /// There is no memory for a message, or it made no progress and others needed its memory.
    #[error("the message is not read: {0}")]
    NoMemory(#[from] MemoryExhausted),
    /// A message stopped before its end.
    #[error("no byte of the message came within {idle_ms} ms")]
    Slow {
        /// Longest pause between two parts of a message.
        idle_ms: u64,
    },
    /// The peer answered with a status other than success.
    #[error("the peer answered with status {status}")]
    Status {
        /// HTTP status code.
        status: u16,
    },
    /// The request could not be built or the answer is of another kind than the request needs.
    #[error("the peer gave an answer of another kind")]
    WrongAnswer,
    /// The listener cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
