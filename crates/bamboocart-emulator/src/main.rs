//! Simulates scenarios over seeds, prints reports, and compares the outcomes of two
//! versions.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bamboocart_emulator::{
    Comparison, Outcomes, Report, Scenario, Verdict, credits_svg, install_trace, simulate,
};
use bpaf::{OptionParser, Parser, construct, long, positional};
use rayon::prelude::*;

/// The result of a command; false means that its check failed.
type Result<T = bool, E = Box<dyn Error>> = std::result::Result<T, E>;

/// A command of the emulator.
#[derive(Debug, Clone)]
enum Command {
    /// Simulates scenarios.
    Play(Play),
    /// Compares the outcomes of two versions.
    Compare(Compare),
}

/// The arguments of `play`.
#[derive(Debug, Clone)]
struct Play {
    /// The number of seeds.
    seeds: u64,
    /// The first seed.
    first_seed: u64,
    /// The texts one of which printed log lines must contain, for example the id of a job.
    trace: Vec<String>,
    /// The file to write the outcomes to.
    save: Option<PathBuf>,
    /// The TOML files of the scenarios.
    scenarios: Vec<PathBuf>,
}

/// The arguments of `compare`.
#[derive(Debug, Clone)]
struct Compare {
    /// The file to write the SVG plot to.
    plot: Option<PathBuf>,
    /// The file with the outcomes of the earlier version.
    before: PathBuf,
    /// The file with the outcomes of the later version.
    after: PathBuf,
}

/// Returns the parser of the command line.
fn flags() -> OptionParser<Command> {
    let seeds = long("seeds").help("The number of seeds").argument("N").fallback(5);
    let first_seed = long("first").help("The first seed").argument("N").fallback(1);
    let trace = long("trace").help("Print the log lines that contain any of the texts");
    let trace = trace.argument("TEXT").many();
    let save = long("save").help("Write the outcomes to a file").argument("FILE");
    let save = save.optional();
    let scenarios = positional("DAY")
        .help("TOML files of scenarios")
        .some("name at least one file with a scenario");
    let play = construct!(Play { seeds, first_seed, trace, save, scenarios })
        .to_options()
        .descr("Simulates scenarios in virtual time and checks invariants")
        .command("play")
        .map(Command::Play);
    let plot = long("plot").help("Write a plot as SVG").argument("FILE").optional();
    let before = positional("BEFORE").help("Outcomes of the earlier version");
    let after = positional("AFTER").help("Outcomes of the later version");
    let compare = construct!(Compare { plot, before, after })
        .to_options()
        .descr("Compares the outcomes of two versions; fails if a scenario got worse")
        .command("compare")
        .map(Command::Compare);
    construct!([play, compare])
        .to_options()
        .descr("Simulates whole systems in virtual time and compares versions")
}

/// Runs the command and turns its result into an exit code.
fn main() -> ExitCode {
    let result = match flags().run() {
        Command::Play(command) => play(&command),
        Command::Compare(command) => compare(&command),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Simulates each scenario with each seed; returns false if an invariant was violated.
fn play(command: &Play) -> Result {
    if !command.trace.is_empty() {
        install_trace(command.trace.clone())?;
    }
    let mut outcomes = Outcomes::default();
    let mut invariants_hold = true;
    for path in &command.scenarios {
        let scenario = read_scenario(path)?;
        let seeds = command.first_seed..command.first_seed + command.seeds;
        let reports: Vec<(u64, Report)> =
            seeds.into_par_iter().map(|seed| (seed, simulate(&scenario, seed))).collect();
        println!("{}", path.display());
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        for (seed, report) in &reports {
            println!("seed {seed}: {report}");
            invariants_hold &= report.violations.is_empty();
            outcomes.add(&name, *seed, report);
        }
        let mean: f64 = reports.iter().map(|(_, report)| report.credit()).sum();
        println!("mean credit {:.4}", mean / reports.len().max(1) as f64);
    }
    if let Some(path) = &command.save {
        outcomes.write(path)?;
    }
    Ok(invariants_hold)
}

/// Reads a scenario from a file, and names the file in errors.
fn read_scenario(path: &Path) -> Result<Scenario> {
    let named = |error: String| format!("{}: {error}", path.display());
    let text = fs::read_to_string(path).map_err(|error| named(error.to_string()))?;
    Ok(Scenario::parse(&text).map_err(|error| named(error.to_string()))?)
}

/// Compares two versions; returns false if a scenario got worse.
fn compare(command: &Compare) -> Result {
    let before = Outcomes::read(&command.before)?;
    let after = Outcomes::read(&command.after)?;
    let comparison = Comparison::new(&before, &after);
    if comparison.rows.is_empty() {
        return Err(
            "the files have no scenario and seed in common; play the same ones".into()
        );
    }
    print!("{comparison}");
    if let Some(path) = &command.plot {
        fs::write(path, credits_svg(&comparison)?)?;
    }
    Ok(comparison.rows.iter().all(|row| row.verdict() != Verdict::Worse))
}
