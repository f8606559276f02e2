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
    /// Verifies the hash chains and the order of the account.
    Verify(#[bpaf(external(verify))] Verify),
    /// Shows entries of the account.
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

/// The range of records of the account that were read.
#[derive(Debug, Copy, Clone, Default)]
struct ReadRange {
    /// The number of records read.
    records: u64,
    /// The offset of the oldest record that was retained when the reading began.
    start: u64,
    /// The offset after the newest record when the reading began.
    end: u64,
}

/// Calls `visit` with every record of the account that is on the log now, in order.
///
/// Records that are appended meanwhile are ignored, so that the reading ends.
fn read_account(
    platform: &Platform,
    mut visit: impl FnMut(&Record),
) -> Result<ReadRange> {
    let mut range: Option<ReadRange> = None;
    let mut next = 0;
    loop {
        let page = platform.read(ACCOUNT_STREAM, next, 0)?;
        let (start, end) = (page.start, page.end);
        let range = range.get_or_insert(ReadRange { records: 0, start, end });
        for record in page.records.iter().filter(|record| record.offset < range.end) {
            visit(record);
            range.records += 1;
        }
        match page.records.last() {
            Some(last) if last.offset + 1 < range.end => next = last.offset + 1,
            _ => return Ok(*range),
        }
    }
}
