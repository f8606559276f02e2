//! The driver of the engine: passes it events, runs its timer and executes its effects.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bamboocart_adapter::{AdviceClient, MinionClient, Settings};
use bamboocart_jobs::{
    AdviceAnswer, Answer, Catalog, Effect, Engine, Frame, Member, Moment, PeerKey,
    RequestKey,
};
use bamboocart_telemetry::job_metrics::{FRAMES_LOST, FRAMES_SENT};
use metrics::counter;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{self, sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::site::clock;
use crate::site::frame_queue::{self, FrameSender, QueueFull};
use crate::site::job_logs::JobLogs;
use crate::site::links;
use crate::site::metrics_page;

/// The shortest time between two ticks of the timer.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// The time after the start of the process until which requests wait for the first
/// configuration. It usually arrives within 50 ms. If the store is unavailable for
/// longer, later requests are refused immediately.
const FIRST_CATALOG_TIMEOUT: Duration = Duration::from_millis(500);

/// The engine of this process with its clients, links and timer; clones share them.
#[derive(Clone)]
pub struct Driver {
    inner: Rc<Inner>,
}

/// Closes a request when its handler is dropped, including when the client disconnects.
struct RequestGuard<'a> {
    driver: &'a Driver,
    key: RequestKey,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.driver.close_request(self.key);
    }
}

/// The state that the clones of a driver share.
struct Inner {
    member: Member,
    engine: RefCell<Engine>,
    minions: MinionClient,
    /// The logs of stored jobs.
    logs: JobLogs,
    /// The client for the advice service, if the platform has one.
    advice: Option<AdviceClient>,
    /// The requests without an answer.
    requests: RefCell<HashMap<RequestKey, oneshot::Sender<Answer>>>,
    /// The send queues of the links to peers.
    links: RefCell<HashMap<PeerKey, FrameSender>>,
    next_request: Cell<u64>,
    started: time::Instant,
    /// Wakes requests that wait for the first configuration.
    catalog_received: Notify,
    /// When the timer fires next.
    timer_due: Cell<Moment>,
    /// Wakes the timer when it has to fire earlier.
    timer_changed: Notify,
    /// Whether readiness probes fail and connections are closed after their current
    /// request.
    closing: Cell<bool>,
    /// Cancels all tasks.
    cancel: CancellationToken,
}

impl Driver {
    /// Creates the engine of an instance and its driver; spawns no tasks.
    pub fn new(member: Member, settings: &Settings, cancel: CancellationToken) -> Self {
        let mut engine = Engine::new(member.clone(), member.incarnation);
        engine.set_store_limits(settings.store_limits);
        engine.set_remote_factor(settings.remote_factor);
        engine.set_wall_clock(clock::now(), clock::unix_ms());
        Self {
            inner: Rc::new(Inner {
                engine: RefCell::new(engine),
                logs: JobLogs::new(settings.store),
                advice: settings.advice.map(AdviceClient::new),
                member,
                minions: MinionClient::default(),
                requests: RefCell::default(),
                links: RefCell::default(),
                next_request: Cell::new(1),
                started: time::Instant::now(),
                catalog_received: Notify::new(),
                timer_due: Cell::default(),
                timer_changed: Notify::new(),
                closing: Cell::new(false),
                cancel,
            }),
        }
    }

    /// Returns the group member that this process is, with its incarnation.
    pub fn member(&self) -> &Member {
        &self.inner.member
    }

    /// Spawns a task that runs until it ends or the process stops.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let cancel = self.inner.cancel.clone();
        spawn_local(async move { cancel.run_until_cancelled(task).await });
    }

    /// Calls a closure with the engine and the current time.
    ///
    /// Panics if it is called from within [`Driver::update_engine`].
    pub fn read_engine<T>(&self, read: impl FnOnce(&Engine, Moment) -> T) -> T {
        read(&self.inner.engine.borrow(), clock::now())
    }

    /// Applies an update to the engine, then executes its effects and sends its frames.
    ///
    /// Panics if it is called from within another update.
    pub fn update_engine<T>(&self, update: impl FnOnce(&mut Engine, Moment) -> T) -> T {
        let now = clock::now();
        let mut engine = self.inner.engine.borrow_mut();
        let unconfigured = engine.catalog().version == 0;
        let result = update(&mut engine, now);
        if unconfigured && engine.catalog().version > 0 {
            self.inner.catalog_received.notify_waiters();
        }
        let effects = engine.take_effects();
        let frames = engine.take_frames(now);
        let due = engine.next_due(now);
        drop(engine);
        for effect in effects {
            self.execute(effect);
        }
        let mut overflowed = Vec::new();
        for (peer, frame) in frames {
            if let Err(QueueFull) = self.send_frame(peer, frame) {
                overflowed.push(peer);
            }
        }
        if due < self.inner.timer_due.get() {
            self.inner.timer_changed.notify_one();
        }
        // The lists of runs on a new link make up for the messages of a dropped frame. All
        // frames are queued by now, so none of them is overtaken by a later one.
        overflowed.into_iter().for_each(|peer| self.lose_link(peer));
        result
    }

    /// Closes the link of a peer to the engine.
    pub fn lose_link(&self, peer: PeerKey) {
        self.update_engine(|engine, now| engine.link_lost(now, peer));
    }

    /// Returns the configuration in force.
    ///
    /// In the first 500 ms of the process, waits for the first configuration. After that
    /// the result may be the empty one of version 0.
    pub async fn catalog(&self) -> Arc<Catalog> {
        let known = self.inner.catalog_received.notified();
        let current = || self.read_engine(|engine, _| Arc::clone(engine.catalog()));
        let catalog = current();
        if catalog.version > 0 {
            return catalog;
        }
        // After a timeout, `read_request` refuses the request.
        let _ = timeout_at(self.inner.started + FIRST_CATALOG_TIMEOUT, known).await;
        current()
    }

    /// Tells the engine whether there are stored jobs, once the store has answered.
    pub async fn check_stored_jobs(self) {
        let used = self.inner.logs.has_stored_jobs().await;
        self.update_engine(|engine, now| engine.stored_jobs_known(now, used));
    }

    /// Ticks the engine whenever it has work due; runs until the process stops.
    pub async fn run_timer(self) {
        loop {
            let now = clock::now();
            let due = self.inner.engine.borrow().next_due(now);
            self.inner.timer_due.set(due);
            let wait = Duration::from_millis(due.since(now)).max(MIN_SLEEP);
            tokio::select! {
                () = sleep(wait) => self.update_engine(|engine, now| {
                    engine.set_wall_clock(now, clock::unix_ms());
                    engine.tick(now);
                }),
                () = self.inner.timer_changed.notified() => {}
            }
        }
    }

    /// Passes a client request to the engine and waits for the answer.
    ///
    /// If the returned future is dropped because the client has disconnected, the engine
    /// abandons the request.
    pub async fn request(
        &self,
        begin: impl FnOnce(&mut Engine, Moment, RequestKey),
    ) -> Answer {
        let key = RequestKey(self.inner.next_request.get());
        self.inner.next_request.set(key.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.inner.requests.borrow_mut().insert(key, sender);
        let _open = RequestGuard { driver: self, key };
        self.update_engine(|engine, now| begin(engine, now, key));
        receiver.await.unwrap_or(Answer::GivenUp)
    }

    /// Closes a request; one without an answer is abandoned, as its client has
    /// disconnected.
    fn close_request(&self, key: RequestKey) {
        if self.inner.requests.borrow_mut().remove(&key).is_some() {
            self.update_engine(|engine, now| engine.abandon(now, key));
        }
    }

    /// Answers all requests that are still open, because the process ends now.
    pub fn give_up_requests(&self) {
        self.update_engine(|engine, now| engine.give_up_requests(now));
        // An operation on a stored job may have been carried out; its client asks again.
        self.inner.requests.borrow_mut().clear();
    }

    /// Returns the number of requests without an answer.
    pub fn open_requests(&self) -> usize {
        self.inner.requests.borrow().len()
    }

    /// Returns whether the instance accepts new connections: it has a configuration and
    /// is not closing.
    pub fn is_ready(&self) -> bool {
        let known = self.read_engine(|engine, _| engine.catalog().version > 0);
        !self.is_closing() && known
    }

    /// Makes readiness probes fail and connections close after their current request.
    pub fn start_closing(&self) {
        self.inner.closing.set(true);
    }

    /// Returns whether [`Driver::start_closing`] was called.
    pub fn is_closing(&self) -> bool {
        self.inner.closing.get()
    }

    /// Opens a link to each peer that has none, and closes those of removed peers.
    pub fn open_links(&self) {
        let peers = self.read_engine(|engine, _| engine.peers());
        let mut open = self.inner.links.borrow_mut();
        open.retain(|key, _| peers.iter().any(|(peer, _)| peer == key));
        for (key, address) in peers {
            open.entry(key).or_insert_with(|| {
                let (sender, receiver) = frame_queue::frame_queue();
                self.spawn(links::run_link(self.clone(), key, address, receiver));
                sender
            });
        }
    }

    /// Queues a frame on the link of a peer; it is lost without a link.
    ///
    /// Returns an error if the frame was dropped because the queue is full.
    fn send_frame(&self, peer: PeerKey, frame: Frame) -> frame_queue::Result<()> {
        let links = self.inner.links.borrow();
        let Some(link) = links.get(&peer) else { return Ok(()) };
        counter!(FRAMES_SENT).increment(1);
        link.send(frame).inspect_err(|_| {
            counter!(FRAMES_LOST).increment(1);
            log::warn!(target: "peer", peer:? = peer;
                "frame dropped because the queue of the link is full");
        })
    }

    /// Executes an effect; calls run in tasks that pass their answer to the engine.
    fn execute(&self, effect: Effect) {
        let driver = self.clone();
        match effect {
            Effect::Answer(request, answer) => {
                let waiting = self.inner.requests.borrow_mut().remove(&request);
                if let Some(sender) = waiting {
                    // The receiver is gone if its client has just disconnected.
                    let _ = sender.send(answer);
                }
            }
            Effect::Start(order) => self.spawn(async move {
                let sent = Instant::now();
                let answer = driver.inner.minions.start(&order).await;
                metrics_page::record_order("start", answer, sent.elapsed());
                let (key, token) = (order.target.minion, order.target.fencing_token);
                driver.update_engine(|engine, now| {
                    engine.start_answered(now, key, token, order.run, answer);
                });
            }),
            Effect::Stop(order) => self.spawn(async move {
                let sent = Instant::now();
                let answer = driver.inner.minions.stop(&order).await;
                metrics_page::record_order("stop", answer, sent.elapsed());
                let (key, token) = (order.target.minion, order.target.fencing_token);
                driver.update_engine(|engine, now| {
                    engine.stop_answered(now, key, token, order.run, answer);
                });
            }),
            Effect::Hold(order) => self.spawn(async move {
                let sent = Instant::now();
                let answer = driver.inner.minions.hold(&order).await;
                metrics_page::record_hold(&answer, sent.elapsed());
                let (key, number) = (order.target.minion, order.number);
                driver.update_engine(|engine, now| {
                    engine.hold_answered(now, key, number, answer);
                });
            }),
            Effect::RecordStoredJobUse => {
                self.spawn(async move { driver.inner.logs.record_stored_jobs().await })
            }
            Effect::Advise(order) => self.spawn(async move {
                let answer = match &driver.inner.advice {
                    Some(advice) => advice.advise(&order).await,
                    None => AdviceAnswer::Lost,
                };
                let number = order.number;
                driver.update_engine(|engine, now| {
                    engine.advice_answered(now, number, answer)
                });
            }),
            Effect::ReadLog(order) => self.spawn(async move {
                let page = driver.inner.logs.read(&order).await;
                driver.update_engine(|engine, now| {
                    engine.log_read(now, order.shard, order.number, page);
                });
            }),
            Effect::Append(order) => self.spawn(async move {
                let answer = driver.inner.logs.append(&order).await;
                driver.update_engine(|engine, now| {
                    engine.log_appended(now, order.shard, order.number, answer);
                });
            }),
        }
    }

    /// Waits until all requests have their answers, but no longer than `limit`.
    pub async fn await_requests(&self, limit: Duration) {
        let idle = async {
            while self.open_requests() > 0 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        if timeout(limit, idle).await.is_err() {
            log::warn!(target: "process", requests = self.open_requests();
                "stop timed out with open requests");
        }
    }
}
