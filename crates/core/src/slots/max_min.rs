//! Weighted max-min fairness.

/// Divides `capacity` by weighted max-min fairness: no share exceeds its demand, and unused capacity is redistributed to
/// the others. `demands` contains the demand and weight of each participant.
///
/// ```
/// use hemlockford_core::slots::max_min_shares;
/// // One customer with a high load and two with a low load, all of equal weight.
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
