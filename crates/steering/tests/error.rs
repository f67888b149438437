//! The table of answers by error kind.

use steering::error::{ERROR_RESPONSES, ErrorKind, NotRun};

#[test]
fn each_kind_has_exactly_one_answer() {
    for (i, row) in ERROR_RESPONSES.iter().enumerate() {
        assert_eq!(row.kind as usize, i);
        assert_eq!(row.kind.response(), row);
        assert_eq!(ErrorKind::find(&row.kind.to_string()), Some(row.kind));
    }
    assert_eq!(ErrorKind::Internal as usize + 1, ERROR_RESPONSES.len());
}

#[test]
fn kinds_after_dispatch_never_claim_that_the_request_did_not_run() {
    for kind in [
        ErrorKind::OutcomeUnknown,
        ErrorKind::DeadlineAfterDispatch,
        ErrorKind::AnswerNotKept,
        ErrorKind::InProgress,
    ] {
        assert_ne!(kind.response().not_run, NotRun::True, "{kind}");
    }
}
