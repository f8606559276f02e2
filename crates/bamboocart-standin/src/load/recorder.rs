//! Writes the history file and aggregates the measurements of a run.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::time::Duration;

use bamboocart_core::id::KindName;
use bamboocart_wire::api::{AnswerBody, OutcomeName};
use crossbeam::channel::Receiver;
use hdrhistogram::Histogram;

use crate::history::{CallRecord, Purpose};

use super::summary::{KindSummary, Percentiles, Summary};

/// The number of significant decimal digits that histograms keep.
const HISTOGRAM_DIGITS: u8 = 3;

/// The factor by which ratios are scaled to the integers of a histogram.
const RATIO_SCALE: f64 = 1_000.0;

/// The name under which calls and submissions without an answer are counted.
const UNANSWERED: &str = "unanswered";

/// The name under which submissions with a complete answer are counted.
const COMPLETE: &str = "complete";

/// The consumer of a run's call records.
pub struct Recorder {
    /// The history file, if one is written.
    file: Option<BufWriter<File>>,
    /// The first error of writing the file, reported at the end.
    error: Option<io::Error>,
    /// The number of calls, with resubmissions and cancellations.
    calls: u64,
    kinds: BTreeMap<KindName, KindStats>,
    /// The state of each submission, bounded by the count of the plan.
    submissions: HashMap<String, SubmissionStats>,
    /// The number of calls without a complete answer, by outcome and code.
    codes: BTreeMap<String, u64>,
}

/// The measurements of one request kind.
struct KindStats {
    response_us: Histogram<u64>,
    /// The ratios of response time to ideal, multiplied by the scale.
    ratio: Histogram<u64>,
}

/// The results of one submission over all its calls.
#[derive(Debug, Default)]
struct SubmissionStats {
    tasks: u16,
    /// The largest number of sends to targets in any of its answers.
    attempts: u32,
    /// Whether any call was answered complete.
    complete: bool,
    /// Whether the first complete answer arrived within the deadline.
    in_time: bool,
    /// The outcome and code of the last answer to a submission or resubmission.
    end: Option<String>,
}

impl Recorder {
    /// Creates a recorder that writes the history to a file, if there is one.
    pub fn new(file: Option<BufWriter<File>>) -> Self {
        Self {
            file,
            error: None,
            calls: 0,
            kinds: BTreeMap::new(),
            submissions: HashMap::new(),
            codes: BTreeMap::new(),
        }
    }

    /// Consumes records until the channel is closed.
    pub fn record_all(mut self, records: &Receiver<CallRecord>) -> Self {
        for record in records {
            self.write(&record);
            self.measure(&record);
        }
        self
    }

    /// Flushes the history file and returns the measurements.
    ///
    /// Returns the first error if any record could not be written.
    pub fn summary(mut self, elapsed: Duration, unsent: u64) -> io::Result<Summary> {
        if let Some(error) = self.error.take() {
            return Err(error);
        }
        if let Some(file) = &mut self.file {
            file.flush()?;
        }
        let complete = self.submissions.values().filter(|s| s.complete);
        let needed_starts: u64 = complete.clone().map(|s| u64::from(s.tasks)).sum();
        let attempts: u64 =
            self.submissions.values().map(|s| u64::from(s.attempts)).sum();
        let in_time = complete.clone().filter(|s| s.in_time).count() as u64;
        let mut ends = BTreeMap::new();
        for submission in self.submissions.values() {
            let end = submission.end.as_deref().unwrap_or(UNANSWERED);
            *ends.entry(end.to_owned()).or_default() += 1;
        }
        let elapsed_s = elapsed.as_secs_f64();
        Ok(Summary {
            elapsed_s,
            submissions: self.submissions.len() as u64,
            calls: self.calls,
            unsent,
            complete: complete.count() as u64,
            in_time,
            goodput_per_s: in_time as f64 / elapsed_s,
            needed_starts,
            attempts,
            attempts_per_needed_start: attempts as f64 / needed_starts.max(1) as f64,
            codes: self.codes,
            ends,
            kinds: self.kinds.into_iter().map(|(k, s)| (k, s.summary())).collect(),
        })
    }

    /// Writes a record to the history file.
    fn write(&mut self, record: &CallRecord) {
        let Some(file) = &mut self.file else { return };
        let written = serde_json::to_writer(&mut *file, record).map_err(io::Error::from);
        let written = written.and_then(|()| file.write_all(b"\n"));
        self.error = self.error.take().or(written.err());
    }

    /// Adds a record to the measurements.
    fn measure(&mut self, record: &CallRecord) {
        self.calls += 1;
        if let Some(code) = code(record) {
            *self.codes.entry(code).or_default() += 1;
        }
        let submission = self.submissions.entry(record.mark.clone()).or_default();
        submission.tasks = record.tasks;
        let Some(answer) = &record.answer else { return };
        if record.purpose != Purpose::Cancel {
            submission.end = Some(code(record).unwrap_or_else(|| COMPLETE.to_owned()));
        }
        submission.attempts = submission.attempts.max(answer.attempts);
        if answer.outcome != OutcomeName::Complete || submission.complete {
            return;
        }
        submission.complete = true;
        let response_us = record.ended_us.us_since(record.due_us);
        let deadline_us = record.deadline_ms.map_or(u64::MAX, |ms| ms * 1_000);
        submission.in_time = response_us <= deadline_us;
        let kind = self.kinds.entry(record.kind.clone()).or_insert_with(KindStats::new);
        kind.add(response_us, record.ideal_us);
    }
}

impl KindStats {
    fn new() -> Self {
        let histogram =
            || Histogram::new(HISTOGRAM_DIGITS).expect("the digits are in range");
        Self { response_us: histogram(), ratio: histogram() }
    }

    fn add(&mut self, response_us: u64, ideal_us: u64) {
        let ratio = response_us as f64 / ideal_us.max(1) as f64;
        // `record` resizes the histogram for large values; `saturating_record` clips.
        record(&mut self.response_us, response_us);
        record(&mut self.ratio, (ratio * RATIO_SCALE) as u64);
    }

    fn summary(&self) -> KindSummary {
        KindSummary {
            complete: self.ratio.len(),
            response_over_ideal: percentiles(&self.ratio, RATIO_SCALE),
            response_ms: percentiles(&self.response_us, 1_000.0),
        }
    }
}

/// Adds a value to a histogram, which grows as far as memory permits.
fn record(histogram: &mut Histogram<u64>, value: u64) {
    if let Err(error) = histogram.record(value) {
        log::error!("could not record the value {value} in a histogram: {error}");
    }
}

/// Returns the percentiles of a histogram whose values are divided by a unit.
fn percentiles(histogram: &Histogram<u64>, unit: f64) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / unit;
    Percentiles { p50: at(0.5), p99: at(0.99), p999: at(0.999) }
}

/// Returns the name under which an answer is counted, or `None` if it is complete.
fn code(record: &CallRecord) -> Option<String> {
    let name = |answer: &AnswerBody| match answer.outcome {
        OutcomeName::Complete => None,
        OutcomeName::Failed => Some("failed"),
        OutcomeName::Refused => Some("refused"),
        OutcomeName::Cancelled => Some("cancelled"),
        OutcomeName::Unknown => Some("unknown"),
    };
    let text = match &record.answer {
        None => UNANSWERED.to_owned(),
        Some(answer) => format!("{}/{}", name(answer)?, answer.code),
    };
    match record.purpose {
        Purpose::Cancel => Some(format!("cancel call: {text}")),
        Purpose::Submit | Purpose::Resubmit => Some(text),
    }
}
