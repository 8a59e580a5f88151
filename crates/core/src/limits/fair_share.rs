//! Max-min fairness: no claimant gets more than it wants, and no share can grow except at the cost of a smaller one.

/// Divides `limit` among claimants, one for each entry of `wanted`. The shares are in the order of `wanted`.
pub(super) fn fair_shares(limit: u32, wanted: &[u32]) -> Vec<u32> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|index| (wanted[*index], *index));
    let mut shares = vec![0; wanted.len()];
    let mut remaining = limit;
    for (served, index) in order.iter().enumerate() {
        let claimants = u32::try_from(wanted.len() - served).unwrap_or(u32::MAX);
        shares[*index] = wanted[*index].min(remaining / claimants);
        remaining -= shares[*index];
    }
    shares
}
