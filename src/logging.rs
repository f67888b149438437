//! One line of key=value pairs for each event.

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

/// What is logged where the filter can't be read.
const FILTER_DEFAULT: &str = "info";
/// Lines that wait for a slow reader of standard output; more are dropped and counted.
const LINES_WAITING: usize = 4_096;
/// Lines of one kind in a second, by level. Failures have kinds of their own, so that a
/// storm of ordinary lines takes nothing from them.
const LINES_PER_S: u32 = 200;
/// Lines of one kind of warning or error in a second.
const WARNINGS_PER_S: u32 = 300;
/// Time between two looks for dropped lines.
const COUNT_DROPPED_EVERY: Duration = Duration::from_secs(5);

/// Starts logging to standard error; a second start in the same process changes nothing.
pub fn start(filter: &str) {
    let filter = filter_or_default(filter);
    let started = fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .event_format(KeyValueLine { host: None })
        .fmt_fields(debug_fn(write_pair).delimited(" "))
        .try_init();
    // Only tests start several hosts in one process; the first filter holds.
    drop(started);
}

/// Starts logging to standard output, by a thread of its own: a reader that stops
/// delays nothing. Each line names the host. Lines are written until the returned guard
/// is dropped.
pub fn start_unblocked(filter: &str, host: &str) -> WorkerGuard {
    let filter = filter_or_default(filter);
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES_WAITING)
        .finish(std::io::stdout());
    let unwritten = writer.error_counter();
    let rate = Arc::new(RateLimit::<Identifier>::default());
    let lines = layer()
        .with_writer(writer)
        .event_format(KeyValueLine {
            host: Some(host.to_owned()),
        })
        .fmt_fields(debug_fn(write_pair).delimited(" "))
        .with_filter(Limited(Arc::clone(&rate)));
    // Only tests start several hosts in one process; the first filter holds.
    drop(registry().with(filter).with(lines).try_init());
    let counting = thread::Builder::new().name("log".to_owned());
    let counting = counting.spawn(move || {
        let mut before = 0;
        loop {
            thread::sleep(COUNT_DROPPED_EVERY);
            let dropped = rate.dropped() + unwritten.dropped_lines() as u64;
            if dropped > before {
                let lines = dropped - before;
                metrics::counter!("stagedeck_log_lines_dropped_total").absolute(dropped);
                tracing::warn!(event = "lines_dropped", lines);
                before = dropped;
            }
        }
    });
    if let Err(error) = counting {
        tracing::warn!(event = "lines_dropped_uncounted", %error);
    }
    guard
}

/// A filter that can't be read is no reason not to start.
fn filter_or_default(filter: &str) -> EnvFilter {
    EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new(FILTER_DEFAULT))
}

/// Bounds how many lines of each kind are written in a second. A kind is a place in the
/// code: each event has one.
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
    begun: Instant,
    lines: u32,
}

impl<Kind: Eq + Hash> RateLimit<Kind> {
    /// Whether a line of this kind may be written now; counts it either way.
    pub fn admit(&self, now: Instant, kind: Kind, per_s: u32) -> bool {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let window = kinds.entry(kind).or_insert(Window {
            begun: now,
            lines: 0,
        });
        if now.saturating_duration_since(window.begun) >= Duration::from_secs(1) {
            *window = Window {
                begun: now,
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

    /// Lines that were not written so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

struct Limited(Arc<RateLimit<Identifier>>);

impl<S: Subscriber> Filter<S> for Limited {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let per_s = match *metadata.level() <= Level::WARN {
            true => WARNINGS_PER_S,
            false => LINES_PER_S,
        };
        self.0.admit(clock::now(), metadata.callsite(), per_s)
    }
}

/// A line that begins with the time, in milliseconds since 1970, and the level.
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
