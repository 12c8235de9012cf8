//! Weighted max-min division.

/// Divides `capacity` by weight, so that nobody gets more than it asks for and what one leaves goes to the
/// others.
///
/// ```
/// use hemlockford_core::slots::max_min_shares;
/// // A noisy customer and two quiet ones of equal weight.
/// assert_eq!(max_min_shares(40.0, &[(400.0, 1.0), (4.0, 1.0), (6.0, 1.0)]), [30.0, 4.0, 6.0]);
/// ```
pub fn max_min_shares(capacity: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let saturation = |index: &usize| demands[*index].0 / demands[*index].1;
    order.sort_by(|a, b| saturation(a).total_cmp(&saturation(b)));
    let mut total_weight: f64 = demands.iter().map(|demand| demand.1).sum();
    let mut remaining = capacity;
    let mut shares = vec![0.0; demands.len()];
    for index in order {
        let (demand, own_weight) = demands[index];
        shares[index] = demand.min(remaining * own_weight / total_weight);
        remaining -= shares[index];
        total_weight -= own_weight;
    }
    shares
}
