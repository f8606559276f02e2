//! Tests of instances as separate processes on the stand-in for the users' platform.

mod evacuation;
mod foreign;
mod jobs;
mod links;
mod log;
mod process;
mod soak;
mod start;
mod stop;
mod stored;
