//! Points in time as text.

use std::time::{Duration, SystemTime};

/// Seconds in a day.
const DAY_S: u64 = 86_400;

/// Days in 400 years of the Gregorian calendar.
const ERA_DAYS: u64 = 146_097;

/// Days from 0000-03-01 to 1970-01-01; years from March on end with their leap day.
const EPOCH_DAYS: u64 = 719_468;

/// Returns a time in the format of RFC 3339, in UTC with microseconds.
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

/// Returns year, month and day for a number of days since the Unix epoch.
fn civil(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let era = days / ERA_DAYS;
    let day_of_era = days % ERA_DAYS;
    let year_of_era = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524
        - day_of_era / 146_096)
        / 365;
    let day_of_year =
        day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    // Months from March have 153 days in every five.
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    match month {
        0..=9 => (era * 400 + year_of_era, month + 3, day),
        _ => (era * 400 + year_of_era + 1, month - 9, day),
    }
}
