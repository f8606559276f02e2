//! The command `drain`.

use bpaf::Bpaf;
use serde_json::json;

use crate::error::Result;
use crate::instance::Instance;
use crate::report::{EXIT_CODES, Report};
use crate::settings::{Common, Faults};

/// Ask an instance to finish its work, hand over and stop
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("drain"), footer(EXIT_CODES))]
pub struct Drain {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
}

impl Drain {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut faults = Faults::default();
        let settings = self.common.check(&mut faults);
        let Some(address) = faults.need("--instance", settings.instance) else {
            return Err(faults.into_error());
        };
        faults.finish()?;
        let answer = Instance::new(address, settings.timeout_ms).drain()?;
        let text = format!("{address} is draining; follow it with `status`");
        Ok(Report::done(json!({ "instance": address, "answer": answer }), text))
    }
}
