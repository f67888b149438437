//! The story of a request, from the logs of hosts.

use std::collections::BTreeMap;

use serde::Serialize;

/// Fields of a log line, in no order.
pub type Fields = BTreeMap<String, String>;

/// Events that change what a host believes of an upstream.
const UPSTREAM_EVENTS: &[&str] = &[
    "upstream_reported",
    "upstream_gone",
    "upstream_leaves",
    "upstream_rests",
    "upstream_rest_over",
];
/// Events that change what a host believes of everything.
const BELIEF_EVENTS: &[&str] = &[
    "document_taken",
    "evacuations",
    "store_lost",
    "store_regained",
    "history_gone",
    "store_stale",
    "paused",
    "leaving",
    "start",
];

/// One line of the story.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Time of day at its host, in milliseconds since 1970.
    pub time_ms: u64,
    /// The host.
    pub host: String,
    /// What happened.
    pub event: String,
    /// All else that the line says.
    pub fields: Fields,
}

/// A request's story.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Story {
    /// What touched the request, in order.
    pub request: Vec<Line>,
    /// What its hosts believed then: the last line of each kind before it ended.
    pub beliefs: Vec<Line>,
    /// Lines that the request's hosts have dropped, around the request or not.
    pub lines_dropped: u64,
}

/// Reads a line of a log; none where it is not one.
pub fn parse_line(text: &str) -> Option<Line> {
    // A collector may have put something before it.
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

/// A quoted value and what follows it.
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

/// Finds a request's story in the lines of several hosts.
pub fn explain(id: &str, lines: &[Line]) -> Story {
    let is_of = |line: &&Line| line.fields.get("id").is_some_and(|other| other == id);
    let mut request: Vec<Line> = lines.iter().filter(is_of).cloned().collect();
    request.sort_by_key(|line| line.time_ms);
    let Some(end_ms) = request.last().map(|line| line.time_ms) else {
        return Story::default();
    };
    let upstreams: Vec<&String> = request
        .iter()
        .filter_map(|line| line.fields.get("upstream"))
        .collect();
    let mut beliefs: BTreeMap<(String, String, String), &Line> = BTreeMap::new();
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
        let told = BELIEF_EVENTS.contains(&event)
            || (UPSTREAM_EVENTS.contains(&event) && upstreams.contains(&&upstream));
        if !told || line.time_ms > end_ms {
            continue;
        }
        let feed = line.fields.get("feed").cloned().unwrap_or(upstream);
        let kind = (line.host.clone(), line.event.clone(), feed);
        let known = beliefs.entry(kind).or_insert(line);
        if line.time_ms >= known.time_ms {
            *known = line;
        }
    }
    let mut beliefs: Vec<Line> = beliefs.into_values().cloned().collect();
    beliefs.sort_by_key(|line| line.time_ms);
    Story {
        request,
        beliefs,
        lines_dropped,
    }
}

impl Story {
    /// The story for people. Times are relative to the request's first line.
    pub fn text(&self) -> String {
        let first_ms = self.request.first().map_or(0, |line| line.time_ms);
        let mut text = String::from("what its hosts believed:\n");
        for line in &self.beliefs {
            text += &shown(line, first_ms);
        }
        text += "what happened to it:\n";
        for line in &self.request {
            text += &shown(line, first_ms);
        }
        if self.lines_dropped > 0 {
            let lines = self.lines_dropped;
            text += &format!("{lines} lines were dropped by these hosts: some may be missing\n");
        }
        text
    }
}

fn shown(line: &Line, first_ms: u64) -> String {
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
