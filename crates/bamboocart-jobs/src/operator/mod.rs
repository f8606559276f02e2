//! What operators have published.

pub(crate) mod catalog;
