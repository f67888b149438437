//! Collects the trace of a request from the logs of several hosts.

use std::collections::BTreeMap;

use serde::Serialize;

/// Fields of a log line by key.
pub type Fields = BTreeMap<String, String>;

/// Events that change a host's known state of one upstream.
const UPSTREAM_EVENTS: &[&str] = &[
    "upstream_reported",
    "upstream_gone",
    "upstream_leaves",
    "upstream_rests",
    "upstream_rest_over",
];
/// Events that change a host's known state as a whole.
const STATE_EVENTS: &[&str] = &[
    "document_taken",
    "evacuations",
    "rollout_ordered",
    "rollout_withdrawn",
    "rollout_stage",
    "store_lost",
    "store_regained",
    "history_gone",
    "store_stale",
    "paused",
    "leaving",
    "start",
];

/// One log line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Time by the clock of the host, in milliseconds since 1970.
    pub time_ms: u64,
    /// Name of the host; empty if the line names none.
    pub host: String,
    /// Name of the event, such as `request_failed`.
    pub event: String,
    /// The other fields of the line.
    pub fields: Fields,
}

/// The log lines that explain what happened to a request.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Lines about the request, by time.
    pub request: Vec<Line>,
    /// Known state of the request's hosts: the last line of each kind before the request ended.
    #[serde(rename = "beliefs")]
    pub known_state: Vec<Line>,
    /// Number of lines that the request's hosts have dropped at any time.
    pub lines_dropped: u64,
}

/// Parses a line of a log; `None` if it is not a log line of a host.
pub fn parse_line(text: &str) -> Option<Line> {
    // A log collector may have added a prefix.
    let mut rest = &text[text.find("time_ms=")?..];
    let mut fields = Fields::new();
    while let Some((name, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => unquote(quoted)?,
            None => {
                let end = after.find(' ').unwrap_or(after.len());
                (after[..end].to_owned(), &after[end..])
            }
        };
        fields.insert(name.trim().to_owned(), value);
        rest = next.trim_start();
    }
    Some(Line {
        time_ms: fields.remove("time_ms")?.parse().ok()?,
        host: fields.remove("host").unwrap_or_default(),
        event: fields.remove("event")?,
        fields,
    })
}

/// The value of a quoted text without its first quote, and the text after it.
fn unquote(quoted: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, &quoted[at + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                other => value.push(other),
            },
            c => value.push(c),
        }
    }
    None
}

/// Collects the trace of a request from the lines of several hosts.
pub fn explain(id: &str, lines: &[Line]) -> RequestTrace {
    let is_of = |line: &&Line| line.fields.get("id").is_some_and(|other| other == id);
    let mut request: Vec<Line> = lines.iter().filter(is_of).cloned().collect();
    request.sort_by_key(|line| line.time_ms);
    let Some(end_ms) = request.last().map(|line| line.time_ms) else {
        return RequestTrace::default();
    };
    let upstreams: Vec<&String> = request
        .iter()
        .filter_map(|line| line.fields.get("upstream"))
        .collect();
    let mut known_state: BTreeMap<(String, String, String), &Line> = BTreeMap::new();
    let mut lines_dropped = 0;
    let hosts: Vec<&str> = request.iter().map(|line| line.host.as_str()).collect();
    for line in lines
        .iter()
        .filter(|line| hosts.contains(&line.host.as_str()))
    {
        if line.event == "lines_dropped" {
            let dropped = line
                .fields
                .get("lines")
                .and_then(|lines| lines.parse().ok());
            lines_dropped += dropped.unwrap_or(0u64);
        }
        let event = line.event.as_str();
        let upstream = line.fields.get("upstream").cloned().unwrap_or_default();
        let is_relevant = STATE_EVENTS.contains(&event)
            || (UPSTREAM_EVENTS.contains(&event) && upstreams.contains(&&upstream));
        if !is_relevant || line.time_ms > end_ms {
            continue;
        }
        let feed = line.fields.get("feed").cloned().unwrap_or(upstream);
        let kind = (line.host.clone(), line.event.clone(), feed);
        let latest = known_state.entry(kind).or_insert(line);
        if line.time_ms >= latest.time_ms {
            *latest = line;
        }
    }
    let mut known_state: Vec<Line> = known_state.into_values().cloned().collect();
    known_state.sort_by_key(|line| line.time_ms);
    RequestTrace {
        request,
        known_state,
        lines_dropped,
    }
}

impl RequestTrace {
    /// The trace as text for people. Times are relative to the first line of the request.
    pub fn to_text(&self) -> String {
        let first_ms = self.request.first().map_or(0, |line| line.time_ms);
        let mut text = String::from("state known to its hosts:\n");
        for line in &self.known_state {
            text += &format_line(line, first_ms);
        }
        text += "events of the request:\n";
        for line in &self.request {
            text += &format_line(line, first_ms);
        }
        if self.lines_dropped > 0 {
            let lines = self.lines_dropped;
            text += &format!("{lines} lines were dropped by these hosts: some may be missing\n");
        }
        text
    }
}

fn format_line(line: &Line, first_ms: u64) -> String {
    let after_ms = line.time_ms as i64 - first_ms as i64;
    let fields = line.fields.iter().filter(|(name, _)| *name != "level");
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let (host, event) = (&line.host, &line.event);
    format!(
        "  {after_ms:>8} ms  {host}  {event}  {}\n",
        fields.join(" ")
    )
}
