//! Enforces a customer's limits over all instances without a store write per request.
//!
//! One instance, the customer's limit coordinator chosen by rendezvous hashing
//! ([`crate::rendezvous`]), divides the limits: it grants each instance that has requests a share
//! for [`LEASE_MS`], according to demand. The holder counts the lease from before it sent the
//! request and the coordinator from when it received it, so the lease ends at the holder first.
//! Without a coordinator that responds, an instance falls back to 1/n of the limit, where n counts
//! all instances that the platform lists or gossip sees.
//!
//! The shares never add up to more than the whole, and the levels of the buckets move with them.
//! Over any period the instances together therefore admit at most `rate * period + burst`, plus one
//! request for each instance. `docs/design/limits.md` gives the bounds without a coordinator.

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

/// A share is valid for this time after it was requested.
pub const LEASE_MS: u64 = 3_000;
/// A holder with requests renews its share this often.
pub const EXCHANGE_MS: u64 = 1_000;
/// A holder renews its share after this time while the share is changing.
pub const FAST_RENEWAL_MS: u64 = 200;
/// A holder without requests for this time returns its share.
pub const IDLE_MS: u64 = 1_000;
/// Longest retry time that a limit returns.
pub const MAX_RETRY_AFTER_MS: u64 = 60_000;
