//! Placeholder until the module list is in place.
