//! A run of the load generator.

use std::fs::File;
use std::io::{self, BufWriter};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Sender};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snafu::{ResultExt, Snafu};

use crate::clock;
use crate::history::Purpose;

use super::caller::{Shared, make_calls};
use super::flight::CallOrder;
use super::plan::Plan;
use super::recorder::Recorder;
use super::settings::Settings;
use super::summary::Summary;
use super::wave::Wave;

/// The result of a run.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The calls that may wait for a free caller; further ones are counted as not sent.
const ORDERS_MAX: usize = 100_000;

/// The records that may wait to be written; callers wait when there are more.
const RECORDS_MAX: usize = 10_000;

/// The longest pause of the main loop, so that a stop is noticed.
const PAUSE_MAX: Duration = Duration::from_millis(50);

/// Runs the load until its end or until `stop` is set, and returns the measurements.
pub fn run(settings: &Settings, stop: &AtomicBool) -> Result<Summary> {
    let recorder = Recorder::new(open_history(settings)?);
    let (orders, ordered) = channel::bounded(ORDERS_MAX);
    let (records, recorded) = channel::bounded(RECORDS_MAX);
    let shared = Shared::new(settings);
    let started = Instant::now();
    let (unsent, recorder) = thread::scope(|scope| {
        let recording = scope.spawn(move || recorder.record_all(&recorded));
        for index in 0..settings.callers.max(1) {
            let (ordered, records) = (ordered.clone(), records.clone());
            let shared = &shared;
            scope.spawn(move || make_calls(shared, index, &ordered, &records));
        }
        drop(records);
        let unsent = issue(&shared, &orders, stop);
        drop(orders);
        (unsent, recording.join().expect("the recorder does not panic"))
    });
    recorder.summary(started.elapsed(), unsent).context(HistorySnafu)
}

/// Why a run has no result.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The history file cannot be created.
    #[snafu(display("could not create {}: {source}; choose another file", path.display()))]
    CreateHistory {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The history file cannot be written.
    #[snafu(display("could not write the history: {source}; check the free space"))]
    History {
        /// The cause.
        source: io::Error,
    },
}

/// Creates the history file, if one is wanted.
fn open_history(settings: &Settings) -> Result<Option<BufWriter<File>>> {
    let create = |path: &PathBuf| {
        File::create(path).context(CreateHistorySnafu { path }).map(BufWriter::new)
    };
    settings.history.as_ref().map(create).transpose()
}

/// Issues all calls at their times and returns the number of those that found no room.
///
/// Waves go on until the last submission is answered.
fn issue(shared: &Shared, orders: &Sender<CallOrder>, stop: &AtomicBool) -> u64 {
    let settings = &shared.settings;
    let start = clock::now();
    let began = Instant::now();
    let mut rng = SmallRng::seed_from_u64(settings.seed.wrapping_add(1));
    let mut storm =
        Wave::new(settings.storm_every_ms, settings.storm_share, Purpose::Resubmit);
    let mut cancellation =
        Wave::new(settings.cancel_every_ms, settings.cancel_share, Purpose::Cancel);
    let mut unsent = 0;
    for planned in Plan::new(settings, format!("{:x}", start.as_us())) {
        let due = Duration::from_micros(planned.due_us);
        loop {
            let elapsed = began.elapsed();
            unsent += storm.issue(elapsed, &shared.flights, orders, &mut rng);
            unsent += cancellation.issue(elapsed, &shared.flights, orders, &mut rng);
            if elapsed >= due || stop.load(Ordering::Relaxed) {
                break;
            }
            thread::sleep((due - elapsed).min(PAUSE_MAX));
        }
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let order = CallOrder {
            due: start.plus_us(planned.due_us),
            planned: Arc::new(planned),
            id: None,
            purpose: Purpose::Submit,
            avoid: None,
            resends: settings.resend_unanswered,
        };
        unsent += u64::from(orders.try_send(order).is_err());
    }
    while !(orders.is_empty() && shared.flights.is_empty()) {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let elapsed = began.elapsed();
        unsent += storm.issue(elapsed, &shared.flights, orders, &mut rng);
        unsent += cancellation.issue(elapsed, &shared.flights, orders, &mut rng);
        thread::sleep(PAUSE_MAX);
    }
    unsent
}
