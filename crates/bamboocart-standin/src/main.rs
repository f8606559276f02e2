//! The stand-ins for the platform and the targets, and the load generator.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use bamboocart_standin::load;
use bamboocart_standin::measure;
use bamboocart_standin::platform::{self, PlatformServer};
use bamboocart_standin::stop::StopSignals;
use bamboocart_standin::target::{
    Fleet, MinionSettings, WorkerSettings, minion_settings, worker_settings,
};
use bamboocart_standin::verify;
use bpaf::Bpaf;

/// Stand-ins for the platform and the targets, and a load generator
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Runs the log service and the instance list
    #[bpaf(command)]
    Platform(#[bpaf(external(platform::settings))] platform::Settings),
    /// Runs minions
    #[bpaf(command)]
    Minions(#[bpaf(external(minion_settings))] MinionSettings),
    /// Runs workers
    #[bpaf(command)]
    Workers(#[bpaf(external(worker_settings))] WorkerSettings),
    /// Sends requests and jobs to instances and measures the answers
    #[bpaf(command)]
    Load(#[bpaf(external(load::settings))] load::Settings),
    /// Checks the recorded history of a run; fails if an invariant was violated
    #[bpaf(command)]
    Check(#[bpaf(external(verify::settings))] verify::Settings),
    /// Registers running instances in the platform's list
    #[bpaf(command)]
    Register(#[bpaf(external(measure::register_settings))] measure::RegisterSettings),
    /// Waits until every instance serves and every target is used
    #[bpaf(command)]
    Await(#[bpaf(external(measure::await_settings))] measure::AwaitSettings),
    /// Sets fault switches of a stand-in
    #[bpaf(command)]
    Fault(#[bpaf(external(measure::fault_settings))] measure::FaultSettings),
    /// Scores the load runs of one cell of a measurement
    #[bpaf(command)]
    Score(#[bpaf(external(measure::score_settings))] measure::ScoreSettings),
    /// Prints the scores of several cells as tables
    #[bpaf(command)]
    Table(#[bpaf(external(measure::table_settings))] measure::TableSettings),
    /// Compares pooled connections with a connection per request
    #[bpaf(command("client-cost"))]
    ClientCost(#[bpaf(external(measure::cost_settings))] measure::CostSettings),
}

/// An error that ends the program.
type AnyError = Box<dyn std::error::Error>;

/// Runs a command.
fn main() -> ExitCode {
    let command = command().run();
    match log_to_stderr().and_then(|()| run(command)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command until its end or a stop signal.
fn run(command: Command) -> Result<ExitCode, AnyError> {
    let stop = StopSignals::register()?;
    match command {
        Command::Platform(settings) => {
            let server = PlatformServer::start(&settings)?;
            report(&serde_json::json!({ "platform": server.address() }));
            stop.wait();
        }
        Command::Minions(settings) => {
            serve_fleet(Fleet::start(&settings.fleet, &settings.target_spec())?, stop);
        }
        Command::Workers(settings) => {
            serve_fleet(Fleet::start(&settings.fleet, &settings.target_spec())?, stop);
        }
        Command::Load(settings) => generate_load(&settings, stop)?,
        Command::Check(settings) => return check_history(&settings),
        Command::Register(settings) => {
            let registered = measure::register(&settings)?;
            report(&serde_json::json!({ "registered": registered }));
        }
        Command::Await(settings) => {
            let waited = measure::await_service(&settings)?;
            report(&serde_json::json!({ "waited_ms": waited.as_millis() as u64 }));
        }
        Command::Fault(settings) => report(&measure::set_fault(&settings)?),
        Command::Score(settings) => {
            report(&serde_json::to_value(measure::score(&settings)?)?);
        }
        Command::Table(settings) => measure::print_table(&settings)?,
        Command::ClientCost(settings) => report(&measure::compare_clients(&settings)?),
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs the load until its end or a stop signal, and prints the measurements.
fn generate_load(settings: &load::Settings, stop: StopSignals) -> Result<(), AnyError> {
    let stopped = Arc::new(AtomicBool::new(false));
    let set = Arc::clone(&stopped);
    thread::spawn(move || {
        stop.wait();
        set.store(true, Ordering::Relaxed);
    });
    let summary = load::run(settings, &stopped)?;
    print!("{summary}");
    report(&serde_json::to_value(&summary)?);
    Ok(())
}

/// Prints each violation as a line and fails if there is one.
fn check_history(settings: &verify::Settings) -> Result<ExitCode, AnyError> {
    let violations = verify::verify(settings)?;
    for violation in &violations {
        eprintln!("{violation}");
        report(&serde_json::to_value(violation)?);
    }
    let passed = violations.is_empty();
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Reports the addresses of a fleet and runs it until a stop signal.
fn serve_fleet(fleet: Fleet, stop: StopSignals) {
    let rows = fleet.members().rows();
    let targets = rows.iter().map(|row| {
        serde_json::json!({
            "name": row.name,
            "address": row.address,
            "failure_domain": row.failure_domain,
        })
    });
    let targets: Vec<_> = targets.collect();
    report(
        &serde_json::json!({ "control": fleet.control_address(), "targets": targets }),
    );
    stop.wait();
}

/// Prints one line for the program that started this one.
fn report(line: &serde_json::Value) {
    println!("{line}");
}

/// Sends log lines to the standard error.
fn log_to_stderr() -> Result<(), AnyError> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("bamboocart_standin", log::LevelFilter::Info)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
