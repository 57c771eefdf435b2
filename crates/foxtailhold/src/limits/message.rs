//! Messages between share holders and limit coordinators.

use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::ids::{CustomerId, InstanceId};
use crate::limits::TokenBucket;
use crate::time::MonoMs;

/// A whole limit, in millionths.
pub const FULL_SHARE_PPM: u32 = 1_000_000;
/// The burst of the token limit, in seconds of the token rate.
pub const TOKEN_BURST_S: f64 = 2.0;

/// The limits of one contract.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerLimits {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Largest burst of requests.
    pub burst_requests: f64,
    /// Tokens per second.
    pub tokens_per_s: f64,
    /// Largest burst of tokens.
    pub burst_tokens: f64,
    /// Largest number of requests in flight.
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
    /// Part of the request rate and burst, in millionths.
    pub requests_ppm: u32,
    /// Part of the token rate and burst, in millionths.
    pub tokens_ppm: u32,
    /// Number of requests in flight.
    pub slots: u32,
}

impl Share {
    /// Sets a customer's two buckets to this part of its rates and bursts.
    pub fn apply_to_buckets(
        &self,
        limits: &CustomerLimits,
        requests: &mut TokenBucket,
        tokens: &mut TokenBucket,
        now: MonoMs,
    ) {
        let part = f64::from(self.requests_ppm) / f64::from(FULL_SHARE_PPM);
        let (rate_per_s, burst) = (limits.requests_per_s, limits.burst_requests);
        requests.set_rate(rate_per_s * part, burst * part, now);
        let part = f64::from(self.tokens_ppm) / f64::from(FULL_SHARE_PPM);
        let (rate_per_s, burst) = (limits.tokens_per_s, limits.burst_tokens);
        tokens.set_rate(rate_per_s * part, burst * part, now);
    }

    /// Whether the share admits no request, since one of its parts is zero.
    pub fn is_empty(self) -> bool {
        self.requests_ppm == 0 || self.tokens_ppm == 0 || self.slots == 0
    }

    /// The larger value for each limit.
    pub fn max(self, other: Share) -> Share {
        Share {
            requests_ppm: self.requests_ppm.max(other.requests_ppm),
            tokens_ppm: self.tokens_ppm.max(other.tokens_ppm),
            slots: self.slots.max(other.slots),
        }
    }

    /// The smaller value for each limit.
    pub fn min(self, other: Share) -> Share {
        Share {
            requests_ppm: self.requests_ppm.min(other.requests_ppm),
            tokens_ppm: self.tokens_ppm.min(other.tokens_ppm),
            slots: self.slots.min(other.slots),
        }
    }

    /// The sum for each limit, saturating at the largest value.
    pub fn plus(self, other: Share) -> Share {
        Share {
            requests_ppm: self.requests_ppm.saturating_add(other.requests_ppm),
            tokens_ppm: self.tokens_ppm.saturating_add(other.tokens_ppm),
            slots: self.slots.saturating_add(other.slots),
        }
    }

    /// The difference for each limit, saturating at zero.
    pub fn minus(self, other: Share) -> Share {
        Share {
            requests_ppm: self.requests_ppm.saturating_sub(other.requests_ppm),
            tokens_ppm: self.tokens_ppm.saturating_sub(other.tokens_ppm),
            slots: self.slots.saturating_sub(other.slots),
        }
    }

    /// `numerator`/`denominator` of all limits, with the slots rounded up.
    pub fn part(limits: &CustomerLimits, numerator: u32, denominator: u32) -> Share {
        let denominator = u64::from(denominator.max(1));
        let slots = u64::from(limits.slots) * u64::from(numerator);
        let scaled = |whole: u32| (u64::from(whole) * u64::from(numerator) / denominator) as u32;
        Share {
            requests_ppm: scaled(FULL_SHARE_PPM),
            tokens_ppm: scaled(FULL_SHARE_PPM),
            slots: slots.div_ceil(denominator) as u32,
        }
    }
}

/// Bucket levels that move between instances with a share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Credit {
    /// Number of requests.
    pub requests: f64,
    /// Number of tokens.
    pub tokens: f64,
}

/// Demand on a holder since its last share request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests per second, including refused ones.
    pub requests_per_s: f64,
    /// Tokens per second, including those of refused requests.
    pub tokens_per_s: f64,
    /// Largest number of requests that were in flight or refused for lack of a slot.
    pub slots: u32,
    /// Requests in flight now.
    pub in_flight: u32,
}

/// A request for a share of one customer's limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The customer whose limits are shared.
    pub customer: CustomerId,
    /// Increases with each share request of an instance, also over restarts.
    pub number: u64,
    /// The share that the holder has in use, granted by any coordinator.
    pub held: Share,
    /// The demand to serve; `None` returns the share.
    pub demand: Option<Demand>,
    /// Credit returned from the holder's buckets.
    pub returned: Credit,
}

/// The share requests of one instance to one coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareRequests {
    /// The requesting instance.
    pub from: InstanceId,
    /// One request for each customer.
    pub requests: Vec<ShareRequest>,
}

/// A share that is granted for [`crate::limits::LEASE_MS`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The customer whose limits are shared.
    pub customer: CustomerId,
    /// Number of the share request that is answered.
    pub number: u64,
    /// The granted share, which replaces the one in use.
    pub share: Share,
    /// Credit to add to the holder's buckets.
    pub credit: Credit,
    /// Whether the holder should renew after [`crate::limits::FAST_RENEWAL_MS`].
    pub renew_soon: bool,
    /// Whether the share will be raised as soon as other holders have freed capacity.
    pub rising: bool,
}
