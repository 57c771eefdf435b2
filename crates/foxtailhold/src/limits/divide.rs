//! Max-min fair division (Bertsekas and Gallager, "Data Networks", 1992, section 6.5).

/// Percentage of the unclaimed part that is spread evenly over all holders.
const UNWANTED_SPREAD_PERCENT: u64 = 90;

/// The claim of one holder in a division.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareClaim {
    /// Amount that the holder could use.
    pub wanted: u32,
    /// Whether this is the holder whose part is computed.
    pub is_requester: bool,
}

/// Computes the requester's part of `whole`, of which `spare` is reserved for later holders. The
/// requester gets what it claims if all claims fit, otherwise an equal part of what smaller claims
/// leave over. Most of the unclaimed part is spread evenly, so that a growing demand finds room at
/// once.
pub fn max_min(whole: u32, spare: u32, claims: &mut [ShareClaim]) -> u32 {
    claims.sort_by_key(|claim| claim.wanted);
    let mut remaining = whole.saturating_sub(spare);
    let mut part = 0;
    for (index, claim) in claims.iter().enumerate() {
        let equal = remaining / (claims.len() - index) as u32;
        let granted = claim.wanted.min(equal);
        remaining -= granted;
        if claim.is_requester {
            part = granted;
        }
    }
    let unwanted = u64::from(remaining) * UNWANTED_SPREAD_PERCENT / 100;
    part + unwanted as u32 / claims.len().max(1) as u32
}
