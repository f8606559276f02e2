//! What an instance is told by flags and environment variables.

use std::net::SocketAddr;
use std::str::FromStr;

use bamboocart_core::ownership::Horizon;
use bamboocart_core::placement::Policy;
use bamboocart_telemetry::logs::LogFormat;
use bamboocart_telemetry::trace::SAMPLING_DENOMINATOR;
use log::LevelFilter;

use crate::standalone::flags::{Flags, LimitFlags, OutputFlags, PolicyFlags};

/// The form of addresses.
const ADDRESS: &str = "an IP address and port such as 127.0.0.1:7101";

/// The form of numbers.
const NUMBER: &str = "a whole number that is not negative";

/// The settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the instance.
    pub name: String,
    /// The failure domain that it is in.
    pub failure_domain: String,
    /// The address for callers and operators.
    pub listen: SocketAddr,
    /// The address for links between instances.
    pub peer_listen: SocketAddr,
    /// The address under which peers reach it, if another.
    pub peer_address: Option<SocketAddr>,
    /// Links of peers to greet at the start.
    pub seed: Vec<SocketAddr>,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The bounds.
    pub limits: Limits,
    /// The policies.
    pub policies: Policies,
    /// The logs and traces.
    pub output: Output,
}

/// The bounds of an instance.
#[derive(Debug, Copy, Clone)]
pub struct Limits {
    /// The largest number of sends to targets at the same time.
    pub max_sends: usize,
    /// The largest number of connections from callers and operators.
    pub max_connections: usize,
    /// The largest size of a request body.
    pub max_body_bytes: usize,
    /// The largest number of queued tasks of one target group.
    pub queue_tasks: usize,
    /// The largest number of submissions without an answer.
    pub open_submissions: usize,
    /// The largest number of remembered submissions, open ones included.
    pub remembered_submissions: usize,
    /// The time for which an answer is remembered.
    pub remember_ms: u64,
    /// The time ahead for which ranges of caller keys are claimed.
    pub claim_horizon: Horizon,
    /// The time at a planned stop from the end of readiness to the end of admission.
    pub lame_duck_ms: u64,
}

/// The policies of an instance.
#[derive(Debug, Copy, Clone)]
pub struct Policies {
    /// How targets are chosen.
    pub placement: Policy,
    /// Whether tasks are not offered to peers.
    pub no_lending: bool,
    /// Whether failing targets are not ejected.
    pub no_ejection: bool,
    /// Whether no hedges are sent.
    pub no_hedges: bool,
}

/// The logs and traces of an instance.
#[derive(Debug, Clone)]
pub struct Output {
    /// The least important level that is logged.
    pub log_level: LevelFilter,
    /// The form of log lines.
    pub log_format: LogFormat,
    /// The file that spans are written to.
    pub trace_file: Option<String>,
    /// The recorded share, of 10,000, of traces that callers did not start.
    pub trace_per_10k: u16,
}

impl Settings {
    /// Reads the settings, or returns everything that is wrong with them.
    pub fn read(flags: Flags) -> Result<Self, Vec<String>> {
        let mut faults = Faults::default();
        match Self::parse(flags, &mut faults) {
            Some(settings) if faults.0.is_empty() => Ok(settings),
            _ => Err(faults.0),
        }
    }

    /// Reads the settings and notes every fault.
    fn parse(flags: Flags, faults: &mut Faults) -> Option<Self> {
        let name = faults.need("--name", flags.name);
        let name_use = "must have 1 to 64 letters, digits, '-' or '_', since it becomes \
                        part of tickets";
        faults.check("--name", name.as_deref().is_none_or(is_name), name_use);
        let failure_domain = faults.need("--failure-domain", flags.failure_domain);
        let domain_use = "must have 1 to 64 letters, digits, '-' or '_'";
        let is_domain = failure_domain.as_deref().is_none_or(is_name);
        faults.check("--failure-domain", is_domain, domain_use);
        let listen = faults.needed_address("--listen", flags.listen);
        let peer_listen = faults.needed_address("--peer-listen", flags.peer_listen);
        let peer_address = flags.peer_address;
        let peer_address =
            peer_address.map(|text| faults.parse("--peer-address", &text, ADDRESS));
        let is_reachable = |address: SocketAddr| !address.ip().is_unspecified();
        match (peer_address, peer_listen) {
            (None, Some(address)) => faults.check(
                "--peer-listen",
                is_reachable(address),
                "names no address that peers can reach; give --peer-address",
            ),
            (Some(Some(address)), _) => {
                let unreachable = "names no address that peers can reach; use one of \
                                   this machine's addresses";
                faults.check("--peer-address", is_reachable(address), unreachable);
                faults.check("--peer-address", address.port() != 0, "needs a port");
            }
            _ => {}
        }
        let seed = flags.seed.iter().map(|text| faults.parse("--seed", text, ADDRESS));
        let seed: Vec<Option<SocketAddr>> = seed.collect();
        let platform = faults.needed_address("--platform", flags.platform);
        let has_port = platform.is_none_or(|address: SocketAddr| address.port() != 0);
        faults.check("--platform", has_port, "needs a port");
        let limits = Limits::parse(&flags.limits, faults);
        let policies = Policies::parse(&flags.policies, faults);
        let output = Output::parse(flags.output, faults);
        Some(Self {
            name: name?,
            failure_domain: failure_domain?,
            listen: listen?,
            peer_listen: peer_listen?,
            peer_address: peer_address.flatten(),
            seed: seed.into_iter().flatten().collect(),
            platform: platform?,
            limits: limits?,
            policies: policies?,
            output: output?,
        })
    }
}

impl Limits {
    /// Reads the bounds and notes every fault.
    fn parse(flags: &LimitFlags, faults: &mut Faults) -> Option<Self> {
        let max_sends = faults.parse_positive("--max-sends", &flags.max_sends);
        let max_connections =
            faults.parse_positive("--max-connections", &flags.max_connections);
        let max_body_bytes =
            faults.parse("--max-body-bytes", &flags.max_body_bytes, NUMBER);
        let queue_tasks = faults.parse_positive("--queue-tasks", &flags.queue_tasks);
        let open = faults.parse("--open-submissions", &flags.open_submissions, NUMBER);
        let remembered = &flags.remembered_submissions;
        let remembered = faults.parse("--remembered-submissions", remembered, NUMBER);
        let remember_ms = faults.parse("--remember-ms", &flags.remember_ms, NUMBER);
        let claim_horizon =
            faults.parse("--claim-horizon-ms", &flags.claim_horizon_ms, NUMBER);
        let claim_horizon = claim_horizon.map(Horizon::new);
        faults.check(
            "--claim-horizon-ms",
            !matches!(claim_horizon, Some(Err(_))),
            "must be 15000 to 200000, so that a live instance can extend its claims in \
             time and clocks may differ by 80 s",
        );
        let lame_duck_ms = faults.parse("--lame-duck-ms", &flags.lame_duck_ms, NUMBER);
        let is_larger = open.zip(remembered).is_none_or(|(open, all)| all > open);
        faults.check(
            "--remembered-submissions",
            is_larger,
            "must be larger than --open-submissions, so that refusals can be remembered",
        );
        Some(Self {
            max_sends: max_sends?,
            max_connections: max_connections?,
            max_body_bytes: max_body_bytes?,
            queue_tasks: queue_tasks?,
            open_submissions: open?,
            remembered_submissions: remembered?,
            remember_ms: remember_ms?,
            claim_horizon: claim_horizon?.ok()?,
            lame_duck_ms: lame_duck_ms?,
        })
    }
}

impl Policies {
    /// Reads the policies and notes every fault.
    fn parse(flags: &PolicyFlags, faults: &mut Faults) -> Option<Self> {
        let PolicyFlags { no_lending, no_ejection, no_hedges, .. } = *flags;
        let form = "earliest-finish, random, shortest-queue or two-choices";
        let placement = faults.parse("--placement", &flags.placement, form)?;
        Some(Self { placement, no_lending, no_ejection, no_hedges })
    }
}

impl Output {
    /// Reads the settings of logs and traces and notes every fault.
    fn parse(flags: OutputFlags, faults: &mut Faults) -> Option<Self> {
        let levels = "error, warn, info, debug or trace";
        let log_level = faults.parse("--log-level", &flags.log_level, levels);
        let formats = "`text` or `json`";
        let log_format = faults.parse("--log-format", &flags.log_format, formats);
        let share = faults.parse("--trace-per-10k", &flags.trace_per_10k, NUMBER);
        let is_share = share.is_none_or(|share| share <= SAMPLING_DENOMINATOR);
        faults.check("--trace-per-10k", is_share, "must be at most 10000");
        Some(Self {
            log_level: log_level?,
            log_format: log_format?,
            trace_file: flags.trace_file,
            trace_per_10k: share?,
        })
    }
}

/// The faults of settings, collected so that one run reports all of them.
#[derive(Debug, Default)]
struct Faults(Vec<String>);

impl Faults {
    /// Notes a fault with the flag, its variable and the remedy.
    fn add(&mut self, flag: &str, fault: &str) {
        // Only the repeatable flag has no variable.
        let variable = match flag {
            "--seed" => String::new(),
            _ => {
                let name = flag.trim_start_matches('-').replace('-', "_");
                format!(" [env:BAMBOOCART_{}]", name.to_uppercase())
            }
        };
        self.0.push(format!("{flag} {fault}{variable}"));
    }

    /// Notes a fault unless a setting is as it should be.
    fn check(&mut self, flag: &str, is_good: bool, fault: &str) {
        if !is_good {
            self.add(flag, fault);
        }
    }

    /// Reads a value, or notes the form that it should have.
    fn parse<T: FromStr>(&mut self, flag: &str, text: &str, form: &str) -> Option<T> {
        let value = text.parse().ok();
        self.check(flag, value.is_some(), &format!("is `{text}`; use {form}"));
        value
    }

    /// Reads a number that is not 0.
    fn parse_positive(&mut self, flag: &str, text: &str) -> Option<usize> {
        let value = self.parse(flag, text, NUMBER)?;
        self.check(flag, value > 0, "must be at least 1");
        Some(value)
    }

    /// Returns a value that has to be given.
    fn need(&mut self, flag: &str, text: Option<String>) -> Option<String> {
        self.check(flag, text.is_some(), "is needed and not given; set it");
        text
    }

    /// Reads an address that has to be given.
    fn needed_address(&mut self, flag: &str, text: Option<String>) -> Option<SocketAddr> {
        let text = self.need(flag, text)?;
        self.parse(flag, &text, ADDRESS)
    }
}

/// Reports whether a name can be part of a ticket.
fn is_name(text: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (1..=64).contains(&text.len()) && text.chars().all(valid)
}
