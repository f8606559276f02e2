//! All targets of a process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bamboocart_core::id::{DomainName, Incarnation, InstanceName, RackName};
use bamboocart_platform::{InstanceEntry, ListState};
use snafu::{ResultExt, Snafu};

use crate::clock;
use crate::fault_proxy::{FaultProxy, ProxyThread, Upstream};
use crate::history::HistoryPage;
use crate::http::{self, BoundServer, HttpServer};

use super::control::{self, TargetRow};
use super::faults::FaultBody;
use super::journal::Journal;
use super::member::{Shared, Target};
use super::registrar::Registrar;
use super::run_time::RunTimes;
use super::settings::{FleetSettings, TargetSpec};
use super::timer::Timer;

/// The result of starting a fleet.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The largest number of connections to the control interface.
const CONTROL_CONNECTIONS_MAX: u32 = 64;

/// The time that registration at the platform may take before the fleet reports ready.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(10);

/// The time that the removal of registrations may take at the stop.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the address under which a target is registered.
type AddressMapper<'a> = &'a dyn Fn(&DomainName, SocketAddr) -> SocketAddr;

/// A running fleet, stopped when it is dropped.
pub struct Fleet {
    /// The control interface.
    control: FaultProxy,
    /// The members.
    members: Arc<Members>,
    /// The HTTP servers of the targets and of the control interface.
    _servers: Vec<HttpServer>,
    /// The thread that runs the relays.
    _proxies: ProxyThread,
}

/// The members of a fleet and what they share.
pub struct Members {
    /// The targets.
    targets: Vec<Arc<Target>>,
    /// What they share.
    shared: Arc<Shared>,
}

impl Fleet {
    /// Starts all targets and registers them at the platform.
    pub fn start(settings: &FleetSettings, spec: &TargetSpec) -> Result<Self> {
        Self::start_with_addresses(settings, spec, &|_, address| address)
    }

    /// Starts all targets and registers them under the addresses that `door` returns for
    /// the failure domain and the address of each.
    pub fn start_with_addresses(
        settings: &FleetSettings,
        spec: &TargetSpec,
        map_address: AddressMapper,
    ) -> Result<Self> {
        let proxies = ProxyThread::start().context(ProxySnafu)?;
        let shared = Arc::new(Shared {
            journal: Journal::default(),
            timer: Timer::start(),
            registrar: Registrar::start(settings.platform),
        });
        let mut targets = Vec::new();
        let mut servers = Vec::new();
        for index in 0..settings.count {
            let (target, server) =
                start_target((settings, spec, map_address), &proxies, &shared, index)?;
            targets.push(target);
            servers.push(server);
        }
        let members = Arc::new(Members { targets, shared });
        let served = Arc::clone(&members);
        let serve = move |call| control::serve(&served, call);
        let server = HttpServer::start(0, serve).context(HttpSnafu)?;
        let (address, max_connections) = (server.address(), CONTROL_CONNECTIONS_MAX);
        let inner = Upstream { address, max_connections };
        let control = proxies.open(settings.control_port, inner).context(ProxySnafu)?;
        servers.push(server);
        members.targets.iter().for_each(|target| target.register());
        if !members.shared.registrar.flush(REGISTRATION_TIMEOUT) {
            log::warn!("the platform did not take the registrations yet");
        }
        Ok(Self { control, members, _servers: servers, _proxies: proxies })
    }

    /// Returns where the control interface listens.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns the members.
    pub fn members(&self) -> &Members {
        &self.members
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.members.targets.iter().for_each(|target| target.unregister());
        self.members.shared.registrar.flush(REMOVAL_TIMEOUT);
        self.members.shared.timer.stop();
    }
}

impl Members {
    /// Returns the states of the targets.
    pub fn rows(&self) -> Vec<TargetRow> {
        self.targets.iter().map(|target| target.row()).collect()
    }

    /// Returns events from a sequence on.
    pub fn history(&self, from: u64, limit: usize) -> HistoryPage {
        self.shared.journal.page(from, limit)
    }

    /// Sets fault switches and returns the number of targets that were meant.
    pub fn set_faults(&self, body: &FaultBody) -> usize {
        let is_meant = |target: &&Arc<Target>| match &body.targets {
            Some(names) => names.contains(target.row().name.as_str()),
            None => true,
        };
        let meant = self.targets.iter().filter(is_meant);
        meant.inspect(|target| target.set_faults(body)).count()
    }
}

/// Why a fleet did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The relays cannot run.
    #[snafu(display("could not open a proxy: {source}; check the limit of open files"))]
    Proxy {
        /// The cause.
        source: io::Error,
    },
    /// A server did not start.
    #[snafu(display("{source}"))]
    Http {
        /// The cause.
        source: http::Error,
    },
}

/// Starts one target behind a gate.
fn start_target(
    (settings, spec, map_address): (&FleetSettings, &TargetSpec, AddressMapper),
    proxies: &ProxyThread,
    shared: &Arc<Shared>,
    index: u32,
) -> Result<(Arc<Target>, HttpServer)> {
    let server = BoundServer::bind(0).context(HttpSnafu)?;
    let inner =
        Upstream { address: server.address(), max_connections: settings.connections };
    let proxy = proxies.open(0, inner).context(ProxySnafu)?;
    let mut entry = entry(settings, spec, index, proxy.address());
    entry.address = map_address(&entry.failure_domain, proxy.address()).to_string();
    let run_times = run_times(settings, index);
    let shared = Arc::clone(shared);
    let target = Target::new(entry, spec.usage_lag_ms, run_times, proxy, shared);
    let served = Arc::clone(&target);
    Ok((target, server.serve(move |call| served.serve(call))))
}

/// Describes a target in the platform's list.
fn entry(
    settings: &FleetSettings,
    spec: &TargetSpec,
    index: u32,
    address: SocketAddr,
) -> InstanceEntry {
    let turn = index as usize;
    let domain = settings.domains.get_cyclic(turn);
    let rack = spec.per_rack.map(|per_rack| {
        let within = turn / settings.domains.count() / per_rack as usize;
        RackName::from(format!("{domain}-rack-{within}"))
    });
    InstanceEntry {
        name: InstanceName::from(format!("{}-{index}", spec.prefix)),
        role: spec.role,
        service: settings.service.as_str().into(),
        failure_domain: domain.as_str().into(),
        rack,
        address: address.to_string(),
        peer_address: None,
        state: ListState::Live,
        slots: spec.slots,
        connections: settings.connections,
        cpus: spec.cpus,
        memory_mb: spec.memory_mb,
        incarnation: Incarnation(clock::now().as_us()),
    }
}

/// Creates the run times of a target.
fn run_times(settings: &FleetSettings, index: u32) -> RunTimes {
    let speed = *settings.speeds.get_cyclic(index as usize);
    let seed = settings.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(index));
    RunTimes::new(settings.run_times(), speed, seed)
        .with_spread(settings.spread)
        .with_stragglers(settings.straggler_share, settings.straggler_factor)
}
