//! What holders of shares and homes say to each other.

use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::ids::{CustomerId, InstanceId};
use crate::limits::TokenBucket;
use crate::time::MonoMs;

/// The whole of a limit, in millionths.
pub const FULL_SHARE_PPM: u32 = 1_000_000;
/// Seconds of the token rate that may be used at once.
pub const TOKEN_BURST_S: f64 = 2.0;

/// A contract's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerLimits {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Requests at once.
    pub burst_requests: f64,
    /// Tokens a second.
    pub tokens_per_s: f64,
    /// Tokens at once.
    pub burst_tokens: f64,
    /// Requests in flight.
    pub slots: u32,
}

impl From<&Contract> for CustomerLimits {
    fn from(contract: &Contract) -> Self {
        CustomerLimits {
            requests_per_s: contract.requests_per_s,
            burst_requests: f64::from(contract.burst_requests),
            tokens_per_s: contract.tokens_per_s,
            burst_tokens: contract.tokens_per_s * TOKEN_BURST_S,
            slots: contract.concurrent_requests,
        }
    }
}

/// A part of a customer's limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Of the request rate and its burst, in millionths.
    pub requests_ppm: u32,
    /// Of the token rate and its burst, in millionths.
    pub tokens_ppm: u32,
    /// Requests in flight.
    pub slots: u32,
}

impl Share {
    /// Sets a customer's two buckets to this part of its rates and bursts.
    pub fn fill(
        &self,
        terms: &CustomerLimits,
        requests: &mut TokenBucket,
        tokens: &mut TokenBucket,
        now: MonoMs,
    ) {
        let part = f64::from(self.requests_ppm) / f64::from(FULL_SHARE_PPM);
        let (rate_per_s, burst) = (terms.requests_per_s, terms.burst_requests);
        requests.set_rate(rate_per_s * part, burst * part, now);
        let part = f64::from(self.tokens_ppm) / f64::from(FULL_SHARE_PPM);
        let (rate_per_s, burst) = (terms.tokens_per_s, terms.burst_tokens);
        tokens.set_rate(rate_per_s * part, burst * part, now);
    }

    /// Whether no request can be admitted on it: one of its parts is nothing.
    pub fn is_empty(self) -> bool {
        self.requests_ppm == 0 || self.tokens_ppm == 0 || self.slots == 0
    }

    /// The larger of the two in each limit.
    pub fn max(self, other: Share) -> Share {
        Share {
            requests_ppm: self.requests_ppm.max(other.requests_ppm),
            tokens_ppm: self.tokens_ppm.max(other.tokens_ppm),
            slots: self.slots.max(other.slots),
        }
    }

    /// The smaller of the two in each limit.
    pub fn min(self, other: Share) -> Share {
        Share {
            requests_ppm: self.requests_ppm.min(other.requests_ppm),
            tokens_ppm: self.tokens_ppm.min(other.tokens_ppm),
            slots: self.slots.min(other.slots),
        }
    }

    /// The sum, held at the largest number.
    pub fn plus(self, other: Share) -> Share {
        Share {
            requests_ppm: self.requests_ppm.saturating_add(other.requests_ppm),
            tokens_ppm: self.tokens_ppm.saturating_add(other.tokens_ppm),
            slots: self.slots.saturating_add(other.slots),
        }
    }

    /// The difference, held at zero.
    pub fn minus(self, other: Share) -> Share {
        Share {
            requests_ppm: self.requests_ppm.saturating_sub(other.requests_ppm),
            tokens_ppm: self.tokens_ppm.saturating_sub(other.tokens_ppm),
            slots: self.slots.saturating_sub(other.slots),
        }
    }

    /// `numerator` parts of `denominator` of the whole; a part of the slots is rounded up.
    pub fn part(terms: &CustomerLimits, numerator: u32, denominator: u32) -> Share {
        let denominator = u64::from(denominator.max(1));
        let slots = u64::from(terms.slots) * u64::from(numerator);
        let of = |whole: u32| (u64::from(whole) * u64::from(numerator) / denominator) as u32;
        Share {
            requests_ppm: of(FULL_SHARE_PPM),
            tokens_ppm: of(FULL_SHARE_PPM),
            slots: slots.div_ceil(denominator) as u32,
        }
    }
}

/// What has gathered in the buckets and moves with a share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Credit {
    /// Requests.
    pub requests: f64,
    /// Tokens.
    pub tokens: f64,
}

/// What came to a holder since it asked last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests a second, with those refused.
    pub requests_per_s: f64,
    /// Tokens a second, with those refused.
    pub tokens_per_s: f64,
    /// Most requests in flight or refused for want of a slot.
    pub slots: u32,
    /// Requests in flight now.
    pub in_flight: u32,
}

/// Asks for a share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// Whose limit.
    pub customer: CustomerId,
    /// Rises with each ask of an instance, over its restarts too.
    pub number: u64,
    /// What the holder holds, from any home.
    pub held: Share,
    /// What it could use; `None` gives the share back.
    pub demand: Option<Demand>,
    /// Given back from the holder's buckets.
    pub returned: Credit,
}

/// The asks of one instance to one home.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareRequests {
    /// The instance.
    pub from: InstanceId,
    /// One for each customer.
    pub requests: Vec<ShareRequest>,
}

/// A share granted for [`crate::limits::LEASE_MS`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Whose limit.
    pub customer: CustomerId,
    /// The ask answered.
    pub number: u64,
    /// The share.
    pub share: Share,
    /// Added to the holder's buckets.
    pub credit: Credit,
    /// Whether the holder should ask again after [`crate::limits::FAST_RENEWAL_MS`].
    pub renew_soon: bool,
    /// Whether more is due to the holder as soon as others have given room.
    pub rising: bool,
}
