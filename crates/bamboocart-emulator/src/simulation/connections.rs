//! Connections of clients that break while their instance is alive.

use bamboocart_jobs::RequestKey;
use log::debug;
use rand::Rng;

use super::{CLIENT_DELAY_US, CLIENT_TIMEOUT_MS, Event, Input, Simulation};
use crate::trace::{self, Source};

/// A submission of a job to an instance.
#[derive(Debug, Copy, Clone)]
pub(super) struct Attempt {
    pub(super) job: usize,
    /// The number of the attempt.
    pub(super) number: u32,
    pub(super) instance: usize,
    /// The incarnation of the instance.
    pub(super) incarnation: u64,
}

impl Simulation<'_> {
    /// Breaks a share of the connections on which clients wait for the answer to a job.
    pub(super) fn break_connections(&mut self, share: f64) {
        for job in 0..self.jobs.len() {
            let entry = &self.jobs[job];
            let Some(sent) = entry.sent_to.filter(|it| it.number == entry.attempt) else {
                continue;
            };
            let waits = !entry.done && entry.accepted_us.is_none();
            if waits && self.rng.random_bool(share) {
                self.disconnect(sent);
            }
        }
    }

    /// Lets a client that has no answer in time close its connection.
    pub(super) fn time_out_client(&mut self, sent: Attempt) {
        let entry = &self.jobs[sent.job];
        let waits = !entry.done && entry.accepted_us.is_none();
        if waits && entry.attempt == sent.number {
            self.disconnect(sent);
        }
    }

    /// Schedules the time at which the client of a submission waits no longer.
    pub(super) fn schedule_client_timeout(&mut self, sent: Attempt) {
        if self.scenario.client_timeouts {
            self.schedule(CLIENT_TIMEOUT_MS * 1_000, Event::ClientTimeout(sent));
        }
    }

    /// Ends the connection of a submission; the client sends the job again later, to
    /// another instance if there is one.
    ///
    /// The instance learns of it when it handles that input.
    fn disconnect(&mut self, sent: Attempt) {
        let Attempt { job, number, instance, incarnation } = sent;
        trace::set_context(self.now_us, Source::Instance(instance));
        debug!(job:% = self.jobs[job].id, attempt = number; "client connection ends");
        let input = Input::ClientLeft(job, number);
        self.schedule(CLIENT_DELAY_US, Event::Input(instance, incarnation, input));
        self.jobs[job].avoid = Some(instance);
        self.retry_after_disconnect(job, number);
    }

    /// Returns the open request of a submission at an instance.
    pub(super) fn request_of(
        &self,
        instance: usize,
        job: usize,
        number: u32,
    ) -> Option<RequestKey> {
        let mut requests = self.instances[instance].requests.iter();
        requests.find(|&(_, &sent)| sent == (job, number)).map(|(&request, _)| request)
    }
}
