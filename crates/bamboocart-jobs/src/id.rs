//! Names and identifiers of services, minions, jobs, tasks and runs.

use std::fmt::{self, Debug, Display, Formatter};
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

/// The result of parsing an identifier.
pub type Result<T, E = ParseIdError> = std::result::Result<T, E>;

/// Defines newtypes over shared strings.
macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
        )]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// The name of a service.
    ServiceName;
    /// The id of a minion in the platform's list.
    MinionId;
    /// The id of one incarnation of an instance in the store's group.
    MemberId;
}

/// The id of a job: 16 hexadecimal digits, kept in the client's spelling.
#[derive(Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
pub struct JobId([u8; 16]);

impl JobId {
    /// Returns a 64-bit hash of the id, which distributes ids evenly.
    pub(crate) fn hash(self) -> u64 {
        first_word(&blake3::hash(&self.0))
    }
}

/// Returns the first eight bytes of a hash as a little-endian number.
pub(crate) fn first_word(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}

impl Display for JobId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(std::str::from_utf8(&self.0).unwrap_or("?"))
    }
}

impl Debug for JobId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(self, f)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self> {
        let digits: [u8; 16] =
            text.as_bytes().try_into().ok().context(JobIdSnafu { text })?;
        ensure!(digits.iter().all(u8::is_ascii_hexdigit), JobIdSnafu { text });
        Ok(Self(digits))
    }
}

/// One occurrence of a job.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct OccurrenceRef {
    /// The job that occurs.
    pub job: JobId,
    /// The number of the occurrence; 0 for a job that runs once.
    pub occurrence: u32,
}

impl From<JobId> for OccurrenceRef {
    /// Returns the only occurrence of a job that runs once.
    fn from(job: JobId) -> Self {
        Self { job, occurrence: 0 }
    }
}

/// One task of one occurrence of a job.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct TaskRef {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The number of the occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// The index of the step in the job, from 0.
    pub step: u16,
    /// The index of the task in its step, from 0.
    pub index: u16,
}

impl TaskRef {
    /// Returns the occurrence that the task belongs to.
    pub fn occurrence_ref(&self) -> OccurrenceRef {
        OccurrenceRef { job: self.job, occurrence: self.occurrence }
    }
}

impl Display for TaskRef {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskRef {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self> {
        let mut parts = text.split('.');
        let mut next = || parts.next().context(TaskSnafu { text });
        let task = Self {
            job: next()?.parse()?,
            occurrence: next()?.parse().ok().context(TaskSnafu { text })?,
            step: next()?.parse().ok().context(TaskSnafu { text })?,
            index: next()?.parse().ok().context(TaskSnafu { text })?,
        };
        ensure!(parts.next().is_none(), TaskSnafu { text });
        Ok(task)
    }
}

/// One run of a task, which a start of the task begins.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct RunRef {
    /// The task that is run.
    pub task: TaskRef,
    /// The number of the start, from 1 on.
    pub run: u64,
}

/// The error of parsing a text that is not an identifier.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
pub enum ParseIdError {
    /// The text is not the id of a job.
    #[snafu(display("`{text}` is not a job id; use 16 hexadecimal digits"))]
    JobId {
        /// The text that was parsed.
        text: String,
    },
    /// The text is not a reference to a task.
    #[snafu(display("`{text}` is not a task; use JOB.OCCURRENCE.STEP.INDEX"))]
    Task {
        /// The text that was parsed.
        text: String,
    },
}

/// The saved progress of a run, as its minion names it; empty if nothing is saved.
#[derive(Debug, Clone, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint(Box<str>);

impl Checkpoint {
    /// Returns the minion's name for the saved progress, if there is any.
    pub fn as_str(&self) -> Option<&str> {
        (!self.0.is_empty()).then_some(&*self.0)
    }

    /// Replaces the saved progress with newer progress, if that is not empty.
    pub(crate) fn update(&mut self, newer: &Self) {
        if newer.as_str().is_some() {
            self.clone_from(newer);
        }
    }
}

impl From<&str> for Checkpoint {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

/// A string that is shared between owners instead of copied.
pub(crate) type SharedStr = Arc<str>;
