//! The faults that verification can find in an account.

use snafu::Snafu;

use super::entry::{StartReason, Subject};
use crate::id::{
    ConfigVersion, CustomerName, Incarnation, InstanceName, SubmissionId, TaskIndex,
};

/// A fault and its position in the stream.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Finding {
    /// The offset of the record with the fault.
    pub offset: u64,
    /// The incarnation that the record belongs to, if the record could be decoded.
    pub account: Option<(InstanceName, Incarnation)>,
    /// The sequence number of the entry, if the fault is in one.
    pub sequence: Option<u64>,
    /// What is wrong.
    pub fault: Fault,
}

/// An inconsistency that does not occur in an account that is correct and unaltered.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Fault {
    /// A record cannot be decoded as a batch.
    #[snafu(display(
        "the record cannot be decoded: {reason}; compare it with the log service's copy"
    ))]
    Unreadable {
        /// The message of the decoder.
        reason: String,
    },
    /// A batch is not in the canonical encoding that an instance produces.
    #[snafu(display(
        "the encoding is not canonical; compare the record with the log service's copy"
    ))]
    NotCanonical,
    /// Offsets are missing between two records.
    #[snafu(display("offsets {first} to {last} are missing; fetch the whole stream"))]
    MissingOffsets {
        /// The first missing offset.
        first: u64,
        /// The last missing offset.
        last: u64,
    },
    /// The offset of a record is not higher than that of the previous record.
    #[snafu(display("offset {offset} follows {previous}; fetch the stream in order"))]
    OffsetsNotRising {
        /// The offset of the previous record.
        previous: u64,
        /// The offset that does not increase.
        offset: u64,
    },
    /// The append time is earlier than that of the previous record, beyond the tolerance.
    #[snafu(display("the append time went back by {back_ms} ms; check the log's clock"))]
    AppendTimeWentBack {
        /// The difference between the two append times.
        back_ms: u64,
    },
    /// Batches of an incarnation are missing.
    #[snafu(display("batches {first} to {last} are missing; they were removed"))]
    MissingBatches {
        /// The number of the first missing batch.
        first: u64,
        /// The number of the last missing batch.
        last: u64,
    },
    /// A batch follows a later one, or its number was used for two different batches.
    #[snafu(display("batch {batch} is out of order or differs from an earlier copy"))]
    MisplacedBatch {
        /// The number of the batch.
        batch: u64,
    },
    /// A batch follows the one that ended the account.
    #[snafu(display("batch {batch} follows the end of the account; it was added"))]
    AfterClose {
        /// The number of the batch.
        batch: u64,
    },
    /// The hash that a batch states differs from that of its content.
    #[snafu(display("batch {batch} does not match its hash; it was altered"))]
    HashMismatch {
        /// The number of the batch.
        batch: u64,
    },
    /// A batch does not contain the hash of its predecessor.
    #[snafu(display("batch {batch} does not continue the chain; one was replaced"))]
    ChainBroken {
        /// The number of the batch.
        batch: u64,
    },
    /// The sequence number of an entry does not follow that of the previous entry.
    #[snafu(display(
        "sequence number {found} in place of {expected}; entries were removed"
    ))]
    SequenceBroken {
        /// The sequence number that was expected.
        expected: u64,
        /// The sequence number that was found.
        found: u64,
    },
    /// The time of an entry or a batch is earlier than one that must precede it.
    #[snafu(display("dated {early_us} us too early; the entry was back-dated"))]
    BackDated {
        /// The time by which it is too early.
        early_us: u64,
    },
    /// The time of a batch is later than its append, or that of an entry than its batch.
    #[snafu(display("dated {late_us} us too late; check the instance's clock"))]
    PostDated {
        /// The time by which it is too late.
        late_us: u64,
    },
    /// A change of the configuration does not start from the version in force, or does
    /// not increase the version.
    #[snafu(display("configuration {to} follows {from}; versions never go back"))]
    PolicyWentBack {
        /// The version in force.
        from: ConfigVersion,
        /// The version that came into force next.
        to: ConfigVersion,
    },
    /// A task was admitted a second time.
    #[snafu(display("task {} of {submission} was admitted twice", task.0))]
    AdmittedTwice {
        /// The submission that the fault is about.
        submission: SubmissionId,
        /// The position of the task in its submission.
        task: TaskIndex,
    },
    /// The arrival number of an admission is lower than the previous one of its queue.
    #[snafu(display(
        "arrival number {arrival} of {submission} follows the higher number {previous}"
    ))]
    ArrivalNotRising {
        /// The submission that the fault is about.
        submission: SubmissionId,
        /// The arrival number of the previous admission.
        previous: u64,
        /// The arrival number that decreased.
        arrival: u64,
    },
    /// A task was started that was never admitted or has left its queue.
    #[snafu(display("task {} of {submission} was started but was not queued", task.0))]
    NotWaiting {
        /// The submission that the fault is about.
        submission: SubmissionId,
        /// The position of the task in its submission.
        task: TaskIndex,
    },
    /// A task was started again, but not as a retry or a hedge.
    #[snafu(display("task {} of {submission} was started twice", task.0))]
    StartedTwice {
        /// The submission that the fault is about.
        submission: SubmissionId,
        /// The position of the task in its submission.
        task: TaskIndex,
    },
    /// A submission was started by two different incarnations.
    #[snafu(display("{submission} was also started by {instance}"))]
    StartedElsewhere {
        /// The submission that the fault is about.
        submission: SubmissionId,
        /// The instance that started it first.
        instance: InstanceName,
    },
    /// The answer to a caller said that nothing was run, although a task may have run.
    #[snafu(display(
        "{submission} was answered as not run although a task may have run"
    ))]
    UntrueRefusal {
        /// The submission that the fault is about.
        submission: SubmissionId,
    },
    /// A task was started while another one with a better rank waited.
    #[snafu(display(
        "{submission} of rank {rank} was started while rank {waiting_rank} waited"
    ))]
    RankPassedOver {
        /// The submission that was started.
        submission: SubmissionId,
        /// The rank of its priority.
        rank: u8,
        /// The better rank, of which a task waited.
        waiting_rank: u8,
    },
    /// A task was started although its customer was ahead of another one by more than the
    /// tolerance.
    #[snafu(display(
        "{submission} of {customer} was started while {waiting} waited and was behind \
         its share by {behind_us} us per unit of weight, with {tolerance_us} us allowed"
    ))]
    SharePassedOver {
        /// The submission that was started.
        submission: SubmissionId,
        /// The customer of the submission.
        customer: CustomerName,
        /// The customer that waited and was furthest behind.
        waiting: CustomerName,
        /// The difference between the two customers, in run time per unit of weight.
        behind_us: u64,
        /// The allowed difference, in run time per unit of weight.
        tolerance_us: u64,
    },
    /// A task was started while an earlier arrival of the same customer waited.
    #[snafu(display(
        "{submission} with arrival {arrival} was started while arrival \
         {waiting_arrival} of the same customer waited"
    ))]
    ArrivalPassedOver {
        /// The submission that was started.
        submission: SubmissionId,
        /// The arrival number of the submission.
        arrival: u64,
        /// The lower arrival number that waited.
        waiting_arrival: u64,
    },
    /// A floor was used for more starts than it reserves.
    #[snafu(display(
        "{submission} of rank {rank} was started beyond the floor of {percent} percent"
    ))]
    FloorExceeded {
        /// The submission that was started.
        submission: SubmissionId,
        /// The rank of its priority.
        rank: u8,
        /// The reserved share of starts in the configuration in force.
        percent: u32,
    },
    /// A start states a customer or a reason that contradicts the admission of the task.
    #[snafu(display(
        "{} was started with reason {reason:?}, which contradicts its admission",
        subject.submission
    ))]
    StartContradictsAdmission {
        /// The submission that the start states.
        subject: Box<Subject>,
        /// The reason that the start states.
        reason: StartReason,
    },
}
