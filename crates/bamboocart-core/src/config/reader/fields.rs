//! Reads the fields of one object by name.

use toml_span::value::Table;

use super::SetReader;
use super::source::{Source, SourcePosition};
use super::value::FromToml;
use crate::config::ObjectPath;
use crate::config::check::Finding;

/// The fields of an object that is being read.
pub(super) struct Fields<'a, 'v> {
    /// The reader that collects findings and positions.
    pub(super) reader: &'a mut SetReader,
    /// The text that contains the object.
    pub(super) source: &'a Source<'a>,
    pub(super) table: &'a Table<'v>,
    /// The path of the object.
    pub(super) path: ObjectPath,
    /// The position of the object.
    pub(super) position: SourcePosition,
    /// The names of all fields that the type of the object has, as far as they were read.
    pub(super) known: Vec<&'static str>,
}

impl Fields<'_, '_> {
    /// Reads a required field, or reports that it is missing.
    pub(super) fn required<T: FromToml>(&mut self, field: &'static str) -> Option<T> {
        if self.table.contains_key(field) {
            return self.read(field);
        }
        self.known.push(field);
        let message = format!("{} has no field `{field}`", self.path);
        let remedy = format!("add `{field}`, {}", T::EXPECTED);
        self.reader.findings.push(Finding::new(&self.position, message, remedy));
        None
    }

    /// Reads a field that has a default value.
    pub(super) fn optional<T: FromToml + Default>(
        &mut self,
        field: &'static str,
    ) -> Option<T> {
        if self.table.contains_key(field) {
            return self.read(field);
        }
        self.known.push(field);
        Some(T::default())
    }

    /// Reads a field of the table, or reports a value of the wrong type or range.
    fn read<T: FromToml>(&mut self, field: &'static str) -> Option<T> {
        self.known.push(field);
        let value = self.table.get(field)?;
        let path = self.path.field(field);
        for (item, value) in value.as_array().into_iter().flatten().enumerate() {
            self.reader
                .positions
                .insert(path.item(item), self.source.position(value.span));
        }
        let position = self.source.position(value.span);
        self.reader.positions.insert(path.clone(), position.clone());
        let read = T::from_toml(value);
        if read.is_none() {
            let message = format!("{path} has a value of the wrong type or range");
            let remedy = format!("use {}", T::EXPECTED);
            self.reader.findings.push(Finding::new(&position, message, remedy));
        }
        read
    }

    /// Reports the fields that the type of the object does not have.
    pub(super) fn report_unknown(&mut self) {
        let known = self.known.join(", ");
        for key in self.table.keys() {
            if self.known.contains(&&*key.name) {
                continue;
            }
            let message = format!("{} has an unknown field `{}`", self.path, key.name);
            let remedy = format!("remove it or use one of {known}");
            let position = self.source.position(key.span);
            self.reader.findings.push(Finding::new(&position, message, remedy));
        }
    }
}
