//! Formats a log record as a line, and parses lines.

use crate::Identity;
use log::Record;
use log::kv::{self, Key, Value, VisitSource};
use std::fmt::Write;
use std::time::Duration;

const SECONDS_PER_DAY: u64 = 86_400;

/// Formats a record as one line, including the newline. `steady` is the monotonic time since the
/// logger was installed, `unix` the time since the Unix epoch, and `omitted` the number of lines of
/// the same kind that the rate limit suppressed since the last one.
pub fn format_line(
    identity: &Identity,
    steady: Duration,
    unix: Duration,
    record: &Record<'_>,
    omitted: u64,
) -> String {
    let mut line = String::with_capacity(256);
    let level = record.level().as_str().to_ascii_lowercase();
    let time = format_time(unix);
    let Identity { node, role, incarnation } = identity;
    // Writing to a string cannot fail.
    let _ = write!(
        line,
        "steady_ms={} time={time} level={level} node={node} role={role} incarnation={incarnation}",
        steady.as_millis(),
    );
    push_pair(&mut line, "event", &record.args().to_string());
    let _ = record.key_values().visit(&mut PairWriter(&mut line));
    if omitted > 0 {
        let _ = write!(line, " omitted={omitted}");
    }
    line.push('\n');
    line
}

struct PairWriter<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        push_pair(self.0, key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Appends ` key=value`. A value that is empty or contains a space, quote, line break or `=` is
/// quoted and escaped.
fn push_pair(line: &mut String, key: &str, value: &str) {
    let is_plain = !value.is_empty() && !value.contains([' ', '"', '\n', '\r', '=']);
    let _ = match is_plain {
        true => write!(line, " {key}={value}"),
        false => write!(line, " {key}={value:?}"),
    };
}

/// Formats a time since the Unix epoch according to RFC 3339, in UTC, with milliseconds.
fn format_time(unix: Duration) -> String {
    let days = unix.as_secs() / SECONDS_PER_DAY;
    let second = unix.as_secs() % SECONDS_PER_DAY;
    let (year, month, day) = civil_date(days as i64);
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    let millisecond = unix.subsec_millis();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millisecond:03}Z")
}

/// Converts days since 1970-01-01 to a date (year, month, day) of the Gregorian calendar. It counts
/// years from March of the year 0, so that a leap day is the last day of its year, in cycles of 400
/// years, after which the calendar repeats.
fn civil_date(days: i64) -> (i64, i64, i64) {
    let days = days + 719_468;
    let era = days.div_euclid(146_097);
    let day_of_era = days.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year, month, day)
}

/// A log line as read from text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line<'a> {
    /// The text of the line, without the newline.
    pub text: &'a str,
}

impl<'a> Line<'a> {
    /// The value of a key, or `None` if the line lacks the key. Quoted values are not unquoted, and
    /// end at their first space.
    pub fn value(&self, key: &str) -> Option<&'a str> {
        let pairs = self.text.split(' ').filter_map(|word| word.split_once('='));
        pairs.into_iter().find(|(found, _)| *found == key).map(|(_, value)| value)
    }

    /// Time of day in milliseconds, from the key `time`. Enough to compare lines, as logs that are
    /// read together are expected to be of one day.
    pub fn milliseconds_of_day(&self) -> Option<i64> {
        let time = self.value("time")?.split_once('T')?.1.strip_suffix('Z')?;
        let (clock, milliseconds) = time.split_once('.')?;
        let mut seconds = 0;
        for part in clock.split(':') {
            seconds = seconds * 60 + part.parse::<i64>().ok()?;
        }
        Some(seconds * 1_000 + milliseconds.parse::<i64>().ok()?)
    }
}
