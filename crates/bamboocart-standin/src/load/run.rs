//! Runs the load generator.

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
use super::in_flight::QueuedCall;
use super::periodic::PeriodicCalls;
use super::plan::Plan;
use super::recorder::Recorder;
use super::settings::Settings;
use super::summary::Summary;

/// A result with an error of the load generator.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The number of calls that may wait for a free caller; further ones count as unsent.
const MAX_QUEUED_CALLS: usize = 100_000;

/// The number of records that may wait to be written; callers block beyond it.
const MAX_QUEUED_RECORDS: usize = 10_000;

/// The longest pause of the main loop, which bounds the delay of a stop.
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// Runs the load until its end or until `stop` is set, and returns the measurements.
pub fn run(settings: &Settings, stop: &AtomicBool) -> Result<Summary> {
    let recorder = Recorder::new(open_history(settings)?);
    let (call_queue, queued) = channel::bounded(MAX_QUEUED_CALLS);
    let (records, recorded) = channel::bounded(MAX_QUEUED_RECORDS);
    let shared = Shared::new(settings);
    let started = Instant::now();
    let (unsent, recorder) = thread::scope(|scope| {
        let recording = scope.spawn(move || recorder.record_all(&recorded));
        for index in 0..settings.callers.max(1) {
            let (queued, records) = (queued.clone(), records.clone());
            let shared = &shared;
            scope.spawn(move || make_calls(shared, index, &queued, &records));
        }
        drop(records);
        let unsent = issue(&shared, &call_queue, stop);
        drop(call_queue);
        (unsent, recording.join().expect("the recorder does not panic"))
    });
    recorder.summary(started.elapsed(), unsent).context(HistorySnafu)
}

/// An error that prevents a run or its result.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The history file cannot be created.
    #[snafu(display(
        "could not create {}: {source}; choose another file",
        path.display()
    ))]
    CreateHistory {
        /// The path of the history file.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The history file cannot be written.
    #[snafu(display(
        "could not write the history file: {source}; check the free disk space"
    ))]
    History {
        /// The first error of writing or flushing the file.
        source: io::Error,
    },
}

/// Creates the history file if the settings name one.
fn open_history(settings: &Settings) -> Result<Option<BufWriter<File>>> {
    let create = |path: &PathBuf| {
        File::create(path).context(CreateHistorySnafu { path }).map(BufWriter::new)
    };
    settings.history.as_ref().map(create).transpose()
}

/// Queues all calls at their scheduled times.
///
/// Resubmission storms and cancellations continue until the last submission is answered.
/// Returns the number of calls that were dropped because the queue was full.
fn issue(shared: &Shared, call_queue: &Sender<QueuedCall>, stop: &AtomicBool) -> u64 {
    let settings = &shared.settings;
    let start = clock::now();
    let start_instant = Instant::now();
    let mut rng = SmallRng::seed_from_u64(settings.seed.wrapping_add(1));
    let mut resubmissions = PeriodicCalls::new(
        settings.storm_every_ms,
        settings.storm_share,
        Purpose::Resubmit,
    );
    let mut cancellations = PeriodicCalls::new(
        settings.cancel_every_ms,
        settings.cancel_share,
        Purpose::Cancel,
    );
    let mut unsent = 0;
    for planned in Plan::new(settings, format!("{:x}", start.as_us())) {
        let due = Duration::from_micros(planned.due_us);
        loop {
            let elapsed = start_instant.elapsed();
            unsent +=
                resubmissions.issue(elapsed, &shared.in_flight, call_queue, &mut rng);
            unsent +=
                cancellations.issue(elapsed, &shared.in_flight, call_queue, &mut rng);
            if elapsed >= due || stop.load(Ordering::Relaxed) {
                break;
            }
            thread::sleep((due - elapsed).min(MAX_PAUSE));
        }
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let call = QueuedCall {
            due: start.plus_us(planned.due_us),
            planned: Arc::new(planned),
            id: None,
            purpose: Purpose::Submit,
            avoid: None,
            resends_left: settings.resend_unanswered,
        };
        unsent += u64::from(call_queue.try_send(call).is_err());
    }
    while !(call_queue.is_empty() && shared.in_flight.is_empty()) {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let elapsed = start_instant.elapsed();
        unsent += resubmissions.issue(elapsed, &shared.in_flight, call_queue, &mut rng);
        unsent += cancellations.issue(elapsed, &shared.in_flight, call_queue, &mut rng);
        thread::sleep(MAX_PAUSE);
    }
    unsent
}
