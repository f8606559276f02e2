//! Instances: what reaches them, what they ask for, and how they come and go.

use std::net::{Ipv4Addr, SocketAddr};

use bamboocart_jobs::{
    Catalog, Effect, Engine, Frame, Member, MinionEntry, MinionState, Moment, PeerKey,
    Resources, Service, WireLimits,
};
use rand::Rng;

use super::{
    CLIENT_DELAY_US, Event, GROUP_DELAY_US, Input, JOIN_US, Order, UNIX_START_MS, World,
};
use crate::minion::Minion;
use crate::trace;

impl World<'_> {
    /// Puts something into the inbox of an instance.
    pub(super) fn deliver(&mut self, node: usize, incarnation: u64, input: Input) {
        let entry = &mut self.nodes[node];
        let outdated =
            matches!(input, Input::Tick(due_us) if due_us != entry.next_tick_us);
        if !entry.up || entry.incarnation != incarnation || outdated {
            return;
        }
        entry.inbox.push_back(input);
        if entry.inbox.len() == 1 && !entry.frozen {
            let delay = entry.busy_until_us.saturating_sub(self.now_us);
            self.schedule(delay, Event::Work(node));
        }
    }

    /// Lets an instance work on one thing.
    pub(super) fn work(&mut self, node: usize) {
        if self.nodes[node].frozen || !self.nodes[node].up {
            return;
        }
        let Some(input) = self.nodes[node].inbox.pop_front() else { return };
        let now = self.moment(node);
        trace::enter(self.now_us, node);
        let engine = &mut self.nodes[node].engine;
        match input {
            Input::Submit(job, attempt) => self.submit(node, job, attempt),
            Input::Query(job) => self.query(node, job),
            Input::LogRead(shard, ticket, page) => {
                engine.log_read(now, shard, ticket, page);
            }
            Input::Appended(shard, ticket, answer) => {
                engine.log_appended(now, shard, ticket, answer);
            }
            Input::Gone(request) => engine.abandon(now, request),
            Input::Frame(member, frame) => {
                let peer = engine.peer(now, &member);
                engine.frame_arrived(now, peer, frame);
            }
            Input::Start(key, token, run, answer) => {
                engine.start_answered(now, key, token, run, answer);
            }
            Input::Stop(key, token, run, answer) => {
                engine.stop_answered(now, key, token, run, answer);
            }
            Input::Hold(key, number, answer) => {
                engine.hold_answered(now, key, number, answer);
            }
            Input::Tick(_) => {
                self.nodes[node].next_tick_us = u64::MAX;
                self.nodes[node].engine.tick(now);
            }
        }
        let entry = &mut self.nodes[node];
        entry.busy_until_us = self.now_us + self.day.event_cost_us;
        if !entry.inbox.is_empty() {
            self.schedule(self.day.event_cost_us, Event::Work(node));
        }
        self.after(node);
    }

    /// Carries out what an engine asks for.
    pub(super) fn after(&mut self, node: usize) {
        let now = self.moment(node);
        let effects = self.nodes[node].engine.take_effects();
        let frames = self.nodes[node].engine.take_frames(now);
        let due = self.nodes[node].engine.next_due(now);
        for effect in effects {
            self.carry_out(node, effect);
        }
        for (peer, frame) in frames {
            self.send_frame(node, peer, frame);
        }
        let wait_us = due.since(now).max(1) * 1_000;
        let entry = &mut self.nodes[node];
        if self.now_us + wait_us < entry.next_tick_us {
            entry.next_tick_us = self.now_us + wait_us;
            let incarnation = entry.incarnation;
            let tick = Input::Tick(entry.next_tick_us);
            self.schedule(wait_us, Event::Input(node, incarnation, tick));
        }
    }

    /// Carries out an effect.
    pub(super) fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Answer(request, answer) => {
                let found = self.nodes[node].requests.remove(&request);
                if let Some((job, attempt)) = found {
                    let event = Event::Answered(job, answer, attempt);
                    self.schedule(CLIENT_DELAY_US, event);
                }
            }
            Effect::Start(order) => {
                let id = order.target.id.clone();
                self.send_call(node, &id, Order::Start(order));
            }
            Effect::Stop(order) => {
                let id = order.target.id.clone();
                self.send_call(node, &id, Order::Stop(order));
            }
            Effect::Hold(order) => {
                let id = order.target.id.clone();
                self.send_call(node, &id, Order::Hold(order));
            }
            Effect::ReadLog(read) => self.send_read(node, read),
            Effect::Append(append) => self.send_append(node, append),
            // All instances know from the day whether jobs are stored.
            Effect::RecordStoredJobUse => {}
            // No queue of the emulator takes advice.
            Effect::Advise(_) => {}
        }
    }

    /// Sends a frame to a peer.
    pub(super) fn send_frame(&mut self, node: usize, peer: PeerKey, frame: Frame) {
        self.report.frames += 1;
        let Some(&other) = self.nodes[node].links.get(&peer) else { return };
        if !self.accepts(other, node, peer) {
            return;
        }
        let path = self.path_us(self.nodes[node].domain, self.nodes[other].domain);
        if let Some(delay_us) = path
            && !self.links_silent
        {
            let member = self.nodes[node].member.clone();
            let incarnation = self.nodes[other].incarnation;
            let input = Input::Frame(member, frame);
            self.schedule(delay_us, Event::Input(other, incarnation, input));
        }
    }

    /// Opens the links that are missing, and loses those to instances that are gone.
    pub(super) fn open_links(&mut self) {
        for node in 0..self.nodes.len() {
            if !self.nodes[node].up || self.nodes[node].frozen {
                continue;
            }
            for (peer, address) in self.nodes[node].engine.peers() {
                let other =
                    self.node_at(address).filter(|&it| self.accepts(it, node, peer));
                let known = self.nodes[node].links.contains_key(&peer);
                let path = other.and_then(|other| {
                    let from = self.nodes[node].domain;
                    self.path_us(from, self.nodes[other].domain)
                });
                match (known, path.is_some()) {
                    (false, true) => {
                        let other = other.unwrap_or(node);
                        self.nodes[node].links.insert(peer, other);
                        self.nodes[node].engine.link_opened(peer);
                    }
                    (true, false) => self.lose_link(node, peer),
                    (true, true) | (false, false) => {}
                }
            }
            self.after(node);
        }
    }

    /// Returns whether an instance is the one that another means by a peer: a link is used
    /// only if the intended incarnation accepts it.
    pub(super) fn accepts(&self, other: usize, node: usize, peer: PeerKey) -> bool {
        let intended = self.nodes[node].engine.member_of(peer);
        intended == Some(&self.nodes[other].member)
    }

    /// Returns the instance that runs at an address.
    pub(super) fn node_at(&self, address: SocketAddr) -> Option<usize> {
        self.nodes.iter().position(|node| node.up && node.member.address == address)
    }

    /// Loses a link.
    pub(super) fn lose_link(&mut self, node: usize, peer: PeerKey) {
        self.nodes[node].links.remove(&peer);
        let now = self.moment(node);
        self.nodes[node].engine.link_lost(now, peer);
    }

    /// Starts a new incarnation of an instance.
    pub(super) fn start_node(&mut self, node: usize) {
        let now_us = self.now_us;
        let entries = self.entries();
        let catalog = self.catalog();
        let domain = self.day.domains[self.nodes[node].domain].name.clone();
        let entry = &mut self.nodes[node];
        entry.incarnation += 1;
        entry.member = member(&domain, node, entry.incarnation);
        entry.up = true;
        entry.frozen = false;
        entry.inbox.clear();
        entry.requests.clear();
        entry.links.clear();
        entry.next_tick_us = u64::MAX;
        entry.engine = Engine::new(entry.member.clone(), now_us ^ node as u64);
        entry.engine.set_catalog(catalog);
        let used = self.day.kinds.iter().any(|kind| kind.stored);
        entry.engine.stored_jobs_known(Moment(entry.clock_offset_ms), used);
        let offset_ms = entry.clock_offset_ms;
        entry.engine.set_wall_clock(Moment(offset_ms), UNIX_START_MS);
        let now = self.moment(node);
        self.nodes[node].engine.update_minions(now, entries);
        self.after(node);
    }

    /// Kills an instance: its clients notice, its peers lose their links.
    pub(super) fn kill_node(&mut self, node: usize) {
        self.nodes[node].up = false;
        let lost: Vec<(usize, u32)> =
            self.nodes[node].requests.values().copied().collect();
        for (job, attempt) in lost {
            self.connection_broke(job, attempt);
        }
    }

    /// Lets the group notice a change after a delay.
    pub(super) fn group_changed(&mut self, delay_us: u64) {
        self.schedule(delay_us, Event::Group);
    }

    /// Lets the instances that reach the store stay in the group.
    pub(super) fn join_group(&mut self) {
        for node in 0..self.nodes.len() {
            let entry = &self.nodes[node];
            if self.store_up && entry.up && !entry.frozen {
                let now = self.moment(node);
                self.nodes[node].engine.joined(now);
            }
        }
        self.schedule(JOIN_US, Event::Joins);
    }

    /// Tells all instances who is a member.
    pub(super) fn announce_group(&mut self) {
        if !self.store_up {
            return;
        }
        self.generation += 1;
        let up: Vec<Member> =
            self.nodes.iter().filter(|node| node.up).map(|n| n.member.clone()).collect();
        // Instances that have come get a part only after earlier members have joined again.
        self.owners.retain(|owner| up.contains(owner));
        if self.owners.is_empty() {
            self.owners.extend(up.first().cloned());
        }
        let members = self.owners.clone();
        if members.len() < up.len() {
            self.owners = up;
            self.group_changed(GROUP_DELAY_US);
        }
        for node in 0..self.nodes.len() {
            let delay_us = self.rng.random_range(0..GROUP_DELAY_US);
            let incarnation = self.nodes[node].incarnation;
            let generation = self.generation;
            let event = Event::Members(node, incarnation, generation, members.clone());
            self.schedule(delay_us, event);
        }
    }

    /// Returns the list of minions.
    pub(super) fn entries(&self) -> Vec<MinionEntry> {
        let entry = |minion: &Minion| MinionEntry {
            id: minion.id.clone(),
            service: "service".into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            failure_domain: self.day.domains[minion.domain].name.as_str().into(),
            state: MinionState::Ready,
            capacity: Resources {
                cpu_millicores: minion.cpu_millicores,
                memory_mb: 65_536,
                gpu_count: 0,
            },
            labels: Vec::new(),
            incarnation: minion.born_us + 1,
        };
        self.minions.iter().map(entry).collect()
    }

    /// Returns the configuration.
    pub(super) fn catalog(&self) -> Catalog {
        Catalog {
            version: 1,
            queues: self.queues.clone(),
            services: vec![Service { name: "service".into(), admission_check: true }],
            limits: WireLimits::default(),
        }
    }
}

/// Returns a member of the group; the incarnations of an instance share its address.
pub(super) fn member(domain: &str, number: usize, incarnation: u64) -> Member {
    let ip = Ipv4Addr::new(10, 0, 0, number as u8);
    Member {
        name: format!("entry-{number}").into(),
        failure_domain: domain.into(),
        address: SocketAddr::from((ip, 7_000)),
        incarnation,
    }
}
