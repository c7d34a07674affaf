//! Arithmetic on numbers that other processes have chosen.
//!
//! Reports, entries and headers may hold any number that their type allows. Checked arithmetic would end the process
//! on some of them, and wrapping arithmetic turn the largest number into a small one.

use std::time::Duration;

/// Longest time that is computed: far above all that matters, and so short that a clock reading and many such times
/// can be added up.
pub(crate) const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 3600);

/// Sum of numbers, at most the largest one of the type.
pub(crate) fn sum(numbers: impl IntoIterator<Item = u32>) -> u32 {
    numbers.into_iter().fold(0, u32::saturating_add)
}

/// Adds a number to a sum.
pub(crate) fn add(sum: &mut u32, n: u32) {
    *sum = sum.saturating_add(n);
}

/// Time of so many seconds, from none to [`MAX_DURATION`]; none if it is not a number.
pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0).min(MAX_DURATION.as_secs_f64()))
}

/// A multiple of a time, within the bounds of [`seconds`].
pub(crate) fn multiple(time: Duration, factor: f64) -> Duration {
    seconds(time.as_secs_f64() * factor)
}
