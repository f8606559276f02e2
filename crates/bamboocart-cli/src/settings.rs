//! The settings that all commands share, and their checks.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use bpaf::Bpaf;

use crate::error::{Error, Result};

/// The time that a call to an instance may take by default, which covers a slow job.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// The times that a call to an instance may take.
const TIMEOUT_MS: RangeInclusive<u64> = 10..=600_000;

/// Settings of every command
#[derive(Debug, Clone, Bpaf)]
pub struct Common {
    /// Address of the platform, for commands that use the log or the instance list
    #[bpaf(long, env("BAMBOOCART_PLATFORM"), argument("IP:PORT"))]
    platform: Option<String>,
    /// Address of an instance, for commands that call one
    #[bpaf(long, env("BAMBOOCART_INSTANCE"), argument("IP:PORT"))]
    instance: Option<String>,
    /// Time in milliseconds that a call to an instance may take (default 30000)
    #[bpaf(long, env("BAMBOOCART_TIMEOUT_MS"), argument("MS"))]
    timeout_ms: Option<String>,
    /// Least urgent messages to log: error, warn, info or debug (default warn)
    #[bpaf(long, env("BAMBOOCART_LOG_LEVEL"), argument("LEVEL"))]
    log_level: Option<String>,
    /// Print the result as JSON [env:BAMBOOCART_JSON, 1 or 0]
    #[bpaf(long, switch)]
    json: bool,
}

/// The checked settings of every command.
#[derive(Debug, Copy, Clone)]
pub struct Settings {
    /// The address of the platform.
    pub platform: Option<SocketAddr>,
    /// The address of an instance.
    pub instance: Option<SocketAddr>,
    /// The time that a call to an instance may take.
    pub timeout_ms: u64,
}

impl Common {
    /// Returns whether the result is printed as JSON.
    pub fn json(&self) -> bool {
        Faults::default().switch("--json", self.json)
    }

    /// Checks the settings, starts logging and returns the parsed values.
    pub fn check(&self, faults: &mut Faults) -> Settings {
        faults.switch("--json", self.json);
        let level = "one of error, warn, info and debug";
        let level = faults.parse("--log-level", level, self.log_level.as_deref());
        start_log(level.unwrap_or(log::LevelFilter::Warn));
        let timeout =
            faults.number("--timeout-ms", self.timeout_ms.as_deref(), TIMEOUT_MS);
        let address = "an IP address and port such as 127.0.0.1:8080";
        Settings {
            platform: faults.parse("--platform", address, self.platform.as_deref()),
            instance: faults.parse("--instance", address, self.instance.as_deref()),
            timeout_ms: timeout.unwrap_or(DEFAULT_TIMEOUT_MS),
        }
    }
}

/// The faults of settings, collected so that one run reports all of them.
#[derive(Debug, Default)]
pub struct Faults(Vec<String>);

impl Faults {
    /// Parses a setting if it is given.
    pub fn parse<T: FromStr>(
        &mut self,
        flag: &str,
        form: &str,
        text: Option<&str>,
    ) -> Option<T> {
        let text = text?;
        let value = text.parse().ok();
        if value.is_none() {
            self.add(flag, &format!("`{text}` is not usable; give {form}"));
        }
        value
    }

    /// Parses a number within a range if it is given.
    pub fn number(
        &mut self,
        flag: &str,
        text: Option<&str>,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let form = format!("a whole number from {} to {}", range.start(), range.end());
        let value = self.parse(flag, &form, text)?;
        if range.contains(&value) {
            return Some(value);
        }
        self.add(flag, &format!("{value} is out of range; give {form}"));
        None
    }

    /// Returns whether a switch is on, by its flag or its environment variable.
    ///
    /// The parser takes every value of a switch's variable for "on", even 0.
    pub fn switch(&mut self, flag: &str, is_given: bool) -> bool {
        let value = std::env::var(variable(flag)).unwrap_or_default();
        match value.as_str() {
            "1" | "true" | "yes" => true,
            "" | "0" | "false" | "no" => is_given,
            _ => {
                self.add(flag, &format!("`{value}` is not usable; give 1 or 0"));
                is_given
            }
        }
    }

    /// Reports a setting that is missing; `text` tells a missing one from an unusable one.
    pub fn need<T>(&mut self, flag: &str, value: Option<T>) -> Option<T> {
        let known = self.0.iter().any(|fault| fault.starts_with(&format!("{flag} ")));
        if value.is_none() && !known {
            self.add(flag, "is needed and not given; give it here or in the environment");
        }
        value
    }

    /// Adds a fault of a flag, which also has an environment variable, or of a position.
    pub fn add(&mut self, flag: &str, fault: &str) {
        self.0.push(match flag.starts_with("--") {
            true => format!("{flag} ({}): {fault}", variable(flag)),
            false => format!("{flag}: {fault}"),
        });
    }

    /// Returns an error if there are faults.
    pub fn finish(self) -> Result<()> {
        match self.0.is_empty() {
            true => Ok(()),
            false => Err(self.into_error()),
        }
    }

    /// Turns the faults into an error.
    pub fn into_error(self) -> Error {
        Error::Settings { faults: self.0 }
    }
}

/// Returns the environment variable of a flag.
fn variable(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_");
    format!("BAMBOOCART_{}", name.to_uppercase())
}

/// Sends log lines to standard error.
fn start_log(level: log::LevelFilter) {
    let format = |out: fern::FormatCallback<'_>,
                  message: &std::fmt::Arguments<'_>,
                  record: &log::Record<'_>| {
        out.finish(format_args!("{}: {message}", record.level().as_str().to_lowercase()));
    };
    let dispatch = fern::Dispatch::new().format(format).level(level);
    // A second start cannot happen in one process, and a lost log line is no failure.
    let _ = dispatch.chain(std::io::stderr()).apply();
}
