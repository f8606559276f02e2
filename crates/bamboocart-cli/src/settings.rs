//! The settings that all commands share, and their validation.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use bpaf::Bpaf;

use crate::error::{Error, Result};

/// The default timeout of a call to an instance, which is long enough for a slow job.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// The accepted timeouts of a call to an instance.
const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 10..=600_000;

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

/// The validated settings of every command.
#[derive(Debug, Copy, Clone)]
pub struct Settings {
    /// The address of the platform, if given.
    pub platform: Option<SocketAddr>,
    /// The address of an instance, if given.
    pub instance: Option<SocketAddr>,
    /// The timeout of a call to an instance.
    pub timeout_ms: u64,
}

impl Common {
    /// Returns whether the result is printed as JSON.
    pub fn json(&self) -> bool {
        SettingErrors::default().switch("--json", self.json)
    }

    /// Validates the settings, starts logging and returns the parsed values.
    pub fn check(&self, errors: &mut SettingErrors) -> Settings {
        errors.switch("--json", self.json);
        let level = "one of error, warn, info and debug";
        let level = errors.parse("--log-level", level, self.log_level.as_deref());
        start_log(level.unwrap_or(log::LevelFilter::Warn));
        let timeout =
            errors.number("--timeout-ms", self.timeout_ms.as_deref(), TIMEOUT_RANGE_MS);
        let address = "an IP address and port such as 127.0.0.1:8080";
        Settings {
            platform: errors.parse("--platform", address, self.platform.as_deref()),
            instance: errors.parse("--instance", address, self.instance.as_deref()),
            timeout_ms: timeout.unwrap_or(DEFAULT_TIMEOUT_MS),
        }
    }
}

/// Errors of settings, collected so that one run reports all of them.
#[derive(Debug, Default)]
pub struct SettingErrors(Vec<String>);

impl SettingErrors {
    /// Parses a setting if it is given; `form` describes the valid values.
    pub fn parse<T: FromStr>(
        &mut self,
        flag: &str,
        form: &str,
        text: Option<&str>,
    ) -> Option<T> {
        let text = text?;
        let value = text.parse().ok();
        if value.is_none() {
            self.add(flag, &format!("`{text}` is invalid; give {form}"));
        }
        value
    }

    /// Parses a number if it is given, and checks its range.
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
    /// The argument parser treats every value of a switch's variable as "on", even 0.
    pub fn switch(&mut self, flag: &str, is_given: bool) -> bool {
        let value = std::env::var(variable(flag)).unwrap_or_default();
        match value.as_str() {
            "1" | "true" | "yes" => true,
            "" | "0" | "false" | "no" => is_given,
            _ => {
                self.add(flag, &format!("`{value}` is invalid; give 1 or 0"));
                is_given
            }
        }
    }

    /// Adds an error if a required setting is missing and no error is recorded for it.
    pub fn require<T>(&mut self, flag: &str, value: Option<T>) -> Option<T> {
        let is_reported =
            self.0.iter().any(|error| error.starts_with(&format!("{flag} ")));
        if value.is_none() && !is_reported {
            self.add(flag, "is required; give the flag or set the environment variable");
        }
        value
    }

    /// Adds an error of a flag, naming its environment variable, or of a positional.
    pub fn add(&mut self, flag: &str, error: &str) {
        self.0.push(match flag.starts_with("--") {
            true => format!("{flag} ({}): {error}", variable(flag)),
            false => format!("{flag}: {error}"),
        });
    }

    /// Fails if errors were added.
    pub fn finish(self) -> Result<()> {
        match self.0.is_empty() {
            true => Ok(()),
            false => Err(self.into_error()),
        }
    }

    /// Returns the collected errors as one error.
    pub fn into_error(self) -> Error {
        Error::Settings { faults: self.0 }
    }
}

/// Returns the environment variable of a flag.
fn variable(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_");
    format!("BAMBOOCART_{}", name.to_uppercase())
}

/// Starts logging to standard error.
fn start_log(level: log::LevelFilter) {
    let format = |out: fern::FormatCallback<'_>,
                  message: &std::fmt::Arguments<'_>,
                  record: &log::Record<'_>| {
        out.finish(format_args!("{}: {message}", record.level().as_str().to_lowercase()));
    };
    let dispatch = fern::Dispatch::new().format(format).level(level);
    // Logging is started once per process, and a command does not depend on its log.
    let _ = dispatch.chain(std::io::stderr()).apply();
}
