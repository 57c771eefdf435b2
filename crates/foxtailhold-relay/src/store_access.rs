//! The paths on which an answer of the store reaches this instance.

use std::fmt;
use std::net::SocketAddr;

/// How an answer of the store reached this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAccess {
    /// From the store itself.
    Direct,
    /// Through the instance with this peer address.
    Peer(SocketAddr),
}

impl StoreAccess {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            StoreAccess::Direct => "direct",
            StoreAccess::Peer(_) => "peer",
        }
    }
}

impl fmt::Display for StoreAccess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreAccess::Direct => f.write_str("direct"),
            StoreAccess::Peer(address) => write!(f, "through {address}"),
        }
    }
}
