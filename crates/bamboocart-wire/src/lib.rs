//! What bamboocart's programs say to each other, to callers and to targets.

pub mod api;
pub mod message;
pub mod status;
pub mod text;
