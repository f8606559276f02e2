//! Instances on the stand-in for the users' platform, as separate processes.

mod jobs;
mod process;
mod start;
mod stop;
