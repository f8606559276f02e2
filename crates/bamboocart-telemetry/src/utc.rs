//! Points in time as RFC 3339 text.

use std::time::{Duration, SystemTime};

/// The number of seconds in a day.
const DAY_S: u64 = 86_400;

/// The number of days in 400 years, after which the Gregorian calendar repeats.
const ERA_DAYS: u64 = 146_097;

/// The number of days from 0000-03-01 to 1970-01-01.
///
/// Years are counted from March, so that a leap day is the last day of its year.
const EPOCH_DAYS: u64 = 719_468;

/// Formats a time as RFC 3339, in UTC with microseconds.
///
/// A time before the Unix epoch is shown as the epoch.
pub fn rfc3339(time: SystemTime) -> String {
    let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH);
    let since_epoch = since_epoch.unwrap_or(Duration::ZERO);
    let (year, month, day) = civil(since_epoch.as_secs() / DAY_S);
    let second = since_epoch.as_secs() % DAY_S;
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:06}Z",
        second / 3_600,
        second / 60 % 60,
        second % 60,
        since_epoch.subsec_micros()
    )
}

/// Converts a number of days since the Unix epoch to year, month and day.
fn civil(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let era = days / ERA_DAYS;
    let day_of_era = days % ERA_DAYS;
    let year_of_era = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524
        - day_of_era / 146_096)
        / 365;
    let day_of_year =
        day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    // From March on, every five months have 153 days.
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    match month {
        0..=9 => (era * 400 + year_of_era, month + 3, day),
        _ => (era * 400 + year_of_era + 1, month - 9, day),
    }
}
