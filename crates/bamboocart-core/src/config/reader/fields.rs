//! The fields of one object, each of which is asked for by name.

use toml_span::value::Table;

use super::Draft;
use super::source::{Place, Source};
use super::value::FromToml;
use crate::config::ObjectPath;
use crate::config::check::Finding;

/// The fields of one object.
pub(super) struct Fields<'a, 'v> {
    /// Where faults and positions go.
    pub(super) draft: &'a mut Draft,
    /// The text with the object.
    pub(super) source: &'a Source<'a>,
    /// The table of the object.
    pub(super) table: &'a Table<'v>,
    /// The object.
    pub(super) path: ObjectPath,
    /// The position of the object.
    pub(super) place: Place,
    /// The fields that were asked for, which are the known ones.
    pub(super) asked: Vec<&'static str>,
}

impl Fields<'_, '_> {
    /// Reads a field that must be there.
    pub(super) fn required<T: FromToml>(&mut self, field: &'static str) -> Option<T> {
        if self.table.contains_key(field) {
            return self.read(field);
        }
        self.asked.push(field);
        let message = format!("{} has no field `{field}`", self.path);
        let remedy = format!("add `{field}`, {}", T::EXPECTED);
        self.draft.findings.push(Finding::new(&self.place, message, remedy));
        None
    }

    /// Reads a field that has a default.
    pub(super) fn optional<T: FromToml + Default>(
        &mut self,
        field: &'static str,
    ) -> Option<T> {
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
        let path = self.path.field(field);
        for (item, value) in value.as_array().into_iter().flatten().enumerate() {
            self.draft.places.insert(path.item(item), self.source.place(value.span));
        }
        let place = self.source.place(value.span);
        self.draft.places.insert(path.clone(), place.clone());
        let read = T::from_toml(value);
        if read.is_none() {
            let message = format!("{path} has a value of the wrong type or range");
            let remedy = format!("give {}", T::EXPECTED);
            self.draft.findings.push(Finding::new(&place, message, remedy));
        }
        read
    }

    /// Reports the fields that nothing asked for.
    pub(super) fn report_unknown(&mut self) {
        let known = self.asked.join(", ");
        for key in self.table.keys() {
            if self.asked.contains(&&*key.name) {
                continue;
            }
            let message = format!("{} has an unknown field `{}`", self.path, key.name);
            let remedy = format!("remove it or use one of {known}");
            let place = self.source.place(key.span);
            self.draft.findings.push(Finding::new(&place, message, remedy));
        }
    }
}
