//! Plays days over seeds and prints their outcomes.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use bamboocart_emulator::{Day, Report, run, trace};
use bpaf::{OptionParser, Parser, construct, long, positional};
use rayon::prelude::*;

/// What to play.
#[derive(Debug, Clone)]
struct Flags {
    /// The number of seeds.
    seeds: u64,
    /// The first seed.
    first: u64,
    /// The text of the log lines to print, for example a job's id.
    trace: Option<String>,
    /// The files with days.
    days: Vec<PathBuf>,
}

/// Returns the parser of the command line.
fn flags() -> OptionParser<Flags> {
    let seeds = long("seeds").help("The number of seeds").argument("N").fallback(5);
    let first = long("first").help("The first seed").argument("N").fallback(1);
    let trace = long("trace").help("Print log lines with this text").argument("TEXT");
    let trace = trace.optional();
    let days = positional("DAY").help("Files with days").some("name a day");
    construct!(Flags { seeds, first, trace, days })
        .to_options()
        .descr("Plays days in virtual time and checks the rules")
}

/// Plays each day with each seed.
fn main() -> ExitCode {
    let flags = flags().run();
    if let Some(needle) = flags.trace
        && let Err(error) = trace(needle)
    {
        eprintln!("error: {error}");
    }
    let mut broken = false;
    for path in &flags.days {
        let text = fs::read_to_string(path).map_err(|error| error.to_string());
        let day = text.and_then(|t| Day::parse(&t).map_err(|error| error.to_string()));
        let day = match day {
            Ok(day) => day,
            Err(error) => {
                eprintln!("error: {}: {error}", path.display());
                return ExitCode::FAILURE;
            }
        };
        let seeds = flags.first..flags.first + flags.seeds;
        let reports: Vec<(u64, Report)> =
            seeds.into_par_iter().map(|seed| (seed, run(&day, seed))).collect();
        println!("{}", path.display());
        for (seed, report) in &reports {
            println!("seed {seed}: {report}");
            broken |= !report.broken.is_empty();
        }
        let mean: f64 = reports.iter().map(|(_, report)| report.credit()).sum();
        println!("mean credit {:.4}", mean / reports.len().max(1) as f64);
    }
    if broken { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
