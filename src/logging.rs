//! Log output: one line of `key=value` pairs for each event.

use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tracing::callsite::Identifier;
use tracing::field::Field;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::field::MakeExt;
use tracing_subscriber::fmt::format::{Writer, debug_fn};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, fmt, layer};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, registry};

/// Filter that replaces one that can't be parsed.
const DEFAULT_FILTER: &str = "info";
/// Lines buffered for a slow reader of standard output; further ones are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_096;
/// Most lines per second from one place in the code, below level `warn`. Each place has its own
/// limit, so that a burst of ordinary lines does not suppress those of failures.
const MAX_LINES_PER_S: u32 = 200;
/// Most warnings and errors per second from one place in the code.
const MAX_WARNINGS_PER_S: u32 = 300;
/// Time between two reports of dropped lines.
const DROPPED_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Starts logging to standard error; a second call in the same process has no effect.
pub fn start(filter: &str) {
    let filter = filter_or_default(filter);
    let started = fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .event_format(KeyValueLine { host: None })
        .fmt_fields(debug_fn(write_pair).delimited(" "))
        .try_init();
    // Only tests start several hosts in one process. The filter of the first one applies to all.
    drop(started);
}

/// Starts logging to standard output from a separate thread, so that a reader that stops
/// reading delays no request.
///
/// Each line names the host. Logging ends when the returned guard is dropped.
pub fn start_nonblocking(filter: &str, host: &str) -> WorkerGuard {
    let filter = filter_or_default(filter);
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let unwritten = writer.error_counter();
    let rate = Arc::new(RateLimit::<Identifier>::default());
    let lines = layer()
        .with_writer(writer)
        .event_format(KeyValueLine {
            host: Some(host.to_owned()),
        })
        .fmt_fields(debug_fn(write_pair).delimited(" "))
        .with_filter(RateLimitFilter(Arc::clone(&rate)));
    // Only tests start several hosts in one process. The filter of the first one applies to all.
    drop(registry().with(filter).with(lines).try_init());
    let reporter = thread::Builder::new().name("log".to_owned());
    let reporter = reporter.spawn(move || {
        let mut before = 0;
        loop {
            thread::sleep(DROPPED_REPORT_INTERVAL);
            let dropped = rate.dropped() + unwritten.dropped_lines() as u64;
            if dropped > before {
                let lines = dropped - before;
                metrics::counter!("stagedeck_log_lines_dropped_total").absolute(dropped);
                tracing::warn!(event = "lines_dropped", lines);
                before = dropped;
            }
        }
    });
    if let Err(error) = reporter {
        tracing::warn!(event = "lines_dropped_uncounted", %error);
    }
    guard
}

/// Parses a filter; an invalid one must not keep the host from starting.
fn filter_or_default(filter: &str) -> EnvFilter {
    EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER))
}

/// Limits the lines of each kind that are written per second.
///
/// In the log, a kind is the place in the code that logs the event.
pub struct RateLimit<Kind> {
    kinds: Mutex<HashMap<Kind, Window>>,
    dropped: AtomicU64,
}

impl<Kind> Default for RateLimit<Kind> {
    fn default() -> Self {
        RateLimit {
            kinds: Mutex::default(),
            dropped: AtomicU64::default(),
        }
    }
}

struct Window {
    started: Instant,
    lines: u32,
}

impl<Kind: Eq + Hash> RateLimit<Kind> {
    /// Counts a line of this kind, and returns whether it may be written.
    pub fn admit(&self, now: Instant, kind: Kind, per_s: u32) -> bool {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let window = kinds.entry(kind).or_insert(Window {
            started: now,
            lines: 0,
        });
        if now.saturating_duration_since(window.started) >= Duration::from_secs(1) {
            *window = Window {
                started: now,
                lines: 0,
            };
        }
        window.lines += 1;
        let admitted = window.lines <= per_s;
        if !admitted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }

    /// Number of lines that were refused so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

struct RateLimitFilter(Arc<RateLimit<Identifier>>);

impl<S: Subscriber> Filter<S> for RateLimitFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let per_s = match *metadata.level() <= Level::WARN {
            true => MAX_WARNINGS_PER_S,
            false => MAX_LINES_PER_S,
        };
        self.0.admit(clock::now(), metadata.callsite(), per_s)
    }
}

/// Formats an event as a line that begins with the time, in milliseconds since 1970, and the
/// level.
struct KeyValueLine {
    host: Option<String>,
}

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
        if let Some(host) = &self.host {
            write!(writer, "host={host} ")?;
        }
        context.format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Writes a pair; a value that is empty or contains spaces, quotes or `=` is quoted.
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
