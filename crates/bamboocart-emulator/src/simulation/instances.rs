//! Instances: their inputs and effects, their links, and their membership in the group.

use std::net::{Ipv4Addr, SocketAddr};

use bamboocart_jobs::{
    Catalog, Effect, Engine, Frame, Member, MinionEntry, MinionState, Moment, PeerKey,
    Resources, Service, WireLimits,
};
use log::debug;
use rand::Rng;

use super::links::frame_bytes;
use super::{
    CLIENT_DELAY_US, Event, Input, JOIN_INTERVAL_US, MAX_GROUP_DELAY_US, Order,
    Simulation, UNIX_START_MS,
};
use crate::minion::Minion;
use crate::trace::{self, Source};

/// The kind of all minions, which is one of their labels.
const MINION_KIND: &str = "minion";

impl Simulation<'_> {
    /// Adds an input to the inbox of an instance.
    ///
    /// Inputs for another incarnation and outdated timers are dropped.
    pub(super) fn deliver(&mut self, instance: usize, incarnation: u64, input: Input) {
        let entry = &mut self.instances[instance];
        let outdated =
            matches!(input, Input::Tick(due_us) if due_us != entry.next_tick_us);
        if !entry.up || entry.incarnation != incarnation || outdated {
            return;
        }
        entry.inbox.push_back(input);
        if entry.inbox.len() == 1 && !entry.paused {
            let delay = entry.busy_until_us.saturating_sub(self.now_us);
            self.schedule(delay, Event::ProcessInput(instance));
        }
    }

    /// Lets an instance process the next input of its inbox.
    pub(super) fn process_next_input(&mut self, instance: usize) {
        let entry = &self.instances[instance];
        if entry.paused || !entry.up || self.stalls(instance) {
            return;
        }
        let Some(input) = self.instances[instance].inbox.pop_front() else { return };
        let now = self.steady_clock(instance);
        trace::set_context(self.now_us, Source::Instance(instance));
        let engine = &mut self.instances[instance].engine;
        match input {
            Input::Submit(job, attempt) => self.submit(instance, job, attempt),
            Input::Query(job) => self.query(instance, job),
            Input::LogReadAnswered(shard, number, page) => {
                engine.log_read(now, shard, number, page);
            }
            Input::LogAppendAnswered(shard, number, answer) => {
                engine.log_appended(now, shard, number, answer);
            }
            Input::Abandon(request) => engine.abandon(now, request),
            Input::ClientLeft(job, attempt) => {
                let request = self.request_of(instance, job, attempt);
                let entry = &mut self.instances[instance];
                if let Some(request) = request {
                    entry.requests.remove(&request);
                    entry.engine.abandon(now, request);
                }
            }
            Input::Frame(member, frame) => {
                let peer = engine.peer(now, &member);
                engine.frame_arrived(now, peer, frame);
            }
            Input::MinionListed(entry) => engine.update_minions(now, vec![*entry]),
            Input::Members(generation, members) => {
                engine.set_members(now, generation, &members);
            }
            Input::Operators(notices) => {
                engine.apply_operator_page(now, Self::operator_page(notices));
            }
            Input::LinkLost(peer) => engine.link_lost(now, peer),
            Input::StartAnswered(key, token, run, answer) => {
                engine.start_answered(now, key, token, run, answer);
            }
            Input::StopAnswered(key, token, run, answer) => {
                engine.stop_answered(now, key, token, run, answer);
            }
            Input::HoldAnswered(key, number, answer) => {
                engine.hold_answered(now, key, number, answer);
            }
            Input::Tick(_) => {
                self.instances[instance].next_tick_us = u64::MAX;
                self.instances[instance].engine.tick(now);
            }
        }
        let entry = &mut self.instances[instance];
        let cost_us = self.scenario.event_cost_us * entry.pace.cost_factor;
        entry.busy_until_us = self.now_us + cost_us;
        if !entry.inbox.is_empty() {
            self.schedule(cost_us, Event::ProcessInput(instance));
        }
        self.process_effects(instance);
    }

    /// Executes the effects of an engine, sends its frames, and sets its timer.
    pub(super) fn process_effects(&mut self, instance: usize) {
        let now = self.steady_clock(instance);
        let effects = self.instances[instance].engine.take_effects();
        let frames = self.instances[instance].engine.take_frames(now);
        let due = self.instances[instance].engine.next_due(now);
        for effect in effects {
            self.execute(instance, effect);
        }
        let mut overflowed = Vec::new();
        for (peer, frame) in frames {
            match self.drops_frame() {
                true => overflowed.push(peer),
                false => self.send_frame(instance, peer, frame),
            }
        }
        let wait_us = due.since(now).max(1) * 1_000;
        let entry = &mut self.instances[instance];
        if self.now_us + wait_us < entry.next_tick_us {
            entry.next_tick_us = self.now_us + wait_us;
            let incarnation = entry.incarnation;
            let tick = Input::Tick(entry.next_tick_us);
            self.schedule(wait_us, Event::Input(instance, incarnation, tick));
        }
        if !overflowed.is_empty() {
            overflowed.into_iter().for_each(|peer| self.lose_link(instance, peer));
            self.process_effects(instance);
        }
    }

    /// Draws whether the queue of a link is full, so that a frame is dropped.
    fn drops_frame(&mut self) -> bool {
        let share = self.dropped_frame_share;
        share > 0.0 && self.rng.random_bool(share)
    }

    /// Executes an effect of an engine.
    pub(super) fn execute(&mut self, instance: usize, effect: Effect) {
        match effect {
            Effect::Answer(request, answer) => {
                let found = self.instances[instance].requests.remove(&request);
                if let Some((job, attempt)) = found {
                    let event = Event::ClientAnswer(job, answer, attempt);
                    self.schedule(CLIENT_DELAY_US, event);
                }
            }
            Effect::Start(order) => {
                let id = order.target.id.clone();
                self.send_call(instance, &id, Order::Start(order));
            }
            Effect::Stop(order) => {
                let id = order.target.id.clone();
                self.send_call(instance, &id, Order::Stop(order));
            }
            Effect::Hold(order) => {
                let id = order.target.id.clone();
                self.send_call(instance, &id, Order::Hold(order));
            }
            Effect::ReadLog(read) => self.send_read(instance, read),
            Effect::Append(append) => self.send_append(instance, append),
            // All instances are told at their start whether the scenario has stored jobs.
            Effect::RecordStoredJobUse => {}
            // No queue of the emulator uses the advice service.
            Effect::Advise(_) => {}
        }
    }

    /// Sends a frame to a peer, or drops it if the link is closed, silent or partitioned.
    pub(super) fn send_frame(&mut self, instance: usize, peer: PeerKey, frame: Frame) {
        self.report.frames += 1;
        let Some(&other) = self.instances[instance].links.get(&peer) else { return };
        if !self.is_intended_incarnation(other, instance, peer) {
            return;
        }
        let path = self
            .path_delay_us(self.instances[instance].domain, self.instances[other].domain);
        if let Some(delay_us) = path
            && !self.links_silent
        {
            let member = self.instances[instance].member.clone();
            let incarnation = self.instances[other].incarnation;
            let bytes =
                if self.scenario.links.is_some() { frame_bytes(&frame) } else { 0 };
            let sent_us = self.cross_link_us(instance, bytes);
            let received_us = self.cross_link_us(other, bytes);
            let delay_us = delay_us + sent_us + received_us;
            let input = Input::Frame(member, frame);
            self.schedule(delay_us, Event::Input(other, incarnation, input));
        }
    }

    /// Opens missing links, and closes those to peers that cannot be reached anymore.
    pub(super) fn open_links(&mut self) {
        for instance in 0..self.instances.len() {
            let entry = &self.instances[instance];
            // A link is opened again after its loss was handled.
            let loses_link =
                entry.inbox.iter().any(|it| matches!(it, Input::LinkLost(_)));
            if !entry.up || loses_link || self.is_unresponsive(instance) {
                continue;
            }
            for (peer, address) in self.instances[instance].engine.peers() {
                let other = self
                    .instance_at(address)
                    .filter(|&it| self.is_intended_incarnation(it, instance, peer));
                let known = self.instances[instance].links.contains_key(&peer);
                let path = other.and_then(|other| {
                    let from = self.instances[instance].domain;
                    self.path_delay_us(from, self.instances[other].domain)
                });
                match (known, path.is_some()) {
                    (false, true) => {
                        let other = other.unwrap_or(instance);
                        self.instances[instance].links.insert(peer, other);
                        trace::set_context(self.now_us, Source::Instance(instance));
                        debug!(to:% = Source::Instance(other); "link opened");
                        self.instances[instance].engine.link_opened(peer);
                    }
                    (true, false) => self.lose_link(instance, peer),
                    (true, true) | (false, false) => {}
                }
            }
            self.process_effects(instance);
        }
    }

    /// Returns whether `other` is the incarnation that `instance` knows as a peer.
    ///
    /// A link carries frames only if the intended incarnation accepts it.
    pub(super) fn is_intended_incarnation(
        &self,
        other: usize,
        instance: usize,
        peer: PeerKey,
    ) -> bool {
        let intended = self.instances[instance].engine.member_of(peer);
        intended == Some(&self.instances[other].member)
    }

    /// Returns the instance that is up at an address.
    pub(super) fn instance_at(&self, address: SocketAddr) -> Option<usize> {
        self.instances
            .iter()
            .position(|instance| instance.up && instance.member.address == address)
    }

    /// Starts a new incarnation of an instance.
    pub(super) fn start_instance(&mut self, instance: usize) {
        let now_us = self.now_us;
        let entries = self.minion_entries();
        let catalog = self.catalog();
        // The name was checked when the scenario was parsed.
        let policy = self.scenario.policy().unwrap_or_default();
        let domain = self.scenario.domains[self.instances[instance].domain].name.clone();
        let entry = &mut self.instances[instance];
        entry.incarnation += 1;
        entry.member = member(&domain, instance, entry.incarnation);
        entry.up = true;
        entry.paused = false;
        entry.pace.stalled_until_us = now_us;
        entry.inbox.clear();
        entry.requests.clear();
        entry.links.clear();
        entry.next_tick_us = u64::MAX;
        entry.engine = Engine::new(entry.member.clone(), now_us ^ instance as u64);
        entry.engine.set_overload_policy(policy);
        entry.engine.set_catalog(catalog);
        let used = self.scenario.kinds.iter().any(|kind| kind.stored);
        entry.engine.stored_jobs_known(Moment(entry.clock_offset_ms), used);
        let offset_ms = entry.clock_offset_ms;
        entry.engine.set_wall_clock(Moment(offset_ms), UNIX_START_MS);
        trace::set_context(now_us, Source::Instance(instance));
        debug!("instance started");
        let now = self.steady_clock(instance);
        self.instances[instance].engine.update_minions(now, entries);
        self.instances[instance].operator_offset = 0;
        if self.store_available && !self.instances[instance].refused_by_store {
            self.read_operator_log(instance);
        }
        self.process_effects(instance);
    }

    /// Kills an instance, which breaks the connections of its clients.
    ///
    /// Its peers close their links when they next check them.
    pub(super) fn kill_instance(&mut self, instance: usize) {
        self.instances[instance].up = false;
        trace::set_context(self.now_us, Source::Instance(instance));
        debug!("instance killed");
        let lost: Vec<(usize, u32)> =
            self.instances[instance].requests.values().copied().collect();
        for (job, attempt) in lost {
            self.retry_after_disconnect(job, attempt);
        }
    }

    /// Schedules the detection of a change by the group.
    pub(super) fn schedule_group_change(&mut self, delay_us: u64) {
        self.schedule(delay_us, Event::GroupChange);
    }

    /// Renews the membership of the instances that run and reach the store.
    pub(super) fn join_group(&mut self) {
        for instance in 0..self.instances.len() {
            let responds = self.instances[instance].up && !self.is_unresponsive(instance);
            let served =
                self.store_available && !self.instances[instance].refused_by_store;
            if served && responds {
                let now = self.steady_clock(instance);
                self.instances[instance].engine.joined(now);
                self.read_operator_log(instance);
            }
        }
        self.schedule(JOIN_INTERVAL_US, Event::JoinGroup);
    }

    /// Starts a generation of the group, and tells all instances its members.
    pub(super) fn announce_group(&mut self) {
        if !self.store_available {
            return;
        }
        self.generation += 1;
        let up: Vec<Member> = self
            .instances
            .iter()
            .filter(|instance| instance.up && !instance.refused_by_store)
            .map(|n| n.member.clone())
            .collect();
        // New instances get an assignment only in the next generation, after the earlier
        // members have joined again.
        self.group_members.retain(|member| up.contains(member));
        if self.group_members.is_empty() {
            self.group_members.extend(up.first().cloned());
        }
        let members = self.group_members.clone();
        if members.len() < up.len() {
            self.group_members = up;
            self.schedule_group_change(MAX_GROUP_DELAY_US);
        }
        for instance in 0..self.instances.len() {
            let delay_us = self.rng.random_range(0..MAX_GROUP_DELAY_US);
            if self.instances[instance].refused_by_store {
                continue;
            }
            let incarnation = self.instances[instance].incarnation;
            let generation = self.generation;
            let event =
                Event::MembersUpdate(instance, incarnation, generation, members.clone());
            self.schedule(delay_us, event);
        }
    }

    /// Returns the platform's list of minions.
    pub(super) fn minion_entries(&self) -> Vec<MinionEntry> {
        self.minions.iter().map(|minion| self.minion_entry(minion)).collect()
    }

    /// Returns the entry of a minion in the platform's list.
    pub(super) fn minion_entry(&self, minion: &Minion) -> MinionEntry {
        MinionEntry {
            id: minion.id.clone(),
            service: "service".into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            failure_domain: self.scenario.domains[minion.domain].name.as_str().into(),
            state: MinionState::Ready,
            capacity: Resources {
                cpu_millicores: minion.cpu_millicores,
                memory_mb: 65_536,
                gpu_count: 0,
            },
            labels: vec![MINION_KIND.into(), rack_label(minion.rack).into()],
            incarnation: minion.process_start_us + 1,
        }
    }

    /// Returns the configuration that all instances apply.
    pub(super) fn catalog(&self) -> Catalog {
        Catalog {
            version: 1,
            queues: self.queues.clone(),
            services: vec![Service { name: "service".into(), admission_check: true }],
            limits: WireLimits::default(),
        }
    }
}

/// Returns the label of a rack.
pub(super) fn rack_label(rack: usize) -> String {
    format!("rack-{rack}")
}

/// Returns a member of the group; the incarnations of an instance share its address.
pub(super) fn member(domain: &str, number: usize, incarnation: u64) -> Member {
    let ip = Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8);
    Member {
        name: format!("entry-{number}").into(),
        failure_domain: domain.into(),
        address: SocketAddr::from((ip, 7_000)),
        incarnation,
    }
}
