//! The settings of the load generator.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;

/// The settings of the load generator.
#[derive(Debug, Clone, Bpaf)]
pub struct Settings {
    /// Address of an instance; give one flag per instance
    #[bpaf(argument("IP:PORT"), some("give the address of at least one instance"))]
    pub instance: Vec<SocketAddr>,
    /// Submissions per second
    #[bpaf(argument("N"), fallback(50.0), display_fallback)]
    pub rate: f64,
    /// Time to submit for
    #[bpaf(argument("S"), fallback(10.0), display_fallback)]
    pub duration_s: f64,
    /// Largest number of submissions
    #[bpaf(argument("N"), fallback(1_000_000), display_fallback)]
    pub count: u64,
    /// Request kind with its weight and median run time in ms, as NAME=WEIGHT@MS
    #[bpaf(argument("KIND"), many)]
    pub kind: Vec<KindMix>,
    /// Customer with its weight, as NAME=WEIGHT
    #[bpaf(argument("CUSTOMER"), many)]
    pub customer: Vec<CustomerMix>,
    /// Standard deviation of the logarithm of run times; 0 for fixed ones
    #[bpaf(argument("X"), fallback(0.5), display_fallback)]
    pub spread: f64,
    /// Share of submissions that are jobs
    #[bpaf(argument("X"), fallback(0.0), display_fallback)]
    pub job_share: f64,
    /// Largest number of tasks in a job; the smallest is 2
    #[bpaf(argument("N"), fallback(20), display_fallback)]
    pub job_tasks: u16,
    /// Standard deviation of the logarithm of declared over actual run times
    #[bpaf(argument("X"), fallback(0.7), display_fallback)]
    pub declared_spread: f64,
    /// Deadline of each submission; that of the request kind if absent
    #[bpaf(argument("MS"))]
    pub deadline_ms: Option<u64>,
    /// Where ids come from: none, tickets, keys, or mixed (half tickets, half keys)
    #[bpaf(argument("SOURCE"), fallback(IdSource::Tickets), display_fallback)]
    pub ids: IdSource,
    /// Time between resubmission storms; none if absent
    #[bpaf(argument("MS"))]
    pub storm_every_ms: Option<u64>,
    /// Share of unanswered submissions that a storm sends again to another instance
    #[bpaf(argument("X"), fallback(0.5), display_fallback)]
    pub storm_share: f64,
    /// Time between bursts of cancellations; none if absent
    #[bpaf(argument("MS"))]
    pub cancel_every_ms: Option<u64>,
    /// Share of unanswered submissions that a burst cancels
    #[bpaf(argument("X"), fallback(0.5), display_fallback)]
    pub cancel_share: f64,
    /// Times that a submission without an answer is sent again under its id
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub resend_unanswered: u8,
    /// Time to wait for an answer
    #[bpaf(argument("MS"), fallback(15_000), display_fallback)]
    pub timeout_ms: u64,
    /// Round trip that the ideal contains
    #[bpaf(argument("US"), fallback(1_000), display_fallback)]
    pub round_trip_us: u64,
    /// Largest number of calls at the same time
    #[bpaf(argument("N"), fallback(512), display_fallback)]
    pub callers: u32,
    /// Seed of the randomness
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// File for one JSON line per call
    #[bpaf(argument("FILE"))]
    pub history: Option<PathBuf>,
}

/// The source of submission ids.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum IdSource {
    /// Submissions are sent without an id.
    None,
    /// Tickets that instances issue, most of them with earlier answers.
    Tickets,
    /// Keys that the caller generates.
    Keys,
    /// Tickets and keys alternately.
    Mixed,
}

impl IdSource {
    /// All sources with their names on the command line.
    const NAMES: [(&'static str, Self); 4] = [
        ("none", Self::None),
        ("tickets", Self::Tickets),
        ("keys", Self::Keys),
        ("mixed", Self::Mixed),
    ];
}

impl FromStr for IdSource {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::NAMES.iter().find(|(name, _)| *name == text);
        let unknown = || "expected none, tickets, keys or mixed".to_owned();
        found.map(|(_, source)| *source).ok_or_else(unknown)
    }
}

impl std::fmt::Display for IdSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = Self::NAMES.iter().find(|(_, source)| source == self);
        f.write_str(name.map_or("", |(name, _)| name))
    }
}

/// A request kind of the mix, written as `NAME=WEIGHT@MS`.
#[derive(Debug, Clone)]
pub struct KindMix {
    /// The name of the request kind.
    pub name: String,
    /// The weight, relative to the sum of all kinds' weights.
    pub weight: f64,
    /// The median run time of a task at speed 1.
    pub run_ms: f64,
}

impl FromStr for KindMix {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let split = text.split_once('=').and_then(|(name, rest)| {
            let (weight, run_ms) = rest.split_once('@')?;
            Some((name, weight, run_ms))
        });
        let (name, weight, run_ms) = split.ok_or("expected NAME=WEIGHT@MS")?;
        Ok(Self {
            name: name.into(),
            weight: parse_number(weight)?,
            run_ms: parse_number(run_ms)?,
        })
    }
}

/// A customer of the mix, written as `NAME=WEIGHT`.
#[derive(Debug, Clone)]
pub struct CustomerMix {
    /// The name of the customer.
    pub name: String,
    /// The weight, relative to the sum of all customers' weights.
    pub weight: f64,
}

impl FromStr for CustomerMix {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, weight) = text.split_once('=').ok_or("expected NAME=WEIGHT")?;
        Ok(Self { name: name.into(), weight: parse_number(weight)? })
    }
}

fn parse_number(text: &str) -> Result<f64, String> {
    text.parse().map_err(|error| format!("{text} is not a number: {error}"))
}
