//! What verification finds wrong.

use snafu::Snafu;

use super::entry::{StartReason, Subject};
use crate::id::{
    ConfigVersion, CustomerName, Incarnation, InstanceName, SubmissionId, TaskIndex,
};

/// A fault and where it was found.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Finding {
    /// The offset of the record.
    pub offset: u64,
    /// The incarnation, if the record could be read.
    pub account: Option<(InstanceName, Incarnation)>,
    /// The entry, if the fault lies in one.
    pub sequence: Option<u64>,
    /// The fault.
    pub fault: Fault,
}

/// Something that an honest, unaltered account does not contain.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Fault {
    /// A record has no readable batch or entry.
    #[snafu(display("unreadable: {reason}; compare with the log service's copy"))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
    /// A batch or an entry is not written as an instance writes it.
    #[snafu(display("not in the written form; compare with the log service's copy"))]
    NotCanonical,
    /// Offsets are missing between two records.
    #[snafu(display("offsets {first} to {last} are missing; fetch the whole stream"))]
    MissingOffsets {
        /// The first missing offset.
        first: u64,
        /// The last missing offset.
        last: u64,
    },
    /// A record does not come after the one before it.
    #[snafu(display("offset {offset} follows {previous}; fetch the stream in order"))]
    OffsetsNotRising {
        /// The offset before.
        previous: u64,
        /// The offset.
        offset: u64,
    },
    /// The log's append time went back.
    #[snafu(display("the append time went back by {back_ms} ms; check the log's clock"))]
    AppendTimeWentBack {
        /// By how much.
        back_ms: u64,
    },
    /// Batches are missing.
    #[snafu(display("batches {first} to {last} are missing; they were removed"))]
    MissingBatches {
        /// The first missing batch.
        first: u64,
        /// The last missing batch.
        last: u64,
    },
    /// A batch comes after a later one, or a batch number was used twice.
    #[snafu(display("batch {batch} is out of order or differs from its repeat"))]
    MisplacedBatch {
        /// The batch.
        batch: u64,
    },
    /// A batch follows the end of its account.
    #[snafu(display("batch {batch} follows the end of the account; it was added"))]
    AfterClose {
        /// The batch.
        batch: u64,
    },
    /// The hash of a batch is not that of its content.
    #[snafu(display("batch {batch} does not match its hash; it was altered"))]
    HashMismatch {
        /// The batch.
        batch: u64,
    },
    /// A batch does not continue its predecessor.
    #[snafu(display("batch {batch} does not continue the chain; one was replaced"))]
    ChainBroken {
        /// The batch.
        batch: u64,
    },
    /// An entry does not have the next number.
    #[snafu(display("sequence {found} in place of {expected}; entries were removed"))]
    SequenceBroken {
        /// The number that was due.
        expected: u64,
        /// The number that was found.
        found: u64,
    },
    /// A time lies before one that must precede it.
    #[snafu(display("dated {early_us} us too early; the entry was back-dated"))]
    BackDated {
        /// By how much.
        early_us: u64,
    },
    /// A time lies after the append of its record.
    #[snafu(display("dated {late_us} us after its append; check the instance's clock"))]
    PostDated {
        /// By how much.
        late_us: u64,
    },
    /// A configuration did not follow the one before it.
    #[snafu(display("configuration {to} follows {from}; versions never go back"))]
    PolicyWentBack {
        /// The configuration in force.
        from: ConfigVersion,
        /// The configuration that followed.
        to: ConfigVersion,
    },
    /// A task was admitted although it was before.
    #[snafu(display("task {} of {submission} was admitted twice", task.0))]
    AdmittedTwice {
        /// The submission.
        submission: SubmissionId,
        /// The task.
        task: TaskIndex,
    },
    /// An arrival number did not rise.
    #[snafu(display("arrival {arrival} of {submission} follows {previous}"))]
    ArrivalNotRising {
        /// The submission.
        submission: SubmissionId,
        /// The arrival number before.
        previous: u64,
        /// The arrival number.
        arrival: u64,
    },
    /// A task was started that does not wait and was not started before.
    #[snafu(display("task {} of {submission} was started without waiting", task.0))]
    NotWaiting {
        /// The submission.
        submission: SubmissionId,
        /// The task.
        task: TaskIndex,
    },
    /// A task was started again without being a retry or a hedge.
    #[snafu(display("task {} of {submission} was started twice", task.0))]
    StartedTwice {
        /// The submission.
        submission: SubmissionId,
        /// The task.
        task: TaskIndex,
    },
    /// A submission was started by two incarnations.
    #[snafu(display("{submission} was also started by {instance}"))]
    StartedElsewhere {
        /// The submission.
        submission: SubmissionId,
        /// The instance that started it first.
        instance: InstanceName,
    },
    /// A caller was told "not run" although a task may have run.
    #[snafu(display("{submission} was answered as not run after a start"))]
    UntrueRefusal {
        /// The submission.
        submission: SubmissionId,
    },
    /// A task with a better rank waited.
    #[snafu(display(
        "{submission} of rank {rank} was started while rank {waiting_rank} waited"
    ))]
    RankPassedOver {
        /// The submission that was started.
        submission: SubmissionId,
        /// Its rank.
        rank: u8,
        /// The rank that was passed over.
        waiting_rank: u8,
    },
    /// A customer was started beyond its share while another waited.
    #[snafu(display(
        "{submission} of {customer} was started while {waiting} waited and was behind \
         its share by {behind_us} us per unit of weight, with {tolerance_us} us allowed"
    ))]
    SharePassedOver {
        /// The submission that was started.
        submission: SubmissionId,
        /// Its customer.
        customer: CustomerName,
        /// The customer that was passed over.
        waiting: CustomerName,
        /// The difference in cost per weight.
        behind_us: u64,
        /// The difference that is allowed.
        tolerance_us: u64,
    },
    /// An earlier arrival of the same customer waited.
    #[snafu(display(
        "{submission} with arrival {arrival} was started while arrival \
         {waiting_arrival} of the same customer waited"
    ))]
    ArrivalPassedOver {
        /// The submission that was started.
        submission: SubmissionId,
        /// Its arrival number.
        arrival: u64,
        /// The arrival number that was passed over.
        waiting_arrival: u64,
    },
    /// A floor was used beyond its share of the starts.
    #[snafu(display(
        "{submission} of rank {rank} was started beyond the floor of {percent} percent"
    ))]
    FloorExceeded {
        /// The submission that was started.
        submission: SubmissionId,
        /// Its rank.
        rank: u8,
        /// The share of the configuration in force.
        percent: u32,
    },
    /// A start names a customer or a reason that its admission excludes.
    #[snafu(display(
        "{} was started as {reason:?} against its admission",
        subject.submission
    ))]
    StartContradictsAdmission {
        /// What the start is about.
        subject: Box<Subject>,
        /// The reason that it names.
        reason: StartReason,
    },
}
