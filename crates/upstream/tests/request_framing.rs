//! The framing of a request follows from its body.

use http_body_util::{BodyExt, StreamBody};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;
use upstream::{Body, RequestFraming, full};

/// A body whose length is unknown until its end.
fn streamed() -> Body {
    let frames = futures::stream::pending();
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// The framing of a request was left to the HTTP library, which drops bodies of unknown length from
/// GET and HEAD requests; a length of the caller's connection was passed on beside any body.
#[rstest]
#[case::none(&[], full(""), RequestFraming::NoBody, &[])]
#[case::stated_empty(&[("content-length", "0")], full(""), RequestFraming::Length(0), &[("content-length", "0")])]
#[case::known_length(&[], full("abc"), RequestFraming::Length(3), &[("content-length", "3")])]
#[case::another_length(&[("content-length", "9")], full("abc"), RequestFraming::Length(3), &[("content-length", "3")])]
#[case::held_chunks(&[("transfer-encoding", "chunked")], full("abc"), RequestFraming::Length(3), &[("content-length", "3")])]
#[case::unknown_length(&[], streamed(), RequestFraming::Chunked, &[("transfer-encoding", "chunked")])]
#[case::length_of_a_stream(&[("content-length", "9")], streamed(), RequestFraming::Chunked, &[("transfer-encoding", "chunked")])]
fn framing_follows_from_the_body(
    #[case] fields: &[(&'static str, &'static str)],
    #[case] body: Body,
    #[case] expected: RequestFraming,
    #[case] expected_fields: &[(&'static str, &'static str)],
) {
    let headers = |fields: &[(&'static str, &'static str)]| -> HeaderMap {
        let fields = fields.iter().map(|(name, value)| {
            let name = HeaderName::from_static(name);
            (name, HeaderValue::from_static(value))
        });
        fields.collect()
    };
    let mut stated = headers(fields);
    let framing = RequestFraming::of(&stated, &body);
    framing.replace_fields(&mut stated);
    assert_eq!(framing, expected);
    assert_eq!(stated, headers(expected_fields));
}
