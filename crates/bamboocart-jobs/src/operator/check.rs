//! A check of a configuration before it is sent, and what it changes.
//!
//! Everything that it finds can be seen in the configuration itself: which minions there are
//! is not known here.

use std::collections::BTreeSet;
use std::fmt::{self, Display, Formatter};

use crate::operator::catalog::{Catalog, Queue};
use crate::placement::advice::TICKET_MARGIN_MS;

/// How bad a finding is.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
pub enum Severity {
    /// Something in the configuration can never have an effect, or its limits leave no room
    /// for any job.
    Error,
    /// The configuration works, but probably not as intended.
    Warning,
}

/// A mistake in a configuration.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Finding {
    /// How bad it is.
    pub severity: Severity,
    /// The object, with its number in its list, from 1.
    pub subject: String,
    /// What is wrong.
    pub problem: String,
    /// What to do.
    pub remedy: &'static str,
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        let Self { subject, problem, remedy, .. } = self;
        write!(f, "{severity}: {subject}: {problem}; {remedy}")
    }
}

/// A difference between two configurations, and what it does.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Difference {
    /// The object that differs.
    pub subject: String,
    /// How it differs.
    pub change: String,
}

impl Display for Difference {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.change)
    }
}

/// The findings so far.
#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn error(&mut self, subject: &str, problem: impl Into<String>, remedy: &'static str) {
        self.push(Severity::Error, subject, problem.into(), remedy);
    }

    fn warning(
        &mut self,
        subject: &str,
        problem: impl Into<String>,
        remedy: &'static str,
    ) {
        self.push(Severity::Warning, subject, problem.into(), remedy);
    }

    fn push(
        &mut self,
        severity: Severity,
        subject: &str,
        problem: String,
        remedy: &'static str,
    ) {
        self.0.push(Finding { severity, subject: subject.into(), problem, remedy });
    }
}

/// Returns all mistakes in a configuration, errors first.
pub fn check(catalog: &Catalog) -> Vec<Finding> {
    let mut findings = Findings::default();
    check_services(catalog, &mut findings);
    for number in 0..catalog.queues.len() {
        check_name(catalog, number, &mut findings);
        check_reach(catalog, number, &mut findings);
        check_limits(catalog, number, &mut findings);
    }
    check_wire_limits(catalog, &mut findings);
    let Findings(mut findings) = findings;
    findings.sort_by_key(|finding| finding.severity);
    findings
}

/// Returns the name of a queue in findings.
fn subject(catalog: &Catalog, number: usize) -> String {
    format!("queue `{}` (no. {})", catalog.queues[number].name, number + 1)
}

fn check_services(catalog: &Catalog, findings: &mut Findings) {
    let mut names = BTreeSet::new();
    for (number, service) in catalog.services.iter().enumerate() {
        let subject = format!("service `{}` (no. {})", service.name, number + 1);
        if !names.insert(&service.name) {
            findings.error(
                &subject,
                "an earlier service has this name",
                "remove or rename one of them",
            );
        }
        if !catalog.queues.iter().any(|queue| queue.service == service.name) {
            findings.warning(
                &subject,
                "no queue uses it",
                "add a queue, or remove the service",
            );
        }
    }
}

fn check_name(catalog: &Catalog, number: usize, findings: &mut Findings) {
    let queue = &catalog.queues[number];
    let subject = subject(catalog, number);
    if catalog.queues[..number].iter().any(|other| other.name == queue.name) {
        findings.error(
            &subject,
            "an earlier queue has this name, and only that one is found by it",
            "rename one of them",
        );
    }
    if !catalog.services.iter().any(|service| service.name == queue.service) {
        findings.error(
            &subject,
            format!("there is no service `{}`", queue.service),
            "add the service, or correct its name",
        );
    }
}

/// Checks whether any request can select a queue.
fn check_reach(catalog: &Catalog, number: usize, findings: &mut Findings) {
    let queue = &catalog.queues[number];
    let subject = subject(catalog, number);
    if queue.host.is_empty() || queue.host.contains(':') {
        findings.error(
            &subject,
            format!("no request has the host `{}`", queue.host),
            "give a host name without a port",
        );
    }
    if !queue.path_prefix.starts_with('/') {
        findings.error(
            &subject,
            format!("no path begins with `{}`", queue.path_prefix),
            "begin the prefix with `/`",
        );
    }
    // Of equal prefixes the last one wins.
    let same = |other: &Queue| {
        other.host.eq_ignore_ascii_case(&queue.host)
            && other.path_prefix == queue.path_prefix
    };
    let later = &catalog.queues[number + 1..];
    if let Some(later) = later.iter().find(|other| same(other)) {
        findings.error(
            &subject,
            format!("queue `{}` has the same host and prefix and takes all", later.name),
            "change a prefix, or remove one of the queues",
        );
    }
}

/// Checks the limits of a queue against each other.
fn check_limits(catalog: &Catalog, number: usize, findings: &mut Findings) {
    let queue = &catalog.queues[number];
    let subject = subject(catalog, number);
    if queue.max_attempts == 0 {
        findings.error(
            &subject,
            "jobs have no attempt",
            "set `max_attempts` to 1 or more",
        );
    }
    let slack = queue.slack_factor;
    match () {
        () if !slack.is_finite() || slack < 0.0 => findings.error(
            &subject,
            format!("the slack factor {slack} gives no objective"),
            "set it to 1 or more",
        ),
        () if slack == 0.0 && queue.target_latency_ms == 0 => findings.error(
            &subject,
            "the objective of every job is 0 ms",
            "set a slack factor or a target latency",
        ),
        () if slack < 1.0 => findings.warning(
            &subject,
            format!(
                "with the slack factor {slack}, jobs of more than {:.0} ms cannot end in \
                 time",
                queue.target_latency_ms as f64 / (1.0 - slack)
            ),
            "set it to 1 or more",
        ),
        () => {}
    }
    if let Some(advice) = queue.advice {
        let asked_ms = advice.decision_ms + advice.per_minion_ms;
        if advice.validity_ms <= TICKET_MARGIN_MS {
            findings.error(
                &subject,
                format!("tickets are valid for {} ms only", advice.validity_ms),
                "make them valid for more than 100 ms",
            );
        } else if advice.validity_ms <= asked_ms {
            findings.warning(
                &subject,
                format!(
                    "tickets are valid for {} ms, and one call takes {asked_ms} ms",
                    advice.validity_ms
                ),
                "make tickets valid for longer than a call takes",
            );
        }
    }
}

fn check_wire_limits(catalog: &Catalog, findings: &mut Findings) {
    let limits = &catalog.limits;
    let zero = [
        ("max_header_bytes", limits.max_header_bytes as u64),
        ("max_body_bytes", limits.max_body_bytes as u64),
        ("header_timeout_ms", limits.header_timeout_ms),
        ("idle_timeout_ms", limits.idle_timeout_ms),
    ];
    for (name, value) in zero {
        if value == 0 {
            findings.error(
                "limits",
                format!("with `{name}` 0, no request is accepted"),
                "set it above 0",
            );
        }
    }
    if (1..limits.header_timeout_ms).contains(&limits.idle_timeout_ms) {
        findings.warning(
            "limits",
            "connections are closed as idle before their request head has to be complete",
            "set `idle_timeout_ms` to `header_timeout_ms` or more",
        );
    }
}

/// Returns how a configuration differs from the one in force, by meaning.
pub fn differences(in_force: &Catalog, next: &Catalog) -> Vec<Difference> {
    let mut differences = Vec::new();
    let mut add = |subject: String, change: String| {
        differences.push(Difference { subject, change });
    };
    if next.version != in_force.version {
        let effect = match next.version > in_force.version {
            true => "",
            false => "; it takes no effect, since the version has to rise",
        };
        let change = format!("{} becomes {}{effect}", in_force.version, next.version);
        add("version".into(), change);
    }
    for queue in &in_force.queues {
        let subject = format!("queue `{}`", queue.name);
        match next.queue(&queue.name) {
            None => add(
                subject,
                "removed; new requests get 404, and its open jobs go on".into(),
            ),
            Some(other) => {
                let changes = queue_changes(queue, other).into_iter();
                changes.for_each(|change| add(subject.clone(), change));
            }
        }
    }
    for queue in &next.queues {
        if in_force.queue(&queue.name).is_none() {
            let Queue { host, path_prefix, service, .. } = &**queue;
            let change = format!("added for {host}{path_prefix} on service `{service}`");
            add(format!("queue `{}`", queue.name), change);
        }
    }
    for service in &in_force.services {
        let subject = format!("service `{}`", service.name);
        let other = next.services.iter().find(|other| other.name == service.name);
        match other {
            None => add(subject, "removed".into()),
            Some(other) if other.admission_check != service.admission_check => add(
                subject,
                format!(
                    "admission check {} becomes {}",
                    service.admission_check, other.admission_check
                ),
            ),
            Some(_) => {}
        }
    }
    for service in &next.services {
        if !in_force.services.iter().any(|other| other.name == service.name) {
            add(format!("service `{}`", service.name), "added".into());
        }
    }
    if next.limits != in_force.limits {
        let change = format!("{:?} become {:?}", in_force.limits, next.limits);
        add("limits".into(), change);
    }
    differences
}

/// Returns how the fields of a queue differ.
fn queue_changes(before: &Queue, after: &Queue) -> Vec<String> {
    let address = |queue: &Queue| {
        format!("{}{}", queue.host.to_ascii_lowercase(), queue.path_prefix)
    };
    let advice = |queue: &Queue| match queue.advice {
        Some(rules) => format!("{rules:?}"),
        None => "none".into(),
    };
    let fields = [
        ("address", address(before), address(after)),
        ("service", before.service.to_string(), after.service.to_string()),
        ("priority", before.priority.to_string(), after.priority.to_string()),
        ("attempts", before.max_attempts.to_string(), after.max_attempts.to_string()),
        ("slack factor", before.slack_factor.to_string(), after.slack_factor.to_string()),
        (
            "target latency in ms",
            before.target_latency_ms.to_string(),
            after.target_latency_ms.to_string(),
        ),
        ("advice", advice(before), advice(after)),
    ];
    fields
        .into_iter()
        .filter(|(_, before, after)| before != after)
        .map(|(name, before, after)| format!("{name} {before} becomes {after}"))
        .collect()
}
