//! Reading of configuration files with positions.

mod fields;
mod object;
mod source;
mod value;

use std::collections::{BTreeMap, BTreeSet};

use toml_span::Value;
use toml_span::value::Key;

use self::fields::Fields;
use self::object::Object;
pub(super) use self::source::Place;
use self::source::{Lines, Source, tables};
use super::check::Finding;
use super::{ConfigSet, Fault, ObjectPath, Section, SourceFile};

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
    places: BTreeMap<ObjectPath, Place>,
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
        let Fault { path, message, remedy } = fault;
        let field = ObjectPath { item: None, ..path.clone() };
        let object = ObjectPath::object(path.section, &path.name);
        let known = [&path, &field, &object];
        let place = known.into_iter().find_map(|path| self.places.get(path));
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
        let path = ObjectPath::object(section, &name.name);
        let place = source.place(name.span);
        let mut fields =
            Fields { draft: self, source, table, path, place, asked: vec![] };
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
        let path = ObjectPath::object(section, &name.name);
        let place = source.place(name.span);
        let Some(first) = self.places.get(&path) else {
            self.places.insert(path, place);
            return true;
        };
        let Place { file, line, column } = first;
        let message = format!("{path} is already declared at {file}:{line}:{column}");
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
