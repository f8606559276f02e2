//! The callers, each of which makes one call at a time.

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
use super::flight::{CallOrder, Flights};
use super::settings::{IdSource, Settings};
use super::tickets::Tickets;

/// The number of tickets that are asked for when there is none.
const FIRST_TICKETS: u16 = 32;

/// What the threads of a run share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The client.
    client: Client,
    /// The tickets at hand.
    tickets: Tickets,
    /// The submissions that wait for an answer.
    pub flights: Flights,
    /// The number of ids so far, to take the sources in turn.
    turns: AtomicU64,
}

impl Shared {
    /// Creates what the threads of a run share.
    pub fn new(settings: &Settings) -> Self {
        let deadline_ms = settings.deadline_ms;
        Self {
            client: Client::new(settings.timeout_ms, settings.callers, deadline_ms),
            settings: settings.clone(),
            tickets: Tickets::default(),
            flights: Flights::default(),
            turns: AtomicU64::new(0),
        }
    }
}

/// Makes calls, one at a time, until there are no more.
pub fn make_calls(
    shared: &Shared,
    index: u32,
    ordered: &Receiver<CallOrder>,
    records: &Sender<CallRecord>,
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
fn make_call(shared: &Shared, rng: &mut SmallRng, order: &mut CallOrder) -> CallRecord {
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
    CallRecord {
        mark: planned.mark.clone(),
        submission_id: order.id.clone(),
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
