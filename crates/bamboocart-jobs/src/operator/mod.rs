//! What operators have published.

pub(crate) mod catalog;
pub mod check;
pub(crate) mod evacuation;
