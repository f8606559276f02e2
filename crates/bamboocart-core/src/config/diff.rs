//! Compares two configuration sets.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};

use serde::Serialize;
use serde_json::{Map, Value};

use super::{ConfigSet, Section};

/// The fields of each object in a set, by type and name.
type Objects = BTreeMap<(Section, String), Map<String, Value>>;

/// An object that differs between two sets.
#[derive(Debug, Clone, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The type of the object.
    pub section: Section,
    /// The name of the object.
    pub name: String,
    /// How it differs.
    pub kind: ChangeKind,
}

/// How an object differs between two sets.
#[derive(Debug, Clone, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// The object is only in the new set.
    Added,
    /// The object is only in the old set.
    Removed,
    /// The object is in both sets, with different values in these fields.
    Changed(Vec<FieldChange>),
}

/// A field that differs between two sets.
#[derive(Debug, Clone, Eq, PartialEq, Serialize)]
pub struct FieldChange {
    /// The name of the field.
    pub field: String,
    /// The value in the old set, or null if the field is missing there.
    pub old: Value,
    /// The value in the new set, or null if the field is missing there.
    pub new: Value,
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { section, name, kind } = self;
        match kind {
            ChangeKind::Added => write!(f, "added {section}.{name}"),
            ChangeKind::Removed => write!(f, "removed {section}.{name}"),
            ChangeKind::Changed(fields) => {
                write!(f, "changed {section}.{name}:")?;
                fields.iter().try_for_each(|c| {
                    write!(f, " {} from {} to {}", c.field, c.old, c.new)
                })
            }
        }
    }
}

/// Returns the objects that differ between two sets, sorted by type and name.
pub fn diff(old: &ConfigSet, new: &ConfigSet) -> Vec<Change> {
    let old = objects(old);
    let new = objects(new);
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let kind = |key: &(Section, String)| match (old.get(key), new.get(key)) {
        (Some(old), Some(new)) if old != new => {
            Some(ChangeKind::Changed(fields(old, new)))
        }
        (None, Some(_)) => Some(ChangeKind::Added),
        (Some(_), None) => Some(ChangeKind::Removed),
        _ => None,
    };
    let change = |key: &(Section, String)| {
        let (section, name) = key.clone();
        kind(key).map(|kind| Change { section, name, kind })
    };
    keys.into_iter().filter_map(change).collect()
}

/// Returns the fields that differ between two versions of an object.
fn fields(old: &Map<String, Value>, new: &Map<String, Value>) -> Vec<FieldChange> {
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let value = |object: &Map<String, Value>, key: &String| {
        object.get(key).cloned().unwrap_or(Value::Null)
    };
    keys.into_iter()
        .filter(|key| old.get(*key) != new.get(*key))
        .map(|key| FieldChange {
            field: key.clone(),
            old: value(old, key),
            new: value(new, key),
        })
        .collect()
}

/// Splits a set into its objects.
fn objects(set: &ConfigSet) -> Objects {
    let mut objects = Objects::new();
    let Ok(Value::Object(sections)) = serde_json::to_value(set) else {
        return objects;
    };
    for (section, named) in sections {
        let (Some(section), Value::Object(named)) = (Section::from_name(&section), named)
        else {
            continue;
        };
        for (name, object) in named {
            if let Value::Object(fields) = object {
                objects.insert((section, name), fields);
            }
        }
    }
    objects
}
