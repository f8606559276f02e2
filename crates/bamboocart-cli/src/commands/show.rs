//! The command `show`.

use std::net::SocketAddr;

use bamboocart_core::config::{ConfigSet, VersionedSet};
use bamboocart_core::id::ConfigVersion;
use bamboocart_platform::Platform;
use bpaf::Bpaf;
use serde_json::json;

use crate::config_log::ConfigLogReader;
use crate::error::{Error, Result};
use crate::instance::InstanceClient;
use crate::report::{EXIT_CODES, Report};
use crate::settings::{Common, SettingErrors};

/// Show the set in force as TOML, from the log or from an instance
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("show"), footer(EXIT_CODES))]
pub struct Show {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// Where to read the set: log or instance (default log)
    #[bpaf(long, env("BAMBOOCART_FROM"), argument("SOURCE"))]
    from: Option<String>,
}

impl Show {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        let settings = self.common.check(&mut errors);
        match self.from.as_deref() {
            None | Some("log") => {
                errors.require("--platform", settings.platform).map(drop)
            }
            Some("instance") => errors.require("--instance", settings.instance).map(drop),
            Some(_) => {
                errors.add("--from", "the source is unknown; give log or instance");
                None
            }
        };
        errors.finish()?;
        match (settings.platform, settings.instance) {
            (_, Some(address)) if self.from.as_deref() == Some("instance") => {
                let body = InstanceClient::new(address, settings.timeout_ms).config()?;
                report(body.config_version, &body.set)
            }
            (Some(address), _) => match set_on_log(address)? {
                Some(known) => report(known.version, &known.set),
                None => report(ConfigVersion(0), &ConfigSet::default()),
            },
            _ => Err(SettingErrors::default().into_error()),
        }
    }
}

/// Reads the configuration in force from the log, if there is one.
pub fn set_on_log(platform: SocketAddr) -> Result<Option<VersionedSet>> {
    let mut log = ConfigLogReader::new(Platform::new(&platform.to_string()), None);
    log.read_to_end(0)?;
    match log.replay().can_apply() {
        true => Ok(log.replay().in_force().cloned()),
        false => Err(Error::VersionUnknown),
    }
}

/// Reports a configuration as TOML with its version.
fn report(version: ConfigVersion, set: &ConfigSet) -> Result<Report> {
    let text = match version.0 {
        0 => "# no configuration is in force".into(),
        _ => format!("# version {version}\n{}", set.to_toml()?),
    };
    Ok(Report::done(json!({ "config_version": version, "set": set }), text))
}
