//! The settings of an instance, parsed from flags and environment variables.

use std::net::SocketAddr;
use std::str::FromStr;

use bamboocart_core::ownership::Horizon;
use bamboocart_core::placement::Policy;
use bamboocart_telemetry::logs::LogFormat;
use bamboocart_telemetry::trace::SAMPLING_DENOMINATOR;
use log::LevelFilter;

use crate::standalone::flags::{Flags, LimitFlags, OutputFlags, PolicyFlags};

/// The format of addresses, as error messages state it.
const ADDRESS: &str = "an IP address and port such as 127.0.0.1:7101";

/// The format of numbers, as error messages state it.
const NUMBER: &str = "a whole number that is not negative";

/// The settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the instance, unique among all instances.
    pub name: String,
    /// The failure domain that the instance is in.
    pub failure_domain: String,
    /// The listen address for callers and operators.
    pub listen: SocketAddr,
    /// The listen address for links between instances.
    pub peer_listen: SocketAddr,
    /// The address under which peers reach the instance, if it is not the listen address.
    pub peer_address: Option<SocketAddr>,
    /// The addresses of peers to contact at the start, in case the platform's list is not
    /// available.
    pub seed: Vec<SocketAddr>,
    /// The address of the platform's HTTP interface.
    pub platform: SocketAddr,
    /// Bounds on connections, memory and time.
    pub limits: Limits,
    /// Placement, and the policies that can be switched off.
    pub policies: Policies,
    /// Where and how logs and traces are written.
    pub output: Output,
}

/// The limits of an instance; what exceeds one is refused as "not run".
#[derive(Debug, Copy, Clone)]
pub struct Limits {
    /// The largest number of concurrent sends to targets.
    pub max_sends: usize,
    /// The largest number of connections from callers and operators.
    pub max_connections: usize,
    /// The largest size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The largest number of queued tasks of one target group.
    pub queue_tasks: usize,
    /// The largest number of submissions without an answer.
    pub open_submissions: usize,
    /// The largest number of remembered submissions, open ones included.
    pub remembered_submissions: usize,
    /// The time in milliseconds for which an answer is remembered.
    pub remember_ms: u64,
    /// How far ahead ranges of caller keys are claimed; the keys of a dead instance are
    /// served again after this time.
    pub claim_horizon: Horizon,
    /// The time in milliseconds between the end of readiness and the end of admission at
    /// a planned stop, in which load balancers notice.
    pub lame_duck_ms: u64,
}

/// The policies of an instance.
#[derive(Debug, Copy, Clone)]
pub struct Policies {
    /// The policy that chooses the target of a task.
    pub placement: Policy,
    /// Disables offering tasks to peers with free slots.
    pub no_lending: bool,
    /// Disables the ejection of failing targets.
    pub no_ejection: bool,
    /// Disables hedges.
    pub no_hedges: bool,
}

/// The logs and traces of an instance.
#[derive(Debug, Clone)]
pub struct Output {
    /// The least important level that is logged.
    pub log_level: LevelFilter,
    /// The format of log lines on standard error.
    pub log_format: LogFormat,
    /// The file to which spans are appended as OTLP-JSON lines, if any.
    pub trace_file: Option<String>,
    /// How many of 10,000 traces are recorded, among those that callers did not start.
    pub trace_per_10k: u16,
}

impl Settings {
    /// Parses the settings, or returns a message for every invalid flag.
    pub fn read(flags: Flags) -> Result<Self, Vec<String>> {
        let mut errors = SettingErrors::default();
        match Self::parse(flags, &mut errors) {
            Some(settings) if errors.0.is_empty() => Ok(settings),
            _ => Err(errors.0),
        }
    }

    /// Parses the settings and collects all errors.
    fn parse(flags: Flags, errors: &mut SettingErrors) -> Option<Self> {
        let name = errors.require("--name", flags.name);
        let name_rule = "must have 1 to 64 letters, digits, '-' or '_', since it becomes \
                        part of tickets";
        errors.check("--name", name.as_deref().is_none_or(is_name), name_rule);
        let failure_domain = errors.require("--failure-domain", flags.failure_domain);
        let domain_rule = "must have 1 to 64 letters, digits, '-' or '_'";
        let is_domain = failure_domain.as_deref().is_none_or(is_name);
        errors.check("--failure-domain", is_domain, domain_rule);
        let listen = errors.require_address("--listen", flags.listen);
        let peer_listen = errors.require_address("--peer-listen", flags.peer_listen);
        let peer_address = flags.peer_address;
        let peer_address =
            peer_address.map(|text| errors.parse("--peer-address", &text, ADDRESS));
        let is_reachable = |address: SocketAddr| !address.ip().is_unspecified();
        match (peer_address, peer_listen) {
            (None, Some(address)) => errors.check(
                "--peer-listen",
                is_reachable(address),
                "names no address that peers can reach; give --peer-address",
            ),
            (Some(Some(address)), _) => {
                let unreachable = "names no address that peers can reach; use one of \
                                   this machine's addresses";
                errors.check("--peer-address", is_reachable(address), unreachable);
                errors.check("--peer-address", address.port() != 0, "needs a port");
            }
            _ => {}
        }
        let seed = flags.seed.iter().map(|text| errors.parse("--seed", text, ADDRESS));
        let seed: Vec<Option<SocketAddr>> = seed.collect();
        let platform = errors.require_address("--platform", flags.platform);
        let has_port = platform.is_none_or(|address: SocketAddr| address.port() != 0);
        errors.check("--platform", has_port, "needs a port");
        let limits = Limits::parse(&flags.limits, errors);
        let policies = Policies::parse(&flags.policies, errors);
        let output = Output::parse(flags.output, errors);
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
    /// Parses the limits and collects all errors.
    fn parse(flags: &LimitFlags, errors: &mut SettingErrors) -> Option<Self> {
        let max_sends = errors.parse_positive("--max-sends", &flags.max_sends);
        let max_connections =
            errors.parse_positive("--max-connections", &flags.max_connections);
        let max_body_bytes =
            errors.parse("--max-body-bytes", &flags.max_body_bytes, NUMBER);
        let queue_tasks = errors.parse_positive("--queue-tasks", &flags.queue_tasks);
        let open = errors.parse("--open-submissions", &flags.open_submissions, NUMBER);
        let remembered = &flags.remembered_submissions;
        let remembered = errors.parse("--remembered-submissions", remembered, NUMBER);
        let remember_ms = errors.parse("--remember-ms", &flags.remember_ms, NUMBER);
        let claim_horizon =
            errors.parse("--claim-horizon-ms", &flags.claim_horizon_ms, NUMBER);
        let claim_horizon = claim_horizon.map(Horizon::new);
        errors.check(
            "--claim-horizon-ms",
            !matches!(claim_horizon, Some(Err(_))),
            "must be 15000 to 200000, so that a live instance can extend its claims in \
             time and clocks may differ by 80 s",
        );
        let lame_duck_ms = errors.parse("--lame-duck-ms", &flags.lame_duck_ms, NUMBER);
        let is_larger = open.zip(remembered).is_none_or(|(open, all)| all > open);
        errors.check(
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
    /// Parses the policies and collects all errors.
    fn parse(flags: &PolicyFlags, errors: &mut SettingErrors) -> Option<Self> {
        let PolicyFlags { no_lending, no_ejection, no_hedges, .. } = *flags;
        let form = "earliest-finish, random, shortest-queue or two-choices";
        let placement = errors.parse("--placement", &flags.placement, form)?;
        Some(Self { placement, no_lending, no_ejection, no_hedges })
    }
}

impl Output {
    /// Parses the settings of logs and traces and collects all errors.
    fn parse(flags: OutputFlags, errors: &mut SettingErrors) -> Option<Self> {
        let levels = "error, warn, info, debug or trace";
        let log_level = errors.parse("--log-level", &flags.log_level, levels);
        let formats = "`text` or `json`";
        let log_format = errors.parse("--log-format", &flags.log_format, formats);
        let share = errors.parse("--trace-per-10k", &flags.trace_per_10k, NUMBER);
        let is_share = share.is_none_or(|share| share <= SAMPLING_DENOMINATOR);
        errors.check("--trace-per-10k", is_share, "must be at most 10000");
        Some(Self {
            log_level: log_level?,
            log_format: log_format?,
            trace_file: flags.trace_file,
            trace_per_10k: share?,
        })
    }
}

/// The error messages of settings, collected so that one run reports all of them.
#[derive(Debug, Default)]
struct SettingErrors(Vec<String>);

impl SettingErrors {
    /// Adds an error with the flag, its environment variable and the remedy.
    fn add(&mut self, flag: &str, error: &str) {
        // The only flag that may be repeated has no environment variable.
        let variable = match flag {
            "--seed" => String::new(),
            _ => {
                let name = flag.trim_start_matches('-').replace('-', "_");
                format!(" [env:BAMBOOCART_{}]", name.to_uppercase())
            }
        };
        self.0.push(format!("{flag} {error}{variable}"));
    }

    /// Adds an error unless a setting is valid.
    fn check(&mut self, flag: &str, is_valid: bool, error: &str) {
        if !is_valid {
            self.add(flag, error);
        }
    }

    /// Parses a value, or adds an error with the expected format.
    fn parse<T: FromStr>(&mut self, flag: &str, text: &str, form: &str) -> Option<T> {
        let value = text.parse().ok();
        self.check(flag, value.is_some(), &format!("is `{text}`; use {form}"));
        value
    }

    /// Parses a number that is at least 1.
    fn parse_positive(&mut self, flag: &str, text: &str) -> Option<usize> {
        let value = self.parse(flag, text, NUMBER)?;
        self.check(flag, value > 0, "must be at least 1");
        Some(value)
    }

    /// Returns a required value, or adds an error if it is missing.
    fn require(&mut self, flag: &str, text: Option<String>) -> Option<String> {
        self.check(flag, text.is_some(), "is needed and not given; set it");
        text
    }

    /// Parses a required address.
    fn require_address(
        &mut self,
        flag: &str,
        text: Option<String>,
    ) -> Option<SocketAddr> {
        let text = self.require(flag, text)?;
        self.parse(flag, &text, ADDRESS)
    }
}

/// Reports whether a name can be part of a ticket.
fn is_name(text: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (1..=64).contains(&text.len()) && text.chars().all(valid)
}
