//! The caller threads, each of which makes one call at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bamboocart_core::id::SubmissionId;
use crossbeam::channel::{Receiver, Sender};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

use crate::clock;
use crate::history::{CallRecord, Purpose};

use super::client::Client;
use super::in_flight::{InFlightSubmissions, QueuedCall};
use super::settings::{IdSource, Settings};
use super::tickets::TicketPool;

/// The number of tickets to fetch when the pool is empty.
const TICKET_FETCH_COUNT: u16 = 32;

/// The state that the threads of a run share.
pub struct Shared {
    /// The settings of the run.
    pub settings: Settings,
    client: Client,
    /// The unused tickets.
    tickets: TicketPool,
    /// The submissions that have an id and no answer yet.
    pub in_flight: InFlightSubmissions,
    /// The number of ids taken so far from mixed sources, which alternate.
    ids_taken: AtomicU64,
}

impl Shared {
    /// Creates the shared state of a run, without tickets or submissions.
    pub fn new(settings: &Settings) -> Self {
        let deadline_ms = settings.deadline_ms;
        Self {
            client: Client::new(settings.timeout_ms, settings.callers, deadline_ms),
            settings: settings.clone(),
            tickets: TicketPool::default(),
            in_flight: InFlightSubmissions::default(),
            ids_taken: AtomicU64::new(0),
        }
    }
}

/// Makes the queued calls, one at a time, until the queue is closed.
///
/// A submission without an answer is resubmitted under its id while resends are left. The
/// random choices depend on the seed and on the index of the caller.
pub fn make_calls(
    shared: &Shared,
    index: u32,
    queued: &Receiver<QueuedCall>,
    records: &Sender<CallRecord>,
) {
    let seed = shared.settings.seed.wrapping_add(2).wrapping_add(u64::from(index));
    let mut rng = SmallRng::seed_from_u64(seed);
    for mut call in queued {
        loop {
            let record = make_call(shared, &mut rng, &mut call);
            let answered = record.answer.is_some();
            let resend = !answered && call.resends_left > 0 && call.id.is_some();
            if records.send(record).is_err() || !resend {
                break;
            }
            call.resends_left -= 1;
            call.purpose = Purpose::Resubmit;
        }
    }
}

/// Makes one call and returns its record.
fn make_call(shared: &Shared, rng: &mut SmallRng, call: &mut QueuedCall) -> CallRecord {
    let settings = &shared.settings;
    let instance = choose_instance(&settings.instance, call.avoid, rng);
    let planned = Arc::clone(&call.planned);
    let submits = call.purpose == Purpose::Submit;
    if submits {
        call.id = take_id(shared, instance);
        shared.in_flight.begin(call, instance);
    }
    call.avoid = Some(instance);
    let sent_us = clock::now();
    let answer = match (call.purpose, &call.id) {
        (Purpose::Cancel, Some(id)) => shared.client.cancel(instance, id),
        (_, id) => {
            let wanted = wanted_tickets(shared);
            shared.client.submit(instance, &planned, id.clone(), wanted)
        }
    };
    let ended_us = clock::now();
    if submits {
        shared.in_flight.end(planned.number);
    }
    let (mut answer, error) = match answer {
        Ok(answer) => (Some(answer), None),
        Err(error) => (None, Some(error.to_string())),
    };
    if let Some(answer) = &mut answer {
        shared.tickets.add(std::mem::take(&mut answer.tickets));
    }
    CallRecord {
        mark: planned.mark.clone(),
        submission_id: call.id.clone(),
        purpose: call.purpose,
        customer: planned.customer.clone(),
        kind: planned.kind.clone(),
        job: planned.job,
        tasks: planned.tasks(),
        instance,
        due_us: call.due,
        sent_us,
        ended_us,
        ideal_us: planned.ideal_us(settings.round_trip_us),
        deadline_ms: settings.deadline_ms,
        answer,
        error,
    }
}

/// Picks an instance at random, as a load balancer does.
///
/// The instance to avoid is picked only if there is no other.
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

/// Returns the number of tickets to request with a submission; 0 if ids need none.
fn wanted_tickets(shared: &Shared) -> u16 {
    match shared.settings.ids {
        IdSource::Tickets | IdSource::Mixed => shared.tickets.wanted(),
        IdSource::None | IdSource::Keys => 0,
    }
}

/// Returns an id for a submission.
///
/// It is `None` if submissions are sent without an id or no ticket could be fetched.
fn take_id(shared: &Shared, instance: SocketAddr) -> Option<SubmissionId> {
    let key = || Some(SubmissionId::CallerKey(Uuid::now_v7()));
    let ticket = || match shared.tickets.take() {
        Some(ticket) => Some(ticket),
        None => {
            let fetched = shared.client.tickets(instance, TICKET_FETCH_COUNT);
            shared.tickets.add(fetched.ok()?);
            shared.tickets.take()
        }
    };
    match shared.settings.ids {
        IdSource::None => None,
        IdSource::Keys => key(),
        IdSource::Tickets => ticket(),
        IdSource::Mixed if is_odd(shared.ids_taken.fetch_add(1, Ordering::Relaxed)) => {
            key()
        }
        IdSource::Mixed => ticket(),
    }
}

fn is_odd(number: u64) -> bool {
    number % 2 == 1
}
