//! Evidence that a request has not run, over all orders of its sends.

use rstest::rstest;
use steering::route::{
    AnswerEvidence, AnswerVerdict, NotRunEvidence, RefusalProof, RetryDecision, SendOutcome, Sends,
    StatusMeaning,
};

const MARKED: AnswerEvidence = AnswerEvidence {
    status: StatusMeaning::NotRun,
    is_marked: true,
    is_signed: false,
    is_misdirected: false,
    is_ambiguous: false,
};

fn refusal() -> RefusalProof {
    match MARKED.verdict() {
        AnswerVerdict::Refused(proof) => proof,
        verdict => panic!("{verdict:?}"),
    }
}

/// What an upstream can do with a send, and what the host can see of it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// The connection could not be made.
    NotSent,
    /// The upstream refuses the send.
    Refuses,
    /// It runs the request; a copy of an earlier refusal comes in place of its answer.
    RunsBehindSurplus,
    /// It runs the request and fails with a promising status.
    RunsAndFails,
    /// It runs the request; its answer is lost.
    RunsUnheard,
}

impl Event {
    const ALL: [Event; 5] = [
        Event::NotSent,
        Event::Refuses,
        Event::RunsBehindSurplus,
        Event::RunsAndFails,
        Event::RunsUnheard,
    ];

    fn has_run(self) -> bool {
        !matches!(self, Event::NotSent | Event::Refuses)
    }

    fn outcome(self) -> SendOutcome {
        let evidence = match self {
            Event::NotSent => return SendOutcome::Not,
            Event::RunsUnheard => return SendOutcome::Perhaps,
            Event::Refuses => MARKED,
            Event::RunsBehindSurplus => AnswerEvidence {
                is_ambiguous: true,
                ..MARKED
            },
            Event::RunsAndFails => AnswerEvidence {
                is_marked: false,
                ..MARKED
            },
        };
        match evidence.verdict() {
            AnswerVerdict::Refused(proof) => SendOutcome::Refused(proof),
            AnswerVerdict::Deliver | AnswerVerdict::Unproven => SendOutcome::Perhaps,
        }
    }
}

/// All sequences of at most four events.
fn histories() -> Vec<Vec<Event>> {
    let mut all: Vec<Vec<Event>> = vec![Vec::new()];
    let mut longest = all.clone();
    for _ in 0..4 {
        let extended = longest.iter().flat_map(|history| {
            Event::ALL.map(|event| history.iter().copied().chain([event]).collect())
        });
        longest = extended.collect();
        all.extend(longest.iter().cloned());
    }
    all
}

#[test]
fn no_order_of_sends_proves_not_run_what_has_run() {
    for history in histories() {
        let sends: Sends = history.iter().map(|event| event.outcome()).collect();
        let has_run = history.iter().any(|event| event.has_run());
        assert_eq!(sends.not_run_proof().is_none(), has_run, "{history:?}");
        let may_repeat = sends.decide_retry(false, true) == RetryDecision::Retry;
        assert_eq!(may_repeat, !has_run, "{history:?}");
    }
}

#[rstest]
fn a_verdict_rests_on_evidence_of_this_send(
    #[values(StatusMeaning::Success, StatusMeaning::NotRun, StatusMeaning::Other)]
    status: StatusMeaning,
    #[values(false, true)] is_marked: bool,
    #[values(false, true)] is_signed: bool,
    #[values(false, true)] is_misdirected: bool,
    #[values(false, true)] is_ambiguous: bool,
) {
    let evidence = AnswerEvidence {
        status,
        is_marked,
        is_signed,
        is_misdirected,
        is_ambiguous,
    };
    match evidence.verdict() {
        AnswerVerdict::Deliver => assert!(match status {
            StatusMeaning::Success => is_signed,
            StatusMeaning::NotRun => false,
            StatusMeaning::Other => is_signed || !(is_marked || is_misdirected),
        }),
        AnswerVerdict::Refused(_) => {
            assert!((is_marked || is_misdirected) && !is_signed && !is_ambiguous);
            assert_ne!(status, StatusMeaning::Success);
        }
        AnswerVerdict::Unproven => assert_ne!(evidence, MARKED),
    }
}

#[rstest]
#[case::not_sent(&[SendOutcome::Not], false, true, RetryDecision::Retry)]
#[case::refused(&[SendOutcome::Refused(refusal())], false, true, RetryDecision::Retry)]
#[case::lost_repeatable(&[SendOutcome::Perhaps], true, true, RetryDecision::Retry)]
#[case::lost_not_repeatable(&[SendOutcome::Perhaps], false, true, RetryDecision::MayHaveRun)]
#[case::lost_then_refused(&[SendOutcome::Perhaps, SendOutcome::Refused(refusal())], true, false, RetryDecision::MayHaveRun)]
fn only_what_may_run_again_is_retried(
    #[case] sends: &[SendOutcome],
    #[case] repeatable: bool,
    #[case] may_send_again: bool,
    #[case] decision: RetryDecision,
) {
    let sends: Sends = sends.iter().copied().collect();
    assert_eq!(sends.decide_retry(repeatable, may_send_again), decision);
}

#[rstest]
#[case::nothing_tried(&[], NotRunEvidence::Unsent)]
#[case::not_sent(&[SendOutcome::Not], NotRunEvidence::Unsent)]
#[case::refused(&[SendOutcome::Not, SendOutcome::Refused(refusal())], NotRunEvidence::Refused)]
fn a_proof_names_its_evidence(#[case] sends: &[SendOutcome], #[case] evidence: NotRunEvidence) {
    let sends: Sends = sends.iter().copied().collect();
    let RetryDecision::NotRun(proof) = sends.decide_retry(false, false) else {
        panic!("{sends:?}");
    };
    assert_eq!(proof.evidence(), evidence);
}
