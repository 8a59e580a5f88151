//! Max-min fairness: nobody gets more than it wants, and nobody's share can grow but at the cost of a smaller one.

/// Divides `limit` among claimants that want `wanted` each; the result has the order of `wanted`.
pub(super) fn fair_shares(limit: u32, wanted: &[u32]) -> Vec<u32> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|index| (wanted[*index], *index));
    let mut shares = vec![0; wanted.len()];
    let mut left = limit;
    for (served, index) in order.iter().enumerate() {
        let claimants = u32::try_from(wanted.len() - served).unwrap_or(u32::MAX);
        shares[*index] = wanted[*index].min(left / claimants);
        left -= shares[*index];
    }
    shares
}
