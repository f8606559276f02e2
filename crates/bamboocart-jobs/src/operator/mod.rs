//! What operators have published.

pub(crate) mod catalog;
pub(crate) mod evacuation;
