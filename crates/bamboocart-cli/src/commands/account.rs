//! The command `account verify`.

use bamboocart_platform::{Platform, Record};
use bpaf::Bpaf;
use serde::Serialize;

use crate::error::Result;
use crate::report::{EXIT_CODES, Exit, Report};
use crate::settings::{Common, Faults};

/// The log stream with the account.
const ACCOUNT_STREAM: &str = "account";

/// Work on the account of scheduling decisions
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("account"), footer(EXIT_CODES))]
pub struct Account {
    /// Commands
    #[bpaf(external(crate::commands::account::action))]
    action: Action,
}

/// Commands
#[derive(Debug, Clone, Bpaf)]
pub enum Action {
    /// Fetch the account and verify its chains and order
    #[bpaf(command("verify"), footer(EXIT_CODES))]
    Verify {
        /// Settings of every command
        #[bpaf(external(crate::settings::common))]
        common: Common,
    },
}

impl Account {
    /// Returns the settings that all commands share.
    pub fn common(&self) -> &Common {
        let Action::Verify { common } = &self.action;
        common
    }

    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut faults = Faults::default();
        let settings = self.common().check(&mut faults);
        let Some(address) = faults.need("--platform", settings.platform) else {
            return Err(faults.into_error());
        };
        faults.finish()?;
        let platform = Platform::new(&address.to_string());
        let mut verifier = Verifier::default();
        loop {
            let page = platform.read(ACCOUNT_STREAM, verifier.next_offset, 0)?;
            verifier.begin(page.start);
            page.records.iter().for_each(|record| verifier.take(record));
            if page.records.is_empty() || verifier.next_offset >= page.end {
                return Ok(verifier.report());
            }
        }
    }
}

/// The records that were fetched.
///
/// This is the place for the verification: `take` sees every record once, in log order.
#[derive(Debug, Default, Serialize)]
struct Verifier {
    /// The records so far.
    records: u64,
    /// The offset of the next record.
    next_offset: u64,
    /// The offset of the oldest record that could be read.
    start: u64,
    /// Whether chains, sequence and order were checked.
    is_verified: bool,
}

impl Verifier {
    /// Notes the oldest offset that the log still keeps.
    fn begin(&mut self, start: u64) {
        if self.records == 0 {
            self.start = start;
            self.next_offset = self.next_offset.max(start);
        }
    }

    /// Takes the next record.
    fn take(&mut self, record: &Record) {
        self.records += 1;
        self.next_offset = record.offset + 1;
    }

    /// Tells the result.
    fn report(&self) -> Report {
        let Self { records, start, .. } = self;
        let text = format!(
            "fetched {records} records from offset {start} on; they were not verified, \
             because this version has no verification"
        );
        Report::new(Exit::NotVerified, self, text)
    }
}
