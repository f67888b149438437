//! The trace of a request from logs, and the rate limit of log lines.

use std::time::{Duration, Instant};

use rstest::rstest;
use stagedeck::explain::{Line, explain, parse_line};
use stagedeck::logging::RateLimit;

const LOG: &str = r#"
time_ms=1000 level=info host=h1 event=start zone=duran
time_ms=1100 level=info host=h1 event=document_taken version=3 before=0 routes=2
time_ms=1200 level=info host=h1 event=document_taken version=7 before=3 routes=2
time_ms=1300 level=info host=h1 event=upstream_reported upstream=i-1 service=s1 draining=false cold_ms=0
time_ms=1300 level=info host=h1 event=upstream_reported upstream=i-9 service=s1 draining=false cold_ms=0
time_ms=1400 level=info host=h2 event=upstream_gone upstream=i-1 at_once=true
time_ms=2000 level=warn host=h1 event=send_missed id=r1 upstream=i-1 sent=Perhaps reason="a \"bad\" answer"
time_ms=2010 level=warn host=h1 event=request_failed id=r1 outcome=may_have_run upstream=i-1 sends=1
time_ms=2020 level=info host=h1 event=request id=r2 status=200 upstream=i-9
time_ms=2100 level=info host=h1 event=upstream_gone upstream=i-1 at_once=true
time_ms=5000 level=warn host=h1 event=lines_dropped lines=12
half a line without an event
"#;

fn lines() -> Vec<Line> {
    LOG.lines().filter_map(parse_line).collect()
}

fn events(lines: &[Line]) -> Vec<&str> {
    lines.iter().map(|line| line.event.as_str()).collect()
}

#[test]
fn a_failed_request_is_explained_with_the_known_state_of_its_hosts() {
    let trace = explain("r1", &lines());
    assert_eq!(events(&trace.request), ["send_missed", "request_failed"]);
    assert_eq!(trace.request[0].fields["reason"], r#"a "bad" answer"#);
    // Only the state of the request's own host: the last line of each kind before its end.
    assert_eq!(
        events(&trace.known_state),
        ["start", "document_taken", "upstream_reported"]
    );
    assert_eq!(trace.known_state[1].fields["version"], "7");
    assert_eq!(trace.lines_dropped, 12);
    let text = trace.to_text();
    assert!(text.contains("12 lines were dropped"), "{text}");
    assert!(text.contains("-700 ms  h1  upstream_reported"), "{text}");
}

#[test]
fn an_unknown_request_has_no_trace() {
    assert!(explain("r3", &lines()).request.is_empty());
}

#[rstest]
#[case::collected("12.5 host-a time_ms=7 level=info host=h1 event=start", Some("start"))]
#[case::no_time("level=info host=h1 event=start", None)]
#[case::no_event("time_ms=7 level=info", None)]
#[case::time_is_no_number("time_ms=x event=start", None)]
#[case::open_quote("time_ms=7 event=start reason=\"half", None)]
#[case::empty("", None)]
fn malformed_lines_are_skipped(#[case] text: &str, #[case] event: Option<&str>) {
    assert_eq!(parse_line(text).map(|line| line.event).as_deref(), event);
}

#[test]
fn each_kind_of_line_has_its_own_rate_limit() {
    let limit = RateLimit::default();
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let admitted = (0..1_000).filter(|_| limit.admit(at(0), "request", 100));
    assert_eq!(admitted.count(), 100);
    assert!(limit.admit(at(1), "request_failed", 100), "another kind");
    assert!(!limit.admit(at(999), "request", 100));
    assert!(limit.admit(at(1_000), "request", 100), "the next second");
    assert_eq!(limit.dropped(), 901);
}
