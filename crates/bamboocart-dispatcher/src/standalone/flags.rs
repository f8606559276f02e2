//! The flags and environment variables of an instance, as unparsed text.
//!
//! The parser of flags stops at the first value that it cannot parse. It therefore takes
//! every value as text, and
//! [`Settings::read`](crate::standalone::settings::Settings::read) reports all errors.

use bpaf::{Args, Bpaf, ParseFailure};

/// Runs one entry instance of bamboocart.
///
/// Prints one JSON line with its addresses when it listens. SIGTERM begins a planned
/// stop, in which the instance finishes its work; a second SIGTERM ends it at once.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(parser), version, usage(USAGE), footer(FOOTER))]
pub struct Flags {
    /// Name of this instance, unique among all instances; letters, digits, '-' and '_'
    #[bpaf(long, env("BAMBOOCART_NAME"), argument("NAME"))]
    pub name: Option<String>,
    /// Failure domain that this instance is in
    #[bpaf(long, env("BAMBOOCART_FAILURE_DOMAIN"), argument("NAME"))]
    pub failure_domain: Option<String>,
    /// IP and port for callers and operators; port 0 takes a free one
    #[bpaf(long, env("BAMBOOCART_LISTEN"), argument("IP:PORT"))]
    pub listen: Option<String>,
    /// IP and port for links between instances; port 0 takes a free one
    #[bpaf(long, env("BAMBOOCART_PEER_LISTEN"), argument("IP:PORT"))]
    pub peer_listen: Option<String>,
    /// IP and port under which peers reach this instance, if not the --peer-listen one
    #[bpaf(long, env("BAMBOOCART_PEER_ADDRESS"), argument("IP:PORT"))]
    pub peer_address: Option<String>,
    /// IP and port for links of a peer to contact at the start, in case the platform's
    /// list is not available; may be given several times
    #[bpaf(long, argument("IP:PORT"))]
    pub seed: Vec<String>,
    /// IP and port of the platform
    #[bpaf(long, env("BAMBOOCART_PLATFORM"), argument("IP:PORT"))]
    pub platform: Option<String>,
    #[bpaf(external(limit_flags))]
    pub limits: LimitFlags,
    #[bpaf(external(policy_flags))]
    pub policies: PolicyFlags,
    #[bpaf(external(output_flags))]
    pub output: OutputFlags,
}

/// Limits; submissions beyond a limit are refused as "not run" and affect no others
#[derive(Debug, Clone, Bpaf)]
pub struct LimitFlags {
    /// Largest number of sends to targets at the same time
    #[bpaf(
        long,
        env("BAMBOOCART_MAX_SENDS"),
        argument("COUNT"),
        fallback("2048".into()),
        display_fallback
    )]
    pub max_sends: String,
    /// Largest number of connections from callers and operators
    #[bpaf(
        long,
        env("BAMBOOCART_MAX_CONNECTIONS"),
        argument("COUNT"),
        fallback("4096".into()),
        display_fallback
    )]
    pub max_connections: String,
    /// Largest size of a request body in bytes
    #[bpaf(
        long,
        env("BAMBOOCART_MAX_BODY_BYTES"),
        argument("BYTES"),
        fallback("4194304".into()),
        display_fallback
    )]
    pub max_body_bytes: String,
    /// Largest number of queued tasks of one target group
    #[bpaf(
        long,
        env("BAMBOOCART_QUEUE_TASKS"),
        argument("COUNT"),
        fallback("200000".into()),
        display_fallback
    )]
    pub queue_tasks: String,
    /// Largest number of submissions without an answer
    #[bpaf(
        long,
        env("BAMBOOCART_OPEN_SUBMISSIONS"),
        argument("COUNT"),
        fallback("75000".into()),
        display_fallback
    )]
    pub open_submissions: String,
    /// Largest number of remembered submissions, open ones included
    #[bpaf(
        long,
        env("BAMBOOCART_REMEMBERED_SUBMISSIONS"),
        argument("COUNT"),
        fallback("100000".into()),
        display_fallback
    )]
    pub remembered_submissions: String,
    /// Time in milliseconds for which an answer is remembered
    #[bpaf(
        long,
        env("BAMBOOCART_REMEMBER_MS"),
        argument("MS"),
        fallback("600000".into()),
        display_fallback
    )]
    pub remember_ms: String,
    /// Time in milliseconds ahead for which ranges of caller keys are claimed; the keys
    /// of a dead instance are served again when it is over
    #[bpaf(
        long,
        env("BAMBOOCART_CLAIM_HORIZON_MS"),
        argument("MS"),
        fallback("120000".into()),
        display_fallback
    )]
    pub claim_horizon_ms: String,
    /// Time in milliseconds at a planned stop from the end of readiness to the end of
    /// admission, in which load balancers notice
    #[bpaf(
        long,
        env("BAMBOOCART_LAME_DUCK_MS"),
        argument("MS"),
        fallback("3000".into()),
        display_fallback
    )]
    pub lame_duck_ms: String,
}

/// Policies; switch them off only for measurements
#[derive(Debug, Clone, Bpaf)]
pub struct PolicyFlags {
    /// Placement: earliest-finish, random, shortest-queue or two-choices (default
    /// earliest-finish)
    #[bpaf(
        long,
        env("BAMBOOCART_PLACEMENT"),
        argument("POLICY"),
        fallback("earliest-finish".into())
    )]
    pub placement: String,
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
pub struct OutputFlags {
    /// Least important level that is logged: error, warn, info, debug or trace (default
    /// info)
    #[bpaf(
        long,
        env("BAMBOOCART_LOG_LEVEL"),
        argument("LEVEL"),
        fallback("info".into())
    )]
    pub log_level: String,
    /// Format of log lines on standard error: text or json (default text)
    #[bpaf(
        long,
        env("BAMBOOCART_LOG_FORMAT"),
        argument("FORMAT"),
        fallback("text".into())
    )]
    pub log_format: String,
    /// File that spans are written to as OTLP-JSON lines
    #[bpaf(long, env("BAMBOOCART_TRACE_FILE"), argument("PATH"))]
    pub trace_file: Option<String>,
    /// Traces that are recorded out of 10,000 that callers did not start themselves
    #[bpaf(
        long,
        env("BAMBOOCART_TRACE_PER_10K"),
        argument("SHARE"),
        fallback("100".into()),
        display_fallback
    )]
    pub trace_per_10k: String,
}

/// The usage line, with the required flags.
const USAGE: &str = "Usage: bamboocart-dispatcher --name=NAME --failure-domain=NAME \
    --listen=IP:PORT --peer-listen=IP:PORT --platform=IP:PORT [OPTION]...";

/// The end of the help text.
const FOOTER: &str = "Exit codes: \
    0 stopped as asked; \
    1 could not start or serve; \
    2 wrong usage or settings. \
    The environment variable beside a flag sets it too, and the flag takes precedence; \
    N/A means that the variable is not set.";

impl Flags {
    /// Parses the flags of this process, or returns the help text or a usage error.
    pub fn from_args() -> Result<Self, ParseFailure> {
        parser().run_inner(Args::current_args())
    }
}
