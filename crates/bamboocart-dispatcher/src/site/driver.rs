//! The engine with everything that its effects need.

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
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{self, sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::site::clock;
use crate::site::job_logs::JobLogs;
use crate::site::links;
use crate::site::metrics_page;

/// The shortest time between two ticks.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// How long after the start of the process requests wait for the first configuration. It
/// usually arrives within 50 ms; when the store is away, requests are refused at once later.
const FIRST_CATALOG_TIMEOUT: Duration = Duration::from_millis(500);

/// The frames that wait for a link; more mean that the peer does not read.
const LINK_QUEUE_FRAMES: usize = 256;

/// The engine of this process and its surroundings; clones share them.
#[derive(Clone)]
pub struct Driver {
    inner: Rc<Inner>,
}

/// Ends a request when its handler ends, also when the client has left.
struct RequestGuard<'a> {
    driver: &'a Driver,
    key: RequestKey,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.driver.close_request(self.key);
    }
}

/// What the clones of a shell share.
struct Inner {
    /// This instance.
    member: Member,
    /// The decisions.
    engine: RefCell<Engine>,
    /// The calls to minions.
    minions: MinionClient,
    /// The calls to the logs of stored jobs.
    logs: JobLogs,
    /// The calls to the advice service, if there is one.
    advice: Option<AdviceClient>,
    /// The requests that wait for their answers.
    requests: RefCell<HashMap<RequestKey, oneshot::Sender<Answer>>>,
    /// The ways to peers.
    links: RefCell<HashMap<PeerKey, mpsc::Sender<Frame>>>,
    /// The number of the next request.
    next_request: Cell<u64>,
    /// When the process started.
    started: time::Instant,
    /// Tells the requests that wait that a configuration is in force.
    catalog_received: Notify,
    /// When the timer fires.
    timer_due: Cell<Moment>,
    /// Tells the timer that it has to fire earlier.
    timer_changed: Notify,
    /// Whether the platform is told to send no new connections, and open ones are closed
    /// after their current request.
    closing: Cell<bool>,
    /// Ends all tasks.
    cancel: CancellationToken,
}

impl Driver {
    /// Creates the engine of an instance.
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

    /// Returns this instance as a member of the group.
    pub fn member(&self) -> &Member {
        &self.inner.member
    }

    /// Runs a task until it ends or all tasks are ended.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let cancel = self.inner.cancel.clone();
        spawn_local(async move { cancel.run_until_cancelled(task).await });
    }

    /// Reads the engine.
    pub fn read_engine<T>(&self, read: impl FnOnce(&Engine, Moment) -> T) -> T {
        read(&self.inner.engine.borrow(), clock::now())
    }

    /// Passes an event to the engine and carries out what follows from it.
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
        for (peer, frame) in frames {
            self.send_frame(peer, frame);
        }
        if due < self.inner.timer_due.get() {
            self.inner.timer_changed.notify_one();
        }
        result
    }

    /// Returns the configuration in force; right after the start, waits for the first one.
    pub async fn catalog(&self) -> Arc<Catalog> {
        let known = self.inner.catalog_received.notified();
        let current = || self.read_engine(|engine, _| Arc::clone(engine.catalog()));
        let catalog = current();
        if catalog.version > 0 {
            return catalog;
        }
        // Without one in time, the request is refused by its reader.
        let _ = timeout_at(self.inner.started + FIRST_CATALOG_TIMEOUT, known).await;
        current()
    }

    /// Finds out whether jobs are stored.
    pub async fn check_stored_jobs(self) {
        let used = self.inner.logs.has_stored_jobs().await;
        self.update_engine(|engine, now| engine.stored_jobs_known(now, used));
    }

    /// Calls the engine whenever something is due.
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

    /// Passes a client's request to the engine and waits for the answer. The engine is told
    /// when the wait ends early, because the client has left.
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

    /// Ends a request; if it has no answer yet, its client is gone.
    fn close_request(&self, key: RequestKey) {
        if self.inner.requests.borrow_mut().remove(&key).is_some() {
            self.update_engine(|engine, now| engine.abandon(now, key));
        }
    }

    /// Returns the number of requests that wait.
    pub fn open_requests(&self) -> usize {
        self.inner.requests.borrow().len()
    }

    /// Returns whether the platform may send new connections.
    pub fn is_ready(&self) -> bool {
        let known = self.read_engine(|engine, _| engine.catalog().version > 0);
        !self.is_closing() && known
    }

    /// Tells the platform to send no new connections.
    pub fn start_closing(&self) {
        self.inner.closing.set(true);
    }

    /// Returns whether connections are closed after their current request.
    pub fn is_closing(&self) -> bool {
        self.inner.closing.get()
    }

    /// Opens a link to each peer that has none.
    pub fn open_links(&self) {
        let peers = self.read_engine(|engine, _| engine.peers());
        let mut open = self.inner.links.borrow_mut();
        open.retain(|key, _| peers.iter().any(|(peer, _)| peer == key));
        for (key, address) in peers {
            open.entry(key).or_insert_with(|| {
                let (sender, receiver) = mpsc::channel(LINK_QUEUE_FRAMES);
                self.spawn(links::run_link(self.clone(), key, address, receiver));
                sender
            });
        }
    }

    /// Hands a frame to the link of a peer; without a link it is lost.
    fn send_frame(&self, peer: PeerKey, frame: Frame) {
        let links = self.inner.links.borrow();
        let Some(link) = links.get(&peer) else { return };
        counter!(FRAMES_SENT).increment(1);
        if link.try_send(frame).is_err() {
            counter!(FRAMES_LOST).increment(1);
            log::warn!(target: "peer", peer:? = peer; "frame is lost; the link is full");
        }
    }

    /// Carries out an effect.
    fn execute(&self, effect: Effect) {
        let driver = self.clone();
        match effect {
            Effect::Answer(request, answer) => {
                let waiting = self.inner.requests.borrow_mut().remove(&request);
                if let Some(sender) = waiting {
                    // A receiver that is gone means that its client left just now.
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

    /// Waits until no request waits any more, at most for `limit`.
    pub async fn await_requests(&self, limit: Duration) {
        let idle = async {
            while self.open_requests() > 0 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        if timeout(limit, idle).await.is_err() {
            log::warn!(target: "process", requests = self.open_requests();
                "requests are still open at the end of the stop");
        }
    }
}
