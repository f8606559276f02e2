//! The messages between instances.
