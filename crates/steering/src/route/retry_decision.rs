//! Decides what follows a send that brought no answer for the caller.

/// How far a send of a request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte of the request left this host.
    Not,
    /// The upstream stated that it did not run the request and will not run it.
    Refused,
    /// The request may have run.
    Perhaps,
}

/// Next step for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request may be sent to another upstream.
    Retry,
    /// The request is abandoned and certainly has not run.
    NotRun,
    /// The request is abandoned and may have run.
    MayHaveRun,
}

/// Decides from all sends of a request so far. A request that may have run is sent again
/// only if it is repeatable. "Not run" is reported only if no send may have run.
pub fn decide_retry(
    sends: &[SendOutcome],
    repeatable: bool,
    may_send_again: bool,
) -> RetryDecision {
    let may_have_run = sends.contains(&SendOutcome::Perhaps);
    if may_send_again && (repeatable || !may_have_run) {
        return RetryDecision::Retry;
    }
    match may_have_run {
        true => RetryDecision::MayHaveRun,
        false => RetryDecision::NotRun,
    }
}
