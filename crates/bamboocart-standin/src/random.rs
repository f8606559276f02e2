//! Distributions that `rand` itself does not provide.

use rand::Rng;

/// Draws from the lognormal distribution with median 1.
///
/// `spread` is the standard deviation of the logarithm; 0 always gives 1.
pub fn lognormal(rng: &mut impl Rng, spread: f64) -> f64 {
    (spread * standard_normal(rng)).exp()
}

/// Draws from the exponential distribution with mean 1.
pub fn exponential(rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn standard_normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    radius * angle.cos()
}
