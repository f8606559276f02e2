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
use crate::site::page;

/// The shortest time between two ticks.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// How long after the start of the process requests wait for the first configuration. It
/// usually arrives within 50 ms; when the store is away, requests are refused at once later.
const FIRST_CATALOG_PATIENCE: Duration = Duration::from_millis(500);

/// The frames that wait for a link; more mean that the peer does not read.
const LINK_FRAMES: usize = 256;

/// The engine of this process and its surroundings; clones share them.
#[derive(Clone)]
pub struct Shell {
    inner: Rc<Inner>,
}

/// Ends a request when its handler ends, also when the client has left.
struct OpenRequest<'a> {
    shell: &'a Shell,
    key: RequestKey,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.shell.close_request(self.key);
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
    catalog_known: Notify,
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

impl Shell {
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
                catalog_known: Notify::new(),
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
    pub fn read<T>(&self, look: impl FnOnce(&Engine, Moment) -> T) -> T {
        look(&self.inner.engine.borrow(), clock::now())
    }

    /// Passes an event to the engine and carries out what follows from it.
    pub fn event<T>(&self, event: impl FnOnce(&mut Engine, Moment) -> T) -> T {
        let now = clock::now();
        let mut engine = self.inner.engine.borrow_mut();
        let unconfigured = engine.catalog().version == 0;
        let result = event(&mut engine, now);
        if unconfigured && engine.catalog().version > 0 {
            self.inner.catalog_known.notify_waiters();
        }
        let effects = engine.take_effects();
        let frames = engine.take_frames(now);
        let due = engine.next_due(now);
        drop(engine);
        for effect in effects {
            self.carry_out(effect);
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
        let known = self.inner.catalog_known.notified();
        let current = || self.read(|engine, _| Arc::clone(engine.catalog()));
        let catalog = current();
        if catalog.version > 0 {
            return catalog;
        }
        // Without one in time, the request is refused by its reader.
        let _ = timeout_at(self.inner.started + FIRST_CATALOG_PATIENCE, known).await;
        current()
    }

    /// Finds out whether jobs are stored.
    pub async fn find_stored_use(self) {
        let used = self.inner.logs.find_use().await;
        self.event(|engine, now| engine.stored_jobs_known(now, used));
    }

    /// Calls the engine whenever something is due.
    pub async fn run_timer(self) {
        loop {
            let now = clock::now();
            let due = self.inner.engine.borrow().next_due(now);
            self.inner.timer_due.set(due);
            let wait = Duration::from_millis(due.since(now)).max(MIN_SLEEP);
            tokio::select! {
                () = sleep(wait) => self.event(|engine, now| {
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
        let _open = OpenRequest { shell: self, key };
        self.event(|engine, now| begin(engine, now, key));
        receiver.await.unwrap_or(Answer::GivenUp)
    }

    /// Ends a request; if it has no answer yet, its client is gone.
    fn close_request(&self, key: RequestKey) {
        if self.inner.requests.borrow_mut().remove(&key).is_some() {
            self.event(|engine, now| engine.abandon(now, key));
        }
    }

    /// Returns the number of requests that wait.
    pub fn open_requests(&self) -> usize {
        self.inner.requests.borrow().len()
    }

    /// Returns whether the platform may send new connections.
    pub fn is_ready(&self) -> bool {
        let known = self.read(|engine, _| engine.catalog().version > 0);
        !self.is_closing() && known
    }

    /// Tells the platform to send no new connections.
    pub fn set_not_ready(&self) {
        self.inner.closing.set(true);
    }

    /// Returns whether connections are closed after their current request.
    pub fn is_closing(&self) -> bool {
        self.inner.closing.get()
    }

    /// Opens a link to each peer that has none.
    pub fn open_links(&self) {
        let peers = self.read(|engine, _| engine.peers());
        let mut open = self.inner.links.borrow_mut();
        open.retain(|key, _| peers.iter().any(|(peer, _)| peer == key));
        for (key, address) in peers {
            open.entry(key).or_insert_with(|| {
                let (sender, receiver) = mpsc::channel(LINK_FRAMES);
                self.spawn(links::carry(self.clone(), key, address, receiver));
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
    fn carry_out(&self, effect: Effect) {
        let shell = self.clone();
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
                let answer = shell.inner.minions.start(&order).await;
                page::record_order("start", answer, sent.elapsed());
                let (key, token) = (order.target.minion, order.target.fencing_token);
                shell.event(|engine, now| {
                    engine.start_answered(now, key, token, order.run, answer);
                });
            }),
            Effect::Stop(order) => self.spawn(async move {
                let sent = Instant::now();
                let answer = shell.inner.minions.stop(&order).await;
                page::record_order("stop", answer, sent.elapsed());
                let (key, token) = (order.target.minion, order.target.fencing_token);
                shell.event(|engine, now| {
                    engine.stop_answered(now, key, token, order.run, answer);
                });
            }),
            Effect::Hold(order) => self.spawn(async move {
                let sent = Instant::now();
                let answer = shell.inner.minions.hold(&order).await;
                page::record_hold(&answer, sent.elapsed());
                let (key, number) = (order.target.minion, order.number);
                shell.event(|engine, now| {
                    engine.hold_answered(now, key, number, answer);
                });
            }),
            Effect::RecordStoredJobUse => {
                self.spawn(async move { shell.inner.logs.mark_use().await })
            }
            Effect::Advise(order) => self.spawn(async move {
                let answer = match &shell.inner.advice {
                    Some(advice) => advice.advise(&order).await,
                    None => AdviceAnswer::Lost,
                };
                let number = order.number;
                shell.event(|engine, now| engine.advice_answered(now, number, answer));
            }),
            Effect::ReadLog(order) => self.spawn(async move {
                let page = shell.inner.logs.read(&order).await;
                shell.event(|engine, now| {
                    engine.log_read(now, order.shard, order.number, page);
                });
            }),
            Effect::Append(order) => self.spawn(async move {
                let answer = shell.inner.logs.append(&order).await;
                shell.event(|engine, now| {
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
