//! The commands `account verify` and `account show`.

mod show;
mod verify;

use bamboocart_core::account::ACCOUNT_STREAM;
use bamboocart_platform::{Platform, Record};
use bpaf::Bpaf;

use self::show::{Show, show};
use self::verify::{Verify, verify};
use crate::error::Result;
use crate::report::{EXIT_CODES, Report};
use crate::settings::Common;

/// Verify or show the account of scheduling decisions
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
    /// Verifies the account.
    Verify(#[bpaf(external(verify))] Verify),
    /// Shows entries.
    Show(#[bpaf(external(show))] Show),
}

impl Account {
    /// Returns the settings that all commands share.
    pub fn common(&self) -> &Common {
        match &self.action {
            Action::Verify(command) => &command.common,
            Action::Show(command) => &command.common,
        }
    }

    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        match &self.action {
            Action::Verify(command) => command.run(),
            Action::Show(command) => command.run(),
        }
    }
}

/// Which records of the account were read.
#[derive(Debug, Copy, Clone, Default)]
struct Extent {
    /// The number of records.
    records: u64,
    /// The offset of the oldest record that the log kept at the beginning.
    start: u64,
    /// The offset behind the newest record at the beginning.
    end: u64,
}

/// Hands over every record of the account that the log has now, page by page.
///
/// Records that are appended in the meantime are left out, so that the reading ends.
fn read_account(platform: &Platform, mut take: impl FnMut(&Record)) -> Result<Extent> {
    let mut extent: Option<Extent> = None;
    let mut next = 0;
    loop {
        let page = platform.read(ACCOUNT_STREAM, next, 0)?;
        let (start, end) = (page.start, page.end);
        let extent = extent.get_or_insert(Extent { records: 0, start, end });
        for record in page.records.iter().filter(|record| record.offset < extent.end) {
            take(record);
            extent.records += 1;
        }
        match page.records.last() {
            Some(last) if last.offset + 1 < extent.end => next = last.offset + 1,
            _ => return Ok(*extent),
        }
    }
}
