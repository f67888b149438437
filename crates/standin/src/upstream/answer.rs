//! How a stand-in upstream answers.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Instant;

use ::upstream::NOT_RUN_HEADER;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::RETRY_AFTER;
use hyper::{Request, Response, StatusCode};

use super::{Behaviour, Health, Inner, Refusal, is_load, lock};

/// Header with the identity of an operation, for counting how often it ran.
pub const OPERATION_HEADER: &str = "x-operation";
/// Path of a large answer: `/archive?BYTES`, chunked with `/archive-chunked?BYTES`.
const ARCHIVE_PATH: &str = "/archive";
const ARCHIVE_CHUNKED_PATH: &str = "/archive-chunked";
const CHUNK_BYTES: u64 = 65_536;

/// Counts a request in flight until its answer has ended.
struct InFlight {
    inner: Arc<Inner>,
    download: bool,
}

impl InFlight {
    /// Counts it among the downloads as well.
    fn download(&mut self) {
        self.download = true;
        self.inner.downloads.fetch_add(1, Ordering::AcqRel);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.inner.in_flight.fetch_sub(1, Ordering::AcqRel);
        if self.download {
            self.inner.downloads.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

/// The body of an answer: so many bytes of a pattern, or given ones.
pub(crate) struct AnswerBody {
    fixed: Bytes,
    /// Bytes that are still to come; the pattern starts after `fixed`.
    left: u64,
    sent: u64,
    cut_after: Option<u64>,
    sized: bool,
    _in_flight: Option<InFlight>,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Refusal;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Refusal>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let mut size = self.left.min(CHUNK_BYTES);
        if let Some(cut_after) = self.cut_after {
            if self.sent >= cut_after {
                return Poll::Ready(Some(Err(Refusal::Closed)));
            }
            size = size.min(cut_after - self.sent);
        }
        let data = match self.fixed.is_empty() {
            true => Bytes::from(vec![b'a'; size as usize]),
            false => {
                let size = (size as usize).min(self.fixed.len());
                self.fixed.split_to(size)
            }
        };
        self.left -= data.len() as u64;
        self.sent += data.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn size_hint(&self) -> SizeHint {
        match self.sized {
            true => SizeHint::with_exact(self.left),
            false => SizeHint::default(),
        }
    }
}

fn fixed(text: String) -> AnswerBody {
    AnswerBody {
        left: text.len() as u64,
        fixed: text.into(),
        sent: 0,
        cut_after: None,
        sized: true,
        _in_flight: None,
    }
}

pub(crate) async fn answer(
    inner: Arc<Inner>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let behaviour = inner.behaviour();
    if is_load(request.uri().path()) {
        if behaviour.health == Health::Silent {
            return Err(Refusal::Closed);
        }
        let report = serde_json::to_string(&inner.report(&behaviour)).unwrap_or_default();
        return Ok(Response::new(fixed(report)));
    }
    if behaviour.drop_before_run {
        return Err(Refusal::Closed);
    }
    *lock(&inner.last_arrival) = Some(Instant::now());
    let in_flight = inner.in_flight.fetch_add(1, Ordering::AcqRel) + 1;
    let guard = InFlight {
        inner: Arc::clone(&inner),
        download: false,
    };
    if behaviour.shed_all || in_flight > behaviour.slots {
        lock(&inner.counts).shed += 1;
        let mut shed = Response::new(fixed("busy".to_owned()));
        *shed.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let yes = hyper::header::HeaderValue::from_static("true");
        shed.headers_mut().insert(NOT_RUN_HEADER, yes);
        if let Some(rest) = behaviour.rest {
            shed.headers_mut()
                .insert(RETRY_AFTER, rest.as_secs().into());
        }
        return Ok(shed);
    }
    let rejection = behaviour.reject_with.map(StatusCode::from_u16);
    if let Some(Ok(status)) = rejection {
        let mut rejected = Response::new(fixed("rejected".to_owned()));
        *rejected.status_mut() = status;
        return Ok(rejected);
    }
    run(inner, request, behaviour, in_flight, guard).await
}

async fn run(
    inner: Arc<Inner>,
    request: Request<Incoming>,
    behaviour: Behaviour,
    in_flight: u32,
    mut guard: InFlight,
) -> Result<Response<AnswerBody>, Refusal> {
    let (head, body) = request.into_parts();
    let path = head
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let operation = head.headers.get(OPERATION_HEADER);
    let operation = operation
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = body
        .collect()
        .await
        .map_err(|_| Refusal::Closed)?
        .to_bytes();
    count(&inner, operation.as_deref(), in_flight);
    let served = inner.served.fetch_add(1, Ordering::AcqRel);
    let cold = served < u64::from(behaviour.cold_requests);
    let factor = if cold { behaviour.cold_factor } else { 1.0 };
    let service_time = behaviour.service_time.mul_f64(factor);
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    if behaviour.drop_after_run {
        return Err(Refusal::Closed);
    }
    let archive = head.uri.path() == ARCHIVE_PATH || head.uri.path() == ARCHIVE_CHUNKED_PATH;
    if archive {
        guard.download();
    }
    let mut answer = match archive {
        true => AnswerBody {
            fixed: Bytes::new(),
            left: head
                .uri
                .query()
                .and_then(|bytes| bytes.parse().ok())
                .unwrap_or(0),
            sent: 0,
            cut_after: None,
            sized: head.uri.path() == ARCHIVE_PATH,
            _in_flight: None,
        },
        false => fixed(echo(&inner.name, &path, operation.as_deref(), &body)),
    };
    answer.cut_after = behaviour.cut_after_bytes;
    answer._in_flight = Some(guard);
    Ok(Response::new(answer))
}

fn count(inner: &Inner, operation: Option<&str>, in_flight: u32) {
    let mut counts = lock(&inner.counts);
    counts.ran += 1;
    counts.peak_in_flight = counts.peak_in_flight.max(in_flight);
    if let Some(operation) = operation {
        *counts.operations.entry(operation.to_owned()).or_default() += 1;
    }
}

/// An answer that can only be that of this very request.
fn echo(name: &str, path: &str, operation: Option<&str>, body: &[u8]) -> String {
    serde_json::json!({
        "upstream": name,
        "path": path,
        "operation": operation,
        "body": String::from_utf8_lossy(body),
    })
    .to_string()
}
