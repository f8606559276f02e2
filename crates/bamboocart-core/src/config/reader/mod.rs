//! Reads configuration files and keeps the positions of their objects.

mod fields;
mod object;
mod source;
mod value;

use std::collections::{BTreeMap, BTreeSet};

use toml_span::Value;
use toml_span::value::Key;

use self::fields::Fields;
use self::object::Object;
pub(super) use self::source::SourcePosition;
use self::source::{Lines, Source, split_tables};
use super::check::Finding;
use super::{ConfigSet, Fault, ObjectPath, Section, SourceFile};

/// Reads files into one set, collecting findings.
#[derive(Debug, Default)]
pub(super) struct SetReader {
    /// The objects that were read completely.
    pub(super) set: ConfigSet,
    /// The objects that exist but have unreadable fields.
    pub(super) unreadable: BTreeSet<(Section, String)>,
    /// The faults that were found while reading.
    pub(super) findings: Vec<Finding>,
    /// The positions of objects, fields and list items.
    positions: BTreeMap<ObjectPath, SourcePosition>,
}

impl SetReader {
    /// Reads a file and adds its objects to the set.
    ///
    /// The parser stops at its first error. In that case, each table of the file is
    /// parsed separately, so that one run reports the faults of all tables.
    pub(super) fn read(&mut self, file: &SourceFile<'_>) {
        let lines = Lines::new(file);
        let whole = Source { lines: &lines, start: 0, text: file.text };
        let error = match toml_span::parse(file.text) {
            Ok(value) => return self.read_root(&whole, &value),
            Err(error) => error,
        };
        let known = self.findings.len();
        for (start, text) in split_tables(file.text) {
            self.read_table(&Source { lines: &lines, start, text });
        }
        if self.findings.len() == known {
            self.report_syntax_error(&whole, &error);
        }
    }

    /// Converts a fault to a finding at the most precise known position.
    pub(super) fn locate(&self, fault: Fault) -> Finding {
        let Fault { path, message, remedy } = fault;
        let field = ObjectPath { item: None, ..path.clone() };
        let object = ObjectPath::object(path.section, &path.name);
        let known = [&path, &field, &object];
        let position = known.into_iter().find_map(|path| self.positions.get(path));
        let position = position.cloned().unwrap_or(SourcePosition {
            file: "".into(),
            line: 1,
            column: 1,
        });
        Finding::new(&position, format!("{object}: {message}"), remedy)
    }

    /// Reads one table of a file that has a syntax error somewhere.
    fn read_table(&mut self, source: &Source<'_>) {
        let error = match toml_span::parse(source.text) {
            Ok(value) => return self.read_root(source, &value),
            Err(error) => error,
        };
        self.report_syntax_error(source, &error);
        // The object is declared, so that references to it are not reported as dangling
        // just because its body is invalid.
        let header = source.text.lines().next().unwrap_or_default();
        let Ok(value) = toml_span::parse(header) else { return };
        for (section, objects) in value.as_table().into_iter().flatten() {
            let Some(section) = Section::from_name(&section.name) else { continue };
            for (name, _) in objects.as_table().into_iter().flatten() {
                self.declare(source, section, name);
                self.unreadable.insert((section, name.name.to_string()));
            }
        }
    }

    /// Reads all objects of a parsed text.
    fn read_root(&mut self, source: &Source<'_>, root: &Value<'_>) {
        for (key, objects) in root.as_table().into_iter().flatten() {
            let Some(section) = Section::from_name(&key.name) else {
                let known = Section::ALL.map(Section::name).join(", ");
                self.findings.push(Finding::new(
                    &source.position(key.span),
                    format!("`{}` is not a type of object", key.name),
                    format!("use one of {known}"),
                ));
                continue;
            };
            let Some(objects) = objects.as_table() else {
                self.report_not_a_table(source, key, &format!("[{section}.NAME]"));
                continue;
            };
            for (name, object) in objects {
                self.read_object(source, section, name, object);
            }
        }
    }

    /// Reads one object, and adds it to the set unless its name is taken.
    fn read_object(
        &mut self,
        source: &Source<'_>,
        section: Section,
        name: &Key<'_>,
        object: &Value<'_>,
    ) {
        let is_new = self.declare(source, section, name);
        let Some(table) = object.as_table() else {
            self.unreadable.insert((section, name.name.to_string()));
            return self.report_not_a_table(
                source,
                name,
                &format!("[{section}.{}]", name.name),
            );
        };
        let path = ObjectPath::object(section, &name.name);
        let position = source.position(name.span);
        let mut fields =
            Fields { reader: self, source, table, path, position, known: vec![] };
        let object = Object::read(section, &mut fields);
        fields.report_unknown();
        match object {
            Some(object) if is_new => object.insert(&name.name, &mut self.set),
            Some(_) => {}
            None => {
                self.unreadable.insert((section, name.name.to_string()));
            }
        }
    }

    /// Records the position of an object, and returns whether it is the first with its
    /// name.
    fn declare(&mut self, source: &Source<'_>, section: Section, name: &Key<'_>) -> bool {
        let path = ObjectPath::object(section, &name.name);
        let position = source.position(name.span);
        let Some(first) = self.positions.get(&path) else {
            self.positions.insert(path, position);
            return true;
        };
        let SourcePosition { file, line, column } = first;
        let message = format!("{path} is already declared at {file}:{line}:{column}");
        self.findings.push(Finding::new(
            &position,
            message,
            "remove or rename one of the two",
        ));
        false
    }

    fn report_syntax_error(&mut self, source: &Source<'_>, error: &toml_span::Error) {
        let message = format!("not valid TOML: {error}");
        let position = source.position(error.span);
        self.findings.push(Finding::new(&position, message, "correct the syntax"));
    }

    /// Reports a value that is not a table where one is required.
    fn report_not_a_table(&mut self, source: &Source<'_>, key: &Key<'_>, form: &str) {
        let message = format!("`{}` is not a table", key.name);
        let position = source.position(key.span);
        self.findings.push(Finding::new(
            &position,
            message,
            format!("write it as {form}"),
        ));
    }
}
