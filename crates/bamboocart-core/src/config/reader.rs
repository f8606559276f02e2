//! Reading of configuration files with positions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use toml_span::value::{Key, Table};
use toml_span::{Span, Value};

use super::check::Finding;
use super::{
    ConfigSet, Fault, Priority, Quota, RequestKind, Resend, Role, Section, Service,
    SourceFile, Spot, StopPlan, TargetGroup,
};
use crate::id::{
    DomainName, GroupName, InstanceName, PriorityName, ServiceName, StopPlanName,
    TargetName,
};

/// What has been read from the files so far.
#[derive(Debug, Default)]
pub(super) struct Draft {
    /// The objects that were read whole.
    pub(super) set: ConfigSet,
    /// The objects that exist but have unreadable fields.
    pub(super) broken: BTreeSet<(Section, String)>,
    /// The faults.
    pub(super) findings: Vec<Finding>,
    /// The positions of objects, fields and list items.
    places: BTreeMap<Spot, Place>,
}

/// A position in a file.
#[derive(Debug, Clone, Eq, PartialEq)]
pub(super) struct Place {
    /// The name of the file.
    pub(super) file: Arc<str>,
    /// The line, from 1.
    pub(super) line: usize,
    /// The column in characters, from 1.
    pub(super) column: usize,
}

impl Draft {
    /// Reads a file.
    ///
    /// The parser stops at its first error. In that case each table of the file is parsed
    /// alone, so that one run reports the faults of every table.
    pub(super) fn read(&mut self, file: &SourceFile<'_>) {
        let lines = Lines::new(file);
        let whole = Source { lines: &lines, start: 0, text: file.text };
        let error = match toml_span::parse(file.text) {
            Ok(value) => return self.read_root(&whole, &value),
            Err(error) => error,
        };
        let known = self.findings.len();
        for (start, text) in tables(file.text) {
            self.read_part(&Source { lines: &lines, start, text });
        }
        if self.findings.len() == known {
            self.syntax(&whole, &error);
        }
    }

    /// Turns a fault into a finding at the most exact known position.
    pub(super) fn locate(&self, fault: Fault) -> Finding {
        let Fault { spot, message, remedy } = fault;
        let field = Spot { item: None, ..spot.clone() };
        let object = Spot::object(spot.section, &spot.name);
        let known = [&spot, &field, &object];
        let place = known.into_iter().find_map(|spot| self.places.get(spot));
        let place =
            place.cloned().unwrap_or(Place { file: "".into(), line: 1, column: 1 });
        Finding::new(&place, format!("{object}: {message}"), remedy)
    }

    /// Reads one table of a file that has a syntax error somewhere.
    fn read_part(&mut self, source: &Source<'_>) {
        let error = match toml_span::parse(source.text) {
            Ok(value) => return self.read_root(source, &value),
            Err(error) => error,
        };
        self.syntax(source, &error);
        // References to the object are not dangling just because its body is unreadable.
        let header = source.text.lines().next().unwrap_or_default();
        let Ok(value) = toml_span::parse(header) else { return };
        for (section, objects) in value.as_table().into_iter().flatten() {
            let Some(section) = Section::from_name(&section.name) else { continue };
            for (name, _) in objects.as_table().into_iter().flatten() {
                self.declare(source, section, name);
                self.broken.insert((section, name.name.to_string()));
            }
        }
    }

    /// Reads the objects of a parsed text.
    fn read_root(&mut self, source: &Source<'_>, root: &Value<'_>) {
        for (key, objects) in root.as_table().into_iter().flatten() {
            let Some(section) = Section::from_name(&key.name) else {
                let known = Section::ALL.map(Section::name).join(", ");
                self.findings.push(Finding::new(
                    &source.place(key.span),
                    format!("`{}` is not a type of object", key.name),
                    format!("use one of {known}"),
                ));
                continue;
            };
            let Some(objects) = objects.as_table() else {
                self.not_a_table(source, key, &format!("[{section}.NAME]"));
                continue;
            };
            for (name, object) in objects {
                self.read_object(source, section, name, object);
            }
        }
    }

    /// Reads one object.
    fn read_object(
        &mut self,
        source: &Source<'_>,
        section: Section,
        name: &Key<'_>,
        object: &Value<'_>,
    ) {
        let is_new = self.declare(source, section, name);
        let Some(table) = object.as_table() else {
            self.broken.insert((section, name.name.to_string()));
            return self.not_a_table(source, name, &format!("[{section}.{}]", name.name));
        };
        let spot = Spot::object(section, &name.name);
        let place = source.place(name.span);
        let mut fields =
            Fields { draft: self, source, table, spot, place, asked: vec![] };
        let object = Object::read(section, &mut fields);
        fields.report_unknown();
        match object {
            Some(object) if is_new => object.insert(&name.name, &mut self.set),
            Some(_) => {}
            None => {
                self.broken.insert((section, name.name.to_string()));
            }
        }
    }

    /// Records where an object is, and returns whether it is the first of its name.
    fn declare(&mut self, source: &Source<'_>, section: Section, name: &Key<'_>) -> bool {
        let spot = Spot::object(section, &name.name);
        let place = source.place(name.span);
        let Some(first) = self.places.get(&spot) else {
            self.places.insert(spot, place);
            return true;
        };
        let Place { file, line, column } = first;
        let message = format!("{spot} is already declared at {file}:{line}:{column}");
        self.findings.push(Finding::new(
            &place,
            message,
            "remove or rename one of the two",
        ));
        false
    }

    /// Reports a syntax error.
    fn syntax(&mut self, source: &Source<'_>, error: &toml_span::Error) {
        let message = format!("not valid TOML: {error}");
        let place = source.place(error.span);
        self.findings.push(Finding::new(&place, message, "correct the syntax"));
    }

    /// Reports a value that stands where a table is needed.
    fn not_a_table(&mut self, source: &Source<'_>, key: &Key<'_>, form: &str) {
        let message = format!("`{}` is not a table", key.name);
        let place = source.place(key.span);
        self.findings.push(Finding::new(&place, message, format!("write it as {form}")));
    }
}

/// A text to parse, which is a whole file or a part of one.
struct Source<'a> {
    /// The file.
    lines: &'a Lines<'a>,
    /// The position of the part in the file, in bytes.
    start: usize,
    /// The part.
    text: &'a str,
}

impl Source<'_> {
    /// Returns the line and column of a span of the part.
    fn place(&self, span: Span) -> Place {
        self.lines.place(self.start + span.start)
    }
}

/// A file with an index of its lines, so that a position is found without a scan.
struct Lines<'a> {
    /// The name of the file.
    file: Arc<str>,
    /// The content of the file.
    text: &'a str,
    /// The position of each line in bytes.
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    /// Indexes the lines of a file.
    fn new(file: &SourceFile<'a>) -> Self {
        let ends = file.text.match_indices('\n').map(|(at, _)| at + 1);
        let starts = [0].into_iter().chain(ends).collect();
        Self { file: file.name.into(), text: file.text, starts }
    }

    /// Returns the line and column of a byte.
    fn place(&self, byte: usize) -> Place {
        let end = self.text.floor_char_boundary(byte);
        let line = self.starts.partition_point(|&start| start <= end);
        let before = &self.text[self.starts[line - 1]..end];
        Place { file: self.file.clone(), line, column: before.chars().count() + 1 }
    }
}

/// Splits a text before each line that opens a table.
fn tables(text: &str) -> Vec<(usize, &str)> {
    let mut starts = vec![0];
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        if line.starts_with('[') && at > 0 {
            starts.push(at);
        }
        at += line.len();
    }
    let ends = starts.iter().skip(1).copied().chain([text.len()]);
    starts.iter().zip(ends).map(|(&start, end)| (start, &text[start..end])).collect()
}

/// An object of any type.
enum Object {
    /// A service.
    Service(Service),
    /// A request kind.
    RequestKind(RequestKind),
    /// A priority.
    Priority(Priority),
    /// A target group.
    TargetGroup(TargetGroup),
    /// A stop plan.
    StopPlan(StopPlan),
    /// A quota.
    Quota(Quota),
}

impl Object {
    /// Reads an object of the given type, or reports its faults and returns `None`.
    fn read(section: Section, fields: &mut Fields<'_, '_>) -> Option<Self> {
        match section {
            Section::Service => read_service(fields).map(Self::Service),
            Section::RequestKind => read_request_kind(fields).map(Self::RequestKind),
            Section::Priority => read_priority(fields).map(Self::Priority),
            Section::TargetGroup => read_target_group(fields).map(Self::TargetGroup),
            Section::StopPlan => read_stop_plan(fields).map(Self::StopPlan),
            Section::Quota => read_quota(fields).map(Self::Quota),
        }
    }

    /// Puts the object into a set.
    fn insert(self, name: &str, set: &mut ConfigSet) {
        match self {
            Self::Service(object) => drop(set.service.insert(name.into(), object)),
            Self::RequestKind(object) => {
                drop(set.request_kind.insert(name.into(), object))
            }
            Self::Priority(object) => drop(set.priority.insert(name.into(), object)),
            Self::TargetGroup(object) => {
                drop(set.target_group.insert(name.into(), object))
            }
            Self::StopPlan(object) => drop(set.stop_plan.insert(name.into(), object)),
            Self::Quota(object) => drop(set.quota.insert(name.into(), object)),
        }
    }
}

/// Reads a service.
fn read_service(fields: &mut Fields<'_, '_>) -> Option<Service> {
    let target_group = fields.required("target_group");
    let slots = fields.required("slots");
    let connections = fields.required("connections");
    Some(Service {
        target_group: target_group?,
        slots: slots?,
        connections: connections?,
    })
}

/// Reads a request kind.
fn read_request_kind(fields: &mut Fields<'_, '_>) -> Option<RequestKind> {
    let service = fields.required("service");
    let priority = fields.required("priority");
    let idempotent = fields.optional("idempotent");
    let resend = fields.optional("resend");
    let hedge = fields.optional("hedge");
    let deadline_ms = fields.required("deadline_ms");
    let shortest_run_ms = fields.required("shortest_run_ms");
    let longest_run_ms = fields.required("longest_run_ms");
    Some(RequestKind {
        service: service?,
        priority: priority?,
        idempotent: idempotent?,
        resend: resend?,
        hedge: hedge?,
        deadline_ms: deadline_ms?,
        shortest_run_ms: shortest_run_ms?,
        longest_run_ms: longest_run_ms?,
    })
}

/// Reads a priority.
fn read_priority(fields: &mut Fields<'_, '_>) -> Option<Priority> {
    let rank = fields.required("rank");
    let floor_percent = fields.optional("floor_percent");
    Some(Priority { rank: rank?, floor_percent: floor_percent? })
}

/// Reads a target group.
fn read_target_group(fields: &mut Fields<'_, '_>) -> Option<TargetGroup> {
    let role = fields.required("role");
    let service = fields.required("service");
    let failure_domains = fields.required("failure_domains");
    let cpus = fields.optional("cpus");
    let memory_mb = fields.optional("memory_mb");
    Some(TargetGroup {
        role: role?,
        service: service?,
        failure_domains: failure_domains?,
        cpus: cpus?,
        memory_mb: memory_mb?,
    })
}

/// Reads a stop plan.
fn read_stop_plan(fields: &mut Fields<'_, '_>) -> Option<StopPlan> {
    let targets = fields.optional("targets");
    let instances = fields.optional("instances");
    let drain_ms = fields.required("drain_ms");
    let at_once = fields.required("at_once");
    let after = fields.optional("after");
    Some(StopPlan {
        targets: targets?,
        instances: instances?,
        drain_ms: drain_ms?,
        at_once: at_once?,
        after: after?,
    })
}

/// Reads a quota.
fn read_quota(fields: &mut Fields<'_, '_>) -> Option<Quota> {
    let weight = fields.required("weight");
    let starts_per_s = fields.required("starts_per_s");
    let burst = fields.required("burst");
    let in_flight = fields.required("in_flight");
    Some(Quota {
        weight: weight?,
        starts_per_s: starts_per_s?,
        burst: burst?,
        in_flight: in_flight?,
    })
}

/// The fields of one object.
struct Fields<'a, 'v> {
    /// Where faults and positions go.
    draft: &'a mut Draft,
    /// The text with the object.
    source: &'a Source<'a>,
    /// The table of the object.
    table: &'a Table<'v>,
    /// The object.
    spot: Spot,
    /// The position of the object.
    place: Place,
    /// The fields that were asked for, which are the known ones.
    asked: Vec<&'static str>,
}

impl Fields<'_, '_> {
    /// Reads a field that must be there.
    fn required<T: FromToml>(&mut self, field: &'static str) -> Option<T> {
        if self.table.contains_key(field) {
            return self.read(field);
        }
        self.asked.push(field);
        let message = format!("{} has no field `{field}`", self.spot);
        let remedy = format!("add `{field}`, {}", T::EXPECTED);
        self.draft.findings.push(Finding::new(&self.place, message, remedy));
        None
    }

    /// Reads a field that has a default.
    fn optional<T: FromToml + Default>(&mut self, field: &'static str) -> Option<T> {
        if self.table.contains_key(field) {
            return self.read(field);
        }
        self.asked.push(field);
        Some(T::default())
    }

    /// Reads a field that is there.
    fn read<T: FromToml>(&mut self, field: &'static str) -> Option<T> {
        self.asked.push(field);
        let value = self.table.get(field)?;
        let spot = self.spot.field(field);
        for (item, value) in value.as_array().into_iter().flatten().enumerate() {
            self.draft.places.insert(spot.item(item), self.source.place(value.span));
        }
        let place = self.source.place(value.span);
        self.draft.places.insert(spot.clone(), place.clone());
        let read = T::from_toml(value);
        if read.is_none() {
            let message = format!("{spot} has a value of the wrong type or range");
            let remedy = format!("give {}", T::EXPECTED);
            self.draft.findings.push(Finding::new(&place, message, remedy));
        }
        read
    }

    /// Reports the fields that nothing asked for.
    fn report_unknown(&mut self) {
        let known = self.asked.join(", ");
        for key in self.table.keys() {
            if self.asked.contains(&&*key.name) {
                continue;
            }
            let message = format!("{} has an unknown field `{}`", self.spot, key.name);
            let remedy = format!("remove it or use one of {known}");
            let place = self.source.place(key.span);
            self.draft.findings.push(Finding::new(&place, message, remedy));
        }
    }
}

/// A type of value that a field can have.
trait FromToml: Sized {
    /// What a value looks like, for remedies.
    const EXPECTED: &'static str;

    /// Converts a value, or returns `None` if it has another type or range.
    fn from_toml(value: &Value<'_>) -> Option<Self>;
}

/// Implements [`FromToml`] for whole numbers.
macro_rules! numbers {
    ($($type:ty: $expected:literal;)*) => {$(
        impl FromToml for $type {
            const EXPECTED: &'static str = $expected;

            fn from_toml(value: &Value<'_>) -> Option<Self> {
                value.as_integer()?.try_into().ok()
            }
        }
    )*};
}

numbers! {
    u8: "a whole number from 0 to 255";
    u32: "a whole number from 0 to 4294967295";
    u64: "a whole number from 0";
}

/// Implements [`FromToml`] for names.
macro_rules! names {
    ($($type:ty)*) => {$(
        impl FromToml for $type {
            const EXPECTED: &'static str = "a name in quotes";

            fn from_toml(value: &Value<'_>) -> Option<Self> {
                value.as_str().map(Self::from)
            }
        }
    )*};
}

names! { DomainName GroupName InstanceName PriorityName ServiceName StopPlanName TargetName }

impl FromToml for bool {
    const EXPECTED: &'static str = "true or false";

    fn from_toml(value: &Value<'_>) -> Option<Self> {
        value.as_bool()
    }
}

impl FromToml for Resend {
    const EXPECTED: &'static str = "\"never\" or \"budgeted\"";

    fn from_toml(value: &Value<'_>) -> Option<Self> {
        match value.as_str()? {
            "never" => Some(Self::Never),
            "budgeted" => Some(Self::Budgeted),
            _ => None,
        }
    }
}

impl FromToml for Role {
    const EXPECTED: &'static str = "\"minion\" or \"worker\"";

    fn from_toml(value: &Value<'_>) -> Option<Self> {
        match value.as_str()? {
            "minion" => Some(Self::Minion),
            "worker" => Some(Self::Worker),
            _ => None,
        }
    }
}

impl<T: FromToml> FromToml for Option<T> {
    const EXPECTED: &'static str = T::EXPECTED;

    fn from_toml(value: &Value<'_>) -> Option<Self> {
        T::from_toml(value).map(Some)
    }
}

impl<T: FromToml> FromToml for Vec<T> {
    const EXPECTED: &'static str = "a list of names in quotes";

    fn from_toml(value: &Value<'_>) -> Option<Self> {
        value.as_array()?.iter().map(T::from_toml).collect()
    }
}
