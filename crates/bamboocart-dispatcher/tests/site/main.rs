//! Instances on the stand-in for the users' platform, as separate processes.

mod jobs;
mod process;
mod soak;
mod start;
mod stop;
mod stored;
