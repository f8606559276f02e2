//! Faults in a configuration set, located by object and field.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::Section;

/// A fault in a set, located by object instead of a position in a file.
#[derive(Debug, Clone, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// The object, field or list item that has the fault.
    #[serde(rename = "spot")]
    pub path: ObjectPath,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.message, self.remedy)
    }
}

/// The path of an object, of one of its fields, or of an item in a list field.
#[derive(Debug, Clone, Eq, PartialEq, Ord, PartialOrd, Serialize)]
pub struct ObjectPath {
    /// The type of the object.
    pub section: Section,
    /// The name of the object.
    pub name: String,
    /// The field, or `None` for the whole object.
    pub field: Option<String>,
    /// The index in the list of the field, or `None` for the whole field.
    pub item: Option<usize>,
}

impl ObjectPath {
    /// Returns the path of a whole object.
    pub fn object(section: Section, name: &str) -> Self {
        Self { section, name: name.into(), field: None, item: None }
    }

    /// Returns the path of a field of the same object.
    pub fn field(&self, field: &str) -> Self {
        Self { field: Some(field.into()), item: None, ..self.clone() }
    }

    /// Returns the path of a list item of the same field.
    pub fn item(&self, item: usize) -> Self {
        Self { item: Some(item), ..self.clone() }
    }
}

impl Display for ObjectPath {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.section, self.name)?;
        match (&self.field, self.item) {
            (Some(field), Some(item)) => write!(f, ".{field}[{item}]"),
            (Some(field), None) => write!(f, ".{field}"),
            _ => Ok(()),
        }
    }
}
