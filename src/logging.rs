//! One line of key=value pairs for each event, on standard error.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use tracing::field::Field;
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::field::MakeExt;
use tracing_subscriber::fmt::format::{Writer, debug_fn};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, fmt};
use tracing_subscriber::registry::LookupSpan;

/// Starts logging; a second start in the same process changes nothing.
pub fn start(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let started = fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .event_format(KeyValueLine)
        .fmt_fields(debug_fn(write_pair).delimited(" "))
        .try_init();
    // Only tests start several hosts in one process; the first filter holds.
    drop(started);
}

/// Lines that wait for a slow reader of standard output; more are dropped and counted.
const LINES_WAITING: usize = 4_096;

/// Starts logging to standard output, by a thread of its own: a reader that stops
/// delays nothing. Lines are written until the returned guard is dropped.
pub fn start_unblocked(filter: &str) -> WorkerGuard {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES_WAITING)
        .finish(std::io::stdout());
    let started = fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .event_format(KeyValueLine)
        .fmt_fields(debug_fn(write_pair).delimited(" "))
        .try_init();
    // Only tests start several hosts in one process; the first filter holds.
    drop(started);
    guard
}

/// A line that begins with the time, in milliseconds since 1970, and the level.
struct KeyValueLine;

impl<S, N> FormatEvent<S, N> for KeyValueLine
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        let time_ms = since_1970.unwrap_or_default().as_millis();
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        write!(writer, "time_ms={time_ms} level={level} ")?;
        context.format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Quotes what would not read as one value.
fn write_pair(writer: &mut Writer<'_>, field: &Field, value: &dyn fmt::Debug) -> fmt::Result {
    let text = format!("{value:?}");
    let inner = text
        .strip_prefix('"')
        .and_then(|text| text.strip_suffix('"'));
    let plain = inner.unwrap_or(&text);
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && !"=\"\\".contains(c);
    if !plain.is_empty() && plain.chars().all(is_plain) {
        return write!(writer, "{field}={plain}");
    }
    match inner {
        Some(_) => write!(writer, "{field}={text}"),
        None => write!(writer, "{field}={text:?}"),
    }
}
