//! The command `drain`.

use bpaf::Bpaf;
use serde_json::json;

use crate::error::Result;
use crate::instance::InstanceClient;
use crate::report::{EXIT_CODES, Report};
use crate::settings::{Common, SettingErrors};

/// Ask an instance to finish its work, hand over and stop
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("drain"), footer(EXIT_CODES))]
pub struct Drain {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
}

impl Drain {
    /// Starts the drain without waiting for its end.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        let settings = self.common.check(&mut errors);
        let Some(address) = errors.require("--instance", settings.instance) else {
            return Err(errors.into_error());
        };
        errors.finish()?;
        let answer = InstanceClient::new(address, settings.timeout_ms).drain()?;
        let text = format!("{address} is draining; follow it with `status`");
        Ok(Report::done(json!({ "instance": address, "answer": answer }), text))
    }
}
