//! A run of the load generator.

use std::fs::File;
use std::io::{self, BufWriter};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bamboocart_core::id::SubmissionId;
use crossbeam::channel::{self, Receiver, Sender};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use snafu::{ResultExt, Snafu};
use uuid::Uuid;

use crate::clock;
use crate::history::{Purpose, SendRecord};

use super::client::Client;
use super::flight::{CallOrder, Flights};
use super::plan::Plan;
use super::recorder::Recorder;
use super::settings::{IdSource, Settings};
use super::summary::Summary;
use super::tickets::Tickets;

/// The result of a run.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The calls that may wait for a free caller; further ones are counted as not sent.
const ORDERS_MAX: usize = 100_000;

/// The records that may wait to be written; callers wait when there are more.
const RECORDS_MAX: usize = 10_000;

/// The number of tickets that are asked for when there is none.
const FIRST_TICKETS: u16 = 32;

/// The longest pause of the main loop, so that a stop is noticed.
const PAUSE_MAX: Duration = Duration::from_millis(50);

/// Runs the load until its end or until `stop` is set, and returns the measurements.
pub fn run(settings: &Settings, stop: &AtomicBool) -> Result<Summary> {
    let recorder = Recorder::new(open_history(settings)?);
    let (orders, ordered) = channel::bounded(ORDERS_MAX);
    let (records, recorded) = channel::bounded(RECORDS_MAX);
    let shared = Shared {
        client: Client::new(settings.timeout_ms, settings.callers, settings.deadline_ms),
        settings: settings.clone(),
        tickets: Tickets::default(),
        flights: Flights::default(),
        turns: AtomicU64::new(0),
    };
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

/// What the threads of a run share.
struct Shared {
    /// The settings.
    settings: Settings,
    /// The client.
    client: Client,
    /// The tickets at hand.
    tickets: Tickets,
    /// The submissions that wait for an answer.
    flights: Flights,
    /// The number of ids so far, to take the sources in turn.
    turns: AtomicU64,
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
    let mut storm = Wave::new(settings.storm_every_ms, Purpose::Resubmit);
    let mut cancellation = Wave::new(settings.cancel_every_ms, Purpose::Cancel);
    let mut unsent = 0;
    for planned in Plan::new(settings, format!("{:x}", start.as_us())) {
        let due = Duration::from_micros(planned.due_us);
        loop {
            let elapsed = began.elapsed();
            unsent += storm.issue(elapsed, shared, orders, &mut rng);
            unsent += cancellation.issue(elapsed, shared, orders, &mut rng);
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
        unsent += storm.issue(elapsed, shared, orders, &mut rng);
        unsent += cancellation.issue(elapsed, shared, orders, &mut rng);
        thread::sleep(PAUSE_MAX);
    }
    unsent
}

/// Calls that concern many waiting submissions at once.
struct Wave {
    /// The time between waves.
    every: Option<Duration>,
    /// When the next one is due.
    next: Duration,
    /// What its calls are for.
    purpose: Purpose,
}

impl Wave {
    /// Creates waves at equal intervals, or none.
    fn new(every_ms: Option<u64>, purpose: Purpose) -> Self {
        let every = every_ms.map(|ms| Duration::from_millis(ms.max(1)));
        Self { every, next: every.unwrap_or_default(), purpose }
    }

    /// Issues a wave if it is due, and returns the number of calls that found no room.
    fn issue(
        &mut self,
        elapsed: Duration,
        shared: &Shared,
        orders: &Sender<CallOrder>,
        rng: &mut SmallRng,
    ) -> u64 {
        let Some(every) = self.every.filter(|_| elapsed >= self.next) else { return 0 };
        self.next = elapsed + every;
        let share = match self.purpose {
            Purpose::Cancel => shared.settings.cancel_share,
            Purpose::Submit | Purpose::Resubmit => shared.settings.storm_share,
        };
        let calls = shared.flights.wave(self.purpose, || rng.random::<f64>() < share);
        calls.into_iter().map(|call| u64::from(orders.try_send(call).is_err())).sum()
    }
}

/// Makes calls, one at a time, until there are no more.
fn make_calls(
    shared: &Shared,
    index: u32,
    ordered: &Receiver<CallOrder>,
    records: &Sender<SendRecord>,
) {
    let seed = shared.settings.seed.wrapping_add(2).wrapping_add(u64::from(index));
    let mut rng = SmallRng::seed_from_u64(seed);
    for mut order in ordered {
        loop {
            let record = make_call(shared, &mut rng, &mut order);
            let answered = record.answer.is_some();
            let again = !answered && order.resends > 0 && order.id.is_some();
            if records.send(record).is_err() || !again {
                break;
            }
            order.resends -= 1;
            order.purpose = Purpose::Resubmit;
        }
    }
}

/// Makes one call.
fn make_call(shared: &Shared, rng: &mut SmallRng, order: &mut CallOrder) -> SendRecord {
    let settings = &shared.settings;
    let instance = choose_instance(&settings.instance, order.avoid, rng);
    let planned = Arc::clone(&order.planned);
    let submits = order.purpose == Purpose::Submit;
    if submits {
        order.id = take_id(shared, instance);
        shared.flights.begin(order, instance);
    }
    order.avoid = Some(instance);
    let sent_us = clock::now();
    let answer = match (order.purpose, &order.id) {
        (Purpose::Cancel, Some(id)) => shared.client.cancel(instance, id),
        (_, id) => {
            let wanted = wanted_tickets(shared);
            shared.client.submit(instance, &planned, id.clone(), wanted)
        }
    };
    let ended_us = clock::now();
    if submits {
        shared.flights.end(planned.number);
    }
    let (mut answer, error) = match answer {
        Ok(answer) => (Some(answer), None),
        Err(error) => (None, Some(error.to_string())),
    };
    if let Some(answer) = &mut answer {
        shared.tickets.add(std::mem::take(&mut answer.tickets));
    }
    SendRecord {
        mark: planned.mark.clone(),
        asked: order.id.clone(),
        purpose: order.purpose,
        customer: planned.customer.clone(),
        kind: planned.kind.clone(),
        job: planned.job,
        tasks: planned.tasks(),
        instance,
        due_us: order.due,
        sent_us,
        ended_us,
        ideal_us: planned.ideal_us(settings.round_trip_us),
        deadline_ms: settings.deadline_ms,
        answer,
        error,
    }
}

/// Picks an instance at random, as a load balancer does, but not the one to avoid.
fn choose_instance(
    instances: &[SocketAddr],
    avoid: Option<SocketAddr>,
    rng: &mut SmallRng,
) -> SocketAddr {
    let others = instances.iter().filter(|instance| Some(**instance) != avoid);
    let others: Vec<_> = others.copied().collect();
    let candidates = if others.is_empty() { instances } else { &others };
    candidates[rng.random_range(0..candidates.len())]
}

/// Returns the number of tickets to ask for with a submission.
fn wanted_tickets(shared: &Shared) -> u16 {
    match shared.settings.ids {
        IdSource::Tickets | IdSource::Mixed => shared.tickets.wanted(),
        IdSource::None | IdSource::Keys => 0,
    }
}

/// Returns an id for a submission, or nothing if none is wanted or can be had.
fn take_id(shared: &Shared, instance: SocketAddr) -> Option<SubmissionId> {
    let key = || Some(SubmissionId::CallerKey(Uuid::now_v7()));
    let ticket = || match shared.tickets.take() {
        Some(ticket) => Some(ticket),
        None => {
            let fetched = shared.client.tickets(instance, FIRST_TICKETS);
            shared.tickets.add(fetched.ok()?);
            shared.tickets.take()
        }
    };
    match shared.settings.ids {
        IdSource::None => None,
        IdSource::Keys => key(),
        IdSource::Tickets => ticket(),
        IdSource::Mixed if is_odd(shared.turns.fetch_add(1, Ordering::Relaxed)) => key(),
        IdSource::Mixed => ticket(),
    }
}

/// Returns whether a number is odd.
fn is_odd(number: u64) -> bool {
    number % 2 == 1
}
