//! Distributed tracing: a span for each hop of a submission, written as OTLP-JSON lines.

use std::borrow::Cow;
use std::time::Duration;

use fastrace::Span;
use fastrace::collector::{
    Config, EventRecord, Reporter, SpanContext, SpanId, SpanRecord, TraceId,
};
use serde_json::{Value as Json, json};

use crate::lines::LineSink;

/// The W3C header that carries the context of a span to the next hop.
pub const TRACEPARENT: &str = "traceparent";

/// The denominator of the sampling rate.
pub const SAMPLING_DENOMINATOR: u16 = 10_000;

/// The interval at which finished spans are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The most spans in a line, which keeps usual lines far below the limit of the sink.
const MAX_SPANS_PER_LINE: usize = 16;

/// The most attributes and the most events written for a span; the rest is dropped.
const MAX_ITEMS_PER_SPAN: usize = 16;

/// The longest name, key or attribute value; the rest is truncated.
const MAX_VALUE_BYTES: usize = 256;

/// The OTLP span kind `SPAN_KIND_SERVER`, a span that handles a request.
const KIND_SERVER: u8 = 2;

/// Reports spans as OTLP-JSON lines, each a document with one `resourceSpans` entry.
#[derive(Debug)]
pub struct OtlpReporter {
    sink: LineSink,
    /// The OTLP resource that describes the instance.
    resource: Json,
}

impl OtlpReporter {
    /// Creates a reporter for an instance of a service.
    pub fn new(sink: LineSink, service: &str, instance: &str) -> Self {
        let attributes = [
            attribute("service.name", service),
            attribute("service.instance.id", instance),
        ];
        Self { sink, resource: json!({ "attributes": attributes }) }
    }

    /// Makes this the reporter of all spans of the process.
    pub fn install(self) {
        let config = Config::default().report_interval(REPORT_INTERVAL);
        fastrace::set_reporter(self, config);
    }
}

impl Reporter for OtlpReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for part in spans.chunks(MAX_SPANS_PER_LINE) {
            let spans: Vec<Json> = part.iter().map(span_json).collect();
            let document = json!({ "resourceSpans": [{
                "resource": self.resource,
                "scopeSpans": [{ "scope": { "name": "bamboocart" }, "spans": spans }],
            }]});
            self.sink.push(document.to_string());
        }
    }
}

/// Starts spans and decides which new traces are sampled.
#[derive(Debug, Copy, Clone)]
pub struct Tracer {
    /// How many of 10,000 new traces are sampled.
    sampled_per_10k: u16,
}

impl Tracer {
    /// Creates a tracer that samples `sampled_per_10k` of 10,000 new traces, at most all.
    pub fn new(sampled_per_10k: u16) -> Self {
        Self { sampled_per_10k: sampled_per_10k.min(SAMPLING_DENOMINATOR) }
    }

    /// Starts the span of a hop.
    ///
    /// The span continues the trace of the header, including its sampling decision. If
    /// the header is absent or malformed, it starts a new trace.
    pub fn start_span(
        &self,
        name: impl Into<Cow<'static, str>>,
        traceparent: Option<&str>,
    ) -> Span {
        let parent = traceparent.and_then(parse_traceparent);
        Span::root(name, parent.unwrap_or_else(|| self.new_trace()))
    }

    /// Returns the context of a new trace, sampled by its random id.
    fn new_trace(&self) -> SpanContext {
        let trace = TraceId::random();
        let sampled =
            trace.0 % u128::from(SAMPLING_DENOMINATOR) < self.sampled_per_10k.into();
        SpanContext::new(trace, SpanId::default()).sampled(sampled)
    }
}

/// Returns the `traceparent` value that makes the next hop a child of this span.
///
/// Returns `None` for a span that is not recorded at all.
pub fn traceparent_of(span: &Span) -> Option<String> {
    SpanContext::from_span(span).map(|context| format_traceparent(&context))
}

/// Formats a context as a W3C `traceparent` value of version 00.
pub fn format_traceparent(context: &SpanContext) -> String {
    context.encode_w3c_traceparent()
}

/// Parses a W3C `traceparent` value, or returns `None` if it is malformed.
///
/// Later versions are read by the fields of version 00, as the recommendation requires.
pub fn parse_traceparent(value: &str) -> Option<SpanContext> {
    let parts: Vec<&str> = value.splitn(5, '-').collect();
    let (&[version, trace, span, flags], later) = (parts.first_chunk()?, parts.get(4));
    let fields = [(version, 2), (trace, 32), (span, 16), (flags, 2)];
    let well_formed = fields.iter().all(|&(text, digits)| is_hex(text, digits));
    let known_length = version != "00" || later.is_none();
    if !well_formed || !known_length || version == "ff" {
        return None;
    }
    let trace = u128::from_str_radix(trace, 16).ok().filter(|id| *id != 0)?;
    let span = u64::from_str_radix(span, 16).ok().filter(|id| *id != 0)?;
    let sampled = u8::from_str_radix(flags, 16).ok()? & 1 == 1;
    Some(SpanContext::new(TraceId(trace), SpanId(span)).sampled(sampled))
}

/// Returns whether the text consists of exactly `digits` lower-case hexadecimal digits.
fn is_hex(text: &str, digits: usize) -> bool {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    text.len() == digits && text.bytes().all(is_digit)
}

/// Converts a span to OTLP's JSON form.
fn span_json(span: &SpanRecord) -> Json {
    let end_ns = span.begin_time_unix_ns.saturating_add(span.duration_ns);
    let events: Vec<Json> =
        span.events.iter().take(MAX_ITEMS_PER_SPAN).map(event_json).collect();
    let mut json = json!({
        "traceId": format!("{:032x}", span.trace_id.0),
        "spanId": format!("{:016x}", span.span_id.0),
        "name": shorten(&span.name),
        "kind": KIND_SERVER,
        "startTimeUnixNano": span.begin_time_unix_ns.to_string(),
        "endTimeUnixNano": end_ns.to_string(),
        "attributes": attributes(&span.properties),
        "events": events,
    });
    if span.parent_id != SpanId::default() {
        json["parentSpanId"] = format!("{:016x}", span.parent_id.0).into();
    }
    json
}

/// Converts an event to OTLP's JSON form.
fn event_json(event: &EventRecord) -> Json {
    json!({
        "name": shorten(&event.name),
        "timeUnixNano": event.timestamp_unix_ns.to_string(),
        "attributes": attributes(&event.properties),
    })
}

/// Converts properties to OTLP's JSON form.
fn attributes(properties: &[(Cow<'static, str>, Cow<'static, str>)]) -> Vec<Json> {
    let kept = properties.iter().take(MAX_ITEMS_PER_SPAN);
    kept.map(|(key, value)| attribute(key, value)).collect()
}

/// Converts one property to OTLP's JSON form.
fn attribute(key: &str, value: &str) -> Json {
    json!({ "key": shorten(key), "value": { "stringValue": shorten(value) } })
}

/// Truncates a text to [`MAX_VALUE_BYTES`].
fn shorten(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_VALUE_BYTES)]
}
