//! The commands, each in its own module.

mod account;
mod cancel;
mod check;
mod check_site;
mod completion;
mod diff;
mod drain;
mod explain;
mod job;
mod publish;
mod show;
mod status;
mod submit;

use bpaf::{Bpaf, OptionParser, Parser};

use self::account::{Account, account};
use self::cancel::{Cancel, cancel};
use self::check::{Check, check};
use self::check_site::{CheckSite, check_site};
use self::completion::{Completion, completion};
use self::diff::{Diff, diff};
use self::drain::{Drain, drain};
use self::explain::{Explain, explain};
use self::job::{Job, job};
use self::publish::{Publish, publish};
use self::show::{Show, show};
use self::status::{Status, status};
use self::submit::{Submit, submit};
use crate::error::Result;
use crate::report::{EXIT_CODES, Report};
use crate::settings::Common;

/// Commands
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Checks configuration files.
    Check(#[bpaf(external(check))] Check),
    /// Checks a configuration for the users' platform.
    CheckSite(#[bpaf(external(check_site))] CheckSite),
    /// Compares configurations.
    Diff(#[bpaf(external(diff))] Diff),
    /// Publishes a configuration.
    Publish(#[bpaf(external(publish))] Publish),
    /// Shows the configuration in force.
    Show(#[bpaf(external(show))] Show),
    /// Shows the state of instances.
    Status(#[bpaf(external(status))] Status),
    /// Drains an instance.
    Drain(#[bpaf(external(drain))] Drain),
    /// Submits a request.
    Submit(#[bpaf(external(submit))] Submit),
    /// Submits a job.
    Job(#[bpaf(external(job))] Job),
    /// Cancels submissions.
    Cancel(#[bpaf(external(cancel))] Cancel),
    /// Shows the log lines of a request.
    Explain(#[bpaf(external(explain))] Explain),
    /// Verifies or shows the account.
    Account(#[bpaf(external(account))] Account),
    /// Prints a completion script.
    Completion(#[bpaf(external(completion))] Completion),
}

impl Command {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        match self {
            Self::Check(command) => command.run(),
            Self::CheckSite(command) => command.run(),
            Self::Diff(command) => command.run(),
            Self::Publish(command) => command.run(),
            Self::Show(command) => command.run(),
            Self::Status(command) => command.run(),
            Self::Drain(command) => command.run(),
            Self::Submit(command) => command.run(),
            Self::Job(command) => command.run(),
            Self::Cancel(command) => command.run(),
            Self::Explain(command) => command.run(),
            Self::Account(command) => command.run(),
            Self::Completion(command) => command.run(),
        }
    }

    /// Returns the settings that all commands share.
    pub fn common(&self) -> &Common {
        match self {
            Self::Check(command) => &command.common,
            Self::CheckSite(command) => &command.common,
            Self::Diff(command) => &command.common,
            Self::Publish(command) => &command.common,
            Self::Show(command) => &command.common,
            Self::Status(command) => &command.common,
            Self::Drain(command) => &command.common,
            Self::Submit(command) => &command.common,
            Self::Job(command) => &command.common,
            Self::Cancel(command) => &command.common,
            Self::Explain(command) => &command.common,
            Self::Account(command) => command.common(),
            Self::Completion(command) => &command.common,
        }
    }
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Command> {
    command()
        .to_options()
        .descr("Publishes the configuration of bamboocart and works with its instances.")
        .footer(EXIT_CODES)
        .version(env!("CARGO_PKG_VERSION"))
}
