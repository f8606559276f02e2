//! The names of the platform, which stand in a file of their own.

include!("wire.txt");
