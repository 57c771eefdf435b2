//! Max-min fair division (Bertsekas and Gallager, "Data Networks", 1992, section 6.5).

/// Of what nobody wants, this part is spread, in percent.
const UNWANTED_SPREAD_PERCENT: u64 = 90;

/// What one of those who share could use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareClaim {
    /// What it could use.
    pub wanted: u32,
    /// Whether it is the one whose part is asked for.
    pub asker: bool,
}

/// The asker's part of `whole`, of which `spare` is kept for those who come next: what it wants
/// where all can be served, otherwise an equal part of what those who want less leave. Of what
/// nobody wants, most is spread evenly, so that a demand that grows finds room at once.
pub fn max_min(whole: u32, spare: u32, claims: &mut [ShareClaim]) -> u32 {
    claims.sort_by_key(|claim| claim.wanted);
    let mut left = whole.saturating_sub(spare);
    let mut part = 0;
    for (index, claim) in claims.iter().enumerate() {
        let equal = left / (claims.len() - index) as u32;
        let given = claim.wanted.min(equal);
        left -= given;
        if claim.asker {
            part = given;
        }
    }
    let unwanted = u64::from(left) * UNWANTED_SPREAD_PERCENT / 100;
    part + unwanted as u32 / claims.len().max(1) as u32
}
