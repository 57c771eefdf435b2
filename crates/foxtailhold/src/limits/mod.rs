//! A customer's limits over all instances, without a store write per request.
//!
//! One instance, the home of the customer by rendezvous hashing ([`crate::rendezvous`]), divides
//! the limit: it grants each instance that has requests a share for [`LEASE_MS`], by demand. The
//! holder counts the lease from before it asked, the home from when it was asked, so the holder's
//! ends first. Without a home that answers, an instance falls back to one nth of the limit, where
//! n counts all instances that the platform lists or gossip sees.
//!
//! Shares at any moment add up to at most the whole, and what has gathered in the buckets moves
//! with them, so over any window the instances together admit at most `rate * window + burst`,
//! plus one request for each instance. `docs/design/limits.md` gives the bounds without a home.

mod bucket;
mod coordinator;
mod divide;
mod holder;
mod message;
mod views;

pub use bucket::TokenBucket;
pub use coordinator::LimitCoordinator;
pub use divide::{ShareClaim, max_min};
pub use holder::{LimitDecision, LimitKind, ShareHolder};
pub use message::{
    Credit, CustomerLimits, Demand, FULL_SHARE_PPM, Share, ShareGrant, ShareRequest, ShareRequests,
};
pub use views::MembershipViews;

/// A share is valid for this time after it was asked for.
pub const LEASE_MS: u64 = 3_000;
/// A holder with requests asks this often.
pub const EXCHANGE_MS: u64 = 1_000;
/// A holder asks again this soon where its share is being changed.
pub const FAST_RENEWAL_MS: u64 = 200;
/// A holder without requests for this time gives its share back.
pub const IDLE_MS: u64 = 1_000;
/// Longest time to come back that a limit gives, in milliseconds.
pub const MAX_RETRY_AFTER_MS: u64 = 60_000;
