//! What an instance is told by flags and environment variables.

use std::net::SocketAddr;

use bamboocart_core::ownership::Horizon;
use bamboocart_core::placement::Policy;
use bamboocart_telemetry::logs::LogFormat;
use bpaf::{Args, Bpaf, ParseFailure};
use log::LevelFilter;

/// Runs one entry instance of bamboocart.
///
/// Prints one JSON line with its addresses when it listens. SIGTERM begins a planned
/// stop, in which the instance finishes its work; a second SIGTERM ends it at once.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(parser), version, usage(USAGE), footer(FOOTER))]
pub struct Settings {
    /// Name of this instance, unique among all instances; letters, digits, '-' and '_'
    #[bpaf(long, env("BAMBOOCART_NAME"), argument("NAME"))]
    pub name: String,
    /// Failure domain that this instance is in
    #[bpaf(long, env("BAMBOOCART_FAILURE_DOMAIN"), argument("NAME"))]
    pub failure_domain: String,
    /// IP and port for callers and operators; port 0 takes a free one
    #[bpaf(long, env("BAMBOOCART_LISTEN"), argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// IP and port for links between instances; port 0 takes a free one
    #[bpaf(long, env("BAMBOOCART_PEER_LISTEN"), argument("IP:PORT"))]
    pub peer_listen: SocketAddr,
    /// IP and port under which peers reach this instance, if not the --peer-listen one
    #[bpaf(long, env("BAMBOOCART_PEER_ADDRESS"), argument("IP:PORT"))]
    pub peer_address: Option<SocketAddr>,
    /// IP and port for links of a peer to greet at the start, in case the platform's list
    /// is not available; may be given several times
    #[bpaf(long, argument("IP:PORT"))]
    pub seed: Vec<SocketAddr>,
    /// IP and port of the platform
    #[bpaf(long, env("BAMBOOCART_PLATFORM"), argument("IP:PORT"))]
    pub platform: SocketAddr,
    #[bpaf(external)]
    pub limits: Limits,
    #[bpaf(external)]
    pub policies: Policies,
    #[bpaf(external)]
    pub output: Output,
}

/// Bounds; what is beyond a bound is refused as "not run" and harms nothing else
#[derive(Debug, Clone, Bpaf)]
pub struct Limits {
    /// Largest number of sends to targets at the same time
    #[bpaf(
        long,
        env("BAMBOOCART_SEND_THREADS"),
        argument("COUNT"),
        fallback(512),
        display_fallback
    )]
    pub send_threads: usize,
    /// Largest number of connections from callers and operators
    #[bpaf(
        long,
        env("BAMBOOCART_MAX_CONNECTIONS"),
        argument("COUNT"),
        fallback(4096),
        display_fallback
    )]
    pub max_connections: usize,
    /// Largest size of a request body in bytes
    #[bpaf(
        long,
        env("BAMBOOCART_MAX_BODY_BYTES"),
        argument("BYTES"),
        fallback(4 << 20),
        display_fallback
    )]
    pub max_body_bytes: usize,
    /// Largest number of queued tasks of one target group
    #[bpaf(
        long,
        env("BAMBOOCART_QUEUE_TASKS"),
        argument("COUNT"),
        fallback(200_000),
        display_fallback
    )]
    pub queue_tasks: usize,
    /// Largest number of submissions without an answer
    #[bpaf(
        long,
        env("BAMBOOCART_OPEN_SUBMISSIONS"),
        argument("COUNT"),
        fallback(75_000),
        display_fallback
    )]
    pub open_submissions: usize,
    /// Largest number of remembered submissions, open ones included
    #[bpaf(
        long,
        env("BAMBOOCART_REMEMBERED_SUBMISSIONS"),
        argument("COUNT"),
        fallback(100_000),
        display_fallback
    )]
    pub remembered_submissions: usize,
    /// Time in milliseconds for which an answer is remembered
    #[bpaf(
        long,
        env("BAMBOOCART_REMEMBER_MS"),
        argument("MS"),
        fallback(600_000),
        display_fallback
    )]
    pub remember_ms: u64,
    /// Time in milliseconds ahead for which ranges of caller keys are claimed; the keys
    /// of a dead instance are served again when it is over
    #[bpaf(
        long,
        env("BAMBOOCART_CLAIM_HORIZON_MS"),
        argument("MS"),
        fallback(120_000),
        display_fallback
    )]
    pub claim_horizon_ms: u64,
    /// Time in milliseconds at a planned stop from the end of readiness to the end of
    /// admission, in which the load balancer notices
    #[bpaf(
        long,
        env("BAMBOOCART_LAME_DUCK_MS"),
        argument("MS"),
        fallback(3_000),
        display_fallback
    )]
    pub lame_duck_ms: u64,
}

/// Policies, which are switched off only for measurements
#[derive(Debug, Clone, Bpaf)]
pub struct Policies {
    /// Placement: earliest-finish, random, shortest-queue or two-choices (default
    /// earliest-finish)
    #[bpaf(
        long,
        env("BAMBOOCART_PLACEMENT"),
        argument("POLICY"),
        fallback(Policy::EarliestFinish)
    )]
    pub placement: Policy,
    /// Do not offer tasks to peers with free slots
    #[bpaf(long, switch)]
    pub no_lending: bool,
    /// Do not eject failing targets
    #[bpaf(long, switch)]
    pub no_ejection: bool,
    /// Do not send hedges
    #[bpaf(long, switch)]
    pub no_hedges: bool,
}

/// Logs and traces
#[derive(Debug, Clone, Bpaf)]
pub struct Output {
    /// Least important level that is logged: error, warn, info, debug or trace (default
    /// info)
    #[bpaf(
        long,
        env("BAMBOOCART_LOG_LEVEL"),
        argument::<String>("LEVEL"),
        parse(parse_level),
        fallback(LevelFilter::Info)
    )]
    pub log_level: LevelFilter,
    /// Form of log lines on standard error: text or json (default text)
    #[bpaf(
        long,
        env("BAMBOOCART_LOG_FORMAT"),
        argument("FORMAT"),
        fallback(LogFormat::Text)
    )]
    pub log_format: LogFormat,
    /// File that spans are written to as OTLP-JSON lines
    #[bpaf(long, env("BAMBOOCART_TRACE_FILE"), argument("PATH"))]
    pub trace_file: Option<String>,
    /// Traces that are recorded out of 10,000 that callers did not start themselves
    #[bpaf(
        long,
        env("BAMBOOCART_TRACE_PER_10K"),
        argument("SHARE"),
        fallback(100),
        display_fallback
    )]
    pub trace_per_10k: u16,
}

/// The usage line, with the flags that are always needed.
const USAGE: &str = "Usage: bamboocart-dispatcher --name=NAME --failure-domain=NAME \
    --listen=IP:PORT --peer-listen=IP:PORT --platform=IP:PORT [OPTION]...";

/// The end of the help text.
const FOOTER: &str = "Exit codes: \
    0 stopped as asked; \
    1 could not start or serve; \
    2 wrong usage or settings. \
    The environment variable beside a flag sets it too, and the flag takes precedence; \
    N/A means that the variable is not set.";

impl Settings {
    /// Reads the settings, or returns a message for help or about what is wrong.
    pub fn from_args() -> Result<Self, ParseFailure> {
        parser().run_inner(Args::current_args())
    }

    /// Returns everything that is wrong with the settings as a whole.
    pub fn faults(&self) -> Vec<String> {
        let limits = &self.limits;
        let checks = [
            (
                !is_name(&self.name),
                "--name must have 1 to 64 letters, digits, '-' or '_', since it becomes \
                 part of tickets",
            ),
            (
                !is_name(&self.failure_domain),
                "--failure-domain must have 1 to 64 letters, digits, '-' or '_'",
            ),
            (
                self.peer_address.unwrap_or(self.peer_listen).ip().is_unspecified(),
                "--peer-listen names no address that peers can reach; give --peer-address",
            ),
            (
                self.peer_address.is_some_and(|address| address.port() == 0),
                "--peer-address needs a port",
            ),
            (self.platform.port() == 0, "--platform needs a port"),
            (limits.send_threads == 0, "--send-threads must be at least 1"),
            (limits.max_connections == 0, "--max-connections must be at least 1"),
            (limits.queue_tasks == 0, "--queue-tasks must be at least 1"),
            (
                Horizon::new(limits.claim_horizon_ms).is_err(),
                "--claim-horizon-ms must be 15000 to 200000, so that a live instance can \
                 extend its claims in time and clocks may differ by 80 s",
            ),
            (
                limits.open_submissions >= limits.remembered_submissions,
                "--remembered-submissions must be larger than --open-submissions, so that \
                 refusals can be remembered",
            ),
        ];
        checks
            .into_iter()
            .filter(|(fault, _)| *fault)
            .map(|(_, text)| text.into())
            .collect()
    }
}

/// Parses the name of a log level.
fn parse_level(text: String) -> Result<LevelFilter, String> {
    let unknown = "use error, warn, info, debug or trace".to_owned();
    text.parse().map_err(|_| unknown)
}

/// Reports whether a name can be part of a ticket.
fn is_name(text: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (1..=64).contains(&text.len()) && text.chars().all(valid)
}
