//! Weighted max-min division.

/// Divides `capacity` by weight, so that nobody gets more than it asks for and what one leaves goes to the
/// others.
///
/// ```
/// use hemlockford_core::slots::max_min_shares;
/// // A noisy customer and two quiet ones of equal weight.
/// assert_eq!(max_min_shares(40.0, &[(400.0, 1.0), (4.0, 1.0), (6.0, 1.0)]), [30.0, 4.0, 6.0]);
/// ```
pub fn max_min_shares(capacity: f64, allotments: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..allotments.len()).collect();
    let saturation = |index: &usize| allotments[*index].0 / allotments[*index].1;
    order.sort_by(|a, b| saturation(a).total_cmp(&saturation(b)));
    let mut weight: f64 = allotments.iter().map(|allotment| allotment.1).sum();
    let mut left = capacity;
    let mut parts = vec![0.0; allotments.len()];
    for index in order {
        let (asked, own) = allotments[index];
        parts[index] = asked.min(left * own / weight);
        left -= parts[index];
        weight -= own;
    }
    parts
}
