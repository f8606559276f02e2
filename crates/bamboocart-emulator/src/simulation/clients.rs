//! Clients: they create jobs, submit and poll them, and evaluate the answers.

use std::sync::Arc;

use bamboocart_jobs::{
    Answer, JobId, JobState, NewJob, RequestKey, Resources, Step, Submission,
};
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp, LogNormal, Normal};

use super::connections::Attempt;
use super::instances::rack_label;
use super::{
    CLIENT_DELAY_US, CLIENT_TIMEOUT_MS, ClientJob, ESTIMATE_LOG_STD_DEV, Event, Input,
    LATE_LIMIT_FACTOR, LATE_WORTH_SHARE, POLL_INTERVAL_US, POLL_TIMEOUT_US,
    RESUBMIT_DELAY_US, SLACK_FACTOR, Simulation, TARGET_LATENCY_MS, WARM_UP_US,
};

impl Simulation<'_> {
    /// Lets a client resubmit its job, or poll an accepted one, after its connection
    /// broke.
    pub(super) fn retry_after_disconnect(&mut self, job: usize, attempt: u32) {
        let entry = &mut self.jobs[job];
        match () {
            () if entry.done || entry.attempt != attempt => {}
            () if entry.accepted_us.is_some() => {
                self.schedule(POLL_INTERVAL_US, Event::Poll(job))
            }
            () => {
                entry.attempt += 1;
                self.schedule(RESUBMIT_DELAY_US, Event::Send(job));
            }
        }
    }

    /// Creates and sends a job of a kind, and schedules the next one.
    pub(super) fn create_job(&mut self, kind: usize) {
        let settings = &self.scenario.kinds[kind];
        let steps = settings.steps;
        let rate = settings.jobs_per_s * self.load_factor / 1_000_000.0;
        let gap_us = Exp::new(rate).map_or(1e6, |gap| gap.sample(&mut self.rng));
        let end_us = WARM_UP_US + self.scenario.length_ms * 1_000;
        if self.now_us + (gap_us as u64) < end_us {
            self.schedule(gap_us as u64 + 1, Event::NewJob(kind));
        }
        let spread = |mean: f64, deviation: f64, rng: &mut SmallRng| {
            let normal = Normal::new(mean, mean * deviation).ok();
            normal.map_or(mean, |normal| normal.sample(rng).max(mean * 0.2))
        };
        let count = spread(settings.tasks, 0.4, &mut self.rng).round().max(1.0) as u16;
        let cpu = spread(settings.cpu_millicores, 0.2, &mut self.rng);
        let cpu = cpu.min(settings.cpu_millicores * 1.47) as u32;
        let base_ms = spread(settings.run_ms, 0.4, &mut self.rng);
        let runs_ms: Vec<f64> =
            (0..count).map(|_| spread(base_ms, 0.15, &mut self.rng)).collect();
        let longest_ms = runs_ms.iter().copied().fold(0.0, f64::max);
        let estimate_error = LogNormal::new(0.0, ESTIMATE_LOG_STD_DEV)
            .map_or(1.0, |estimate_error| estimate_error.sample(&mut self.rng));
        let work: f64 = runs_ms.iter().sum();
        let share = (work / (settings.tasks * settings.run_ms)).min(4.0);
        let id: JobId = format!("{:016x}", 0x1000_0000 + self.jobs.len())
            .parse()
            .expect("16 hexadecimal digits are a job id");
        self.job_indices.insert(id, self.jobs.len());
        self.checker.note_sent(id);
        let domain = self.rng.random_range(0..self.scenario.domains.len());
        let racks = self.scenario.racks;
        let rack = settings.needs_rack.then(|| self.rng.random_range(0..racks));
        self.jobs.push(ClientJob {
            id,
            kind,
            domain,
            first_sent_us: self.now_us,
            count,
            need: Resources { cpu_millicores: cpu, memory_mb: 64, gpu_count: 0 },
            estimate_ms: (base_ms * estimate_error) as u64,
            runs_ms,
            objective_ms: SLACK_FACTOR * longest_ms * f64::from(steps)
                + TARGET_LATENCY_MS as f64,
            worth: settings.worth * (0.3 + 0.7 * share),
            attempt: 0,
            sent_to: None,
            avoid: None,
            steps,
            gang: settings.gang,
            rack,
            stored: settings.stored,
            accepted_us: None,
            done: false,
        });
        self.send_job(self.jobs.len() - 1);
    }

    /// Submits a job to an instance of the client's failure domain, or to another one if
    /// all of them are down.
    pub(super) fn send_job(&mut self, job: usize) {
        let (domain, attempt) = (self.jobs[job].domain, self.jobs[job].attempt);
        let avoid = self.jobs[job].avoid;
        let Some(instance) = self.pick_instance(domain, avoid) else {
            return self.retry_after_disconnect(job, attempt);
        };
        let incarnation = self.instances[instance].incarnation;
        let sent = Attempt { job, number: attempt, instance, incarnation };
        self.jobs[job].sent_to = Some(sent);
        self.schedule_client_timeout(sent);
        let input = Input::Submit(job, attempt);
        let link_us = self.cross_link_us(instance, self.submission_bytes());
        let event = Event::Input(instance, incarnation, input);
        self.schedule(CLIENT_DELAY_US + link_us, event);
    }

    /// Polls the state of a stored job from an instance that is chosen as for a
    /// submission.
    pub(super) fn poll(&mut self, job: usize) {
        let entry = &mut self.jobs[job];
        if entry.done {
            return;
        }
        entry.attempt += 1;
        let (domain, attempt) = (entry.domain, entry.attempt);
        if let Some(instance) = self.pick_instance(domain, None) {
            let incarnation = self.instances[instance].incarnation;
            let input = Input::Query(job);
            self.schedule(CLIENT_DELAY_US, Event::Input(instance, incarnation, input));
        }
        self.schedule(POLL_TIMEOUT_US, Event::PollTimeout(job, attempt));
    }

    /// Chooses an instance at random among those that are up, preferably in a failure
    /// domain, and another one than `avoid`.
    fn pick_instance(&mut self, domain: usize, avoid: Option<usize>) -> Option<usize> {
        let mut all: Vec<usize> = (0..self.instances.len())
            .filter(|&instance| self.instances[instance].up)
            .collect();
        if all.len() > 1 {
            all.retain(|&instance| Some(instance) != avoid);
        }
        let own: Vec<usize> =
            all.iter().copied().filter(|&n| self.instances[n].domain == domain).collect();
        let choices = if own.is_empty() { &all } else { &own };
        let has_choice = !choices.is_empty();
        has_choice.then(|| choices[self.rng.random_range(0..choices.len())])
    }

    /// Passes a poll to the engine of an instance.
    pub(super) fn query(&mut self, instance: usize, job: usize) {
        let now = self.steady_clock(instance);
        let entry = &mut self.instances[instance];
        let request = RequestKey(entry.next_request);
        entry.next_request += 1;
        entry.requests.insert(request, (job, self.jobs[job].attempt));
        entry.engine.query(now, request, self.jobs[job].id, CLIENT_TIMEOUT_MS);
    }

    /// Passes a job to the engine of an instance, and schedules the client's timeout.
    pub(super) fn submit(&mut self, instance: usize, job: usize, attempt: u32) {
        let now = self.steady_clock(instance);
        let spec = "x".repeat(self.spec_bytes()).into();
        let entry = &mut self.instances[instance];
        let request = RequestKey(entry.next_request);
        entry.next_request += 1;
        entry.requests.insert(request, (job, attempt));
        let client = &self.jobs[job];
        let step = |number: u16| Step {
            count: client.count,
            need: client.need,
            estimate_ms: client.estimate_ms,
            gang: client.gang,
            required_label: client.rack.map(|rack| rack_label(rack).into()),
            max_per_minion: self.scenario.kinds[client.kind].max_per_minion,
            after: number.checked_sub(1).into_iter().collect(),
            ..Step::default()
        };
        let submission = Submission {
            request,
            queue: Arc::clone(&self.queues[client.kind]),
            job: NewJob {
                id: client.id,
                spec,
                steps: (0..client.steps).map(step).collect(),
                best_effort: !client.stored,
                repeat: None,
            },
            timeout_ms: CLIENT_TIMEOUT_MS,
        };
        entry.engine.submit(now, submission);
        let timeout = Event::Input(instance, entry.incarnation, Input::Abandon(request));
        self.schedule((CLIENT_TIMEOUT_MS + 5) * 1_000, timeout);
    }

    /// Handles an answer at a client; one to an earlier attempt is ignored.
    pub(super) fn handle_answer(&mut self, job: usize, answer: Answer, attempt: u32) {
        let entry = &mut self.jobs[job];
        if entry.done || entry.attempt != attempt {
            return;
        }
        let report = &mut self.report.kinds[entry.kind];
        match answer {
            Answer::Accepted => {
                if entry.accepted_us.is_none() {
                    entry.accepted_us = Some(self.now_us);
                    self.schedule(POLL_INTERVAL_US, Event::Poll(job));
                }
            }
            Answer::State(JobState::Pending | JobState::Active) => {
                self.schedule(POLL_INTERVAL_US, Event::Poll(job));
            }
            Answer::State(JobState::Failed) => {
                entry.done = true;
                self.checker.note_failed(self.now_us, entry.id);
            }
            Answer::Ended(JobState::Completed) | Answer::State(JobState::Completed) => {
                if entry.stored {
                    let tasks = (0..entry.steps).flat_map(|step| {
                        (0..entry.count).map(move |index| (step, index))
                    });
                    let tasks = tasks.collect::<Vec<_>>();
                    self.checker.note_completed(
                        self.now_us,
                        entry.id,
                        &tasks,
                        entry.gang,
                    );
                }
                entry.done = true;
                let took_ms = (self.now_us - entry.first_sent_us) / 1_000;
                report.latencies_ms.push(took_ms);
                let share = match took_ms as f64 / entry.objective_ms {
                    share if share <= 1.0 => {
                        report.in_time += 1;
                        1.0
                    }
                    share if share <= LATE_LIMIT_FACTOR => {
                        report.late += 1;
                        LATE_WORTH_SHARE
                    }
                    _ => 0.0,
                };
                report.earned += entry.worth * share;
                let (second, earned) = (entry.sent_second(), entry.worth * share);
                self.report.second_mut(second).earned += earned;
            }
            Answer::Refused { .. } | Answer::Unavailable
                if entry.accepted_us.is_none() =>
            {
                entry.done = true;
                report.refused += 1;
                self.checker.note_refusal(self.now_us, entry.id, attempt == 0);
            }
            Answer::GivenUp | Answer::Unknown if entry.accepted_us.is_some() => {
                let accepted_us = entry.accepted_us.unwrap_or_default();
                if answer == Answer::Unknown {
                    self.checker.note_unknown(self.now_us, entry.id, accepted_us);
                }
                self.schedule(POLL_INTERVAL_US, Event::Poll(job));
            }
            Answer::GivenUp => self.retry_after_disconnect(job, attempt),
            _ => entry.done = true,
        }
    }
}
