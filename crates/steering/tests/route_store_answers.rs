//! Detection of store outages from a host's own calls and the reports of other hosts.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{StoreAnswers, StoreUptime};

/// Longest time between two updates while the store answers.
const USUAL_SILENCE: Duration = Duration::from_millis(2_400);

/// An observation of a host.
#[derive(Debug, Clone, Copy)]
enum Observation {
    /// The store answered this host.
    Answer,
    /// The store did not answer this host.
    NoAnswer,
    /// Another host reports that it has been answered for this many milliseconds, after an
    /// outage of this many.
    Report(u64, u64),
}
use Observation::{Answer, NoAnswer, Report};

const START: (u64, Observation) = (0, Answer);

#[rstest]
#[case::all_is_well(&[(1_000, Report(60_000, 0)), (2_800, Report(62_000, 0))], None)]
#[case::another_is_back_from_a_cut(&[(1_800, Report(0, 5_000))], None)]
#[case::another_is_back_and_a_third_was_answered(&[(3_000, Report(0, 5_000)), (3_100, Report(60_000, 0))], None)]
#[case::an_outage_that_another_saw(&[(4_100, Report(0, 4_000))], Some(4_100))]
#[case::a_short_outage_that_another_saw(&[(1_500, Report(0, 1_500))], Some(1_500))]
#[case::told_some_time_after_its_end(&[(4_600, Report(500, 4_000))], Some(4_100))]
#[case::another_was_cut_off_before_it(&[(5_000, Report(0, 9_000))], Some(5_000))]
#[case::an_outage_of_its_own(&[(1_000, NoAnswer), (4_000, Answer)], Some(4_000))]
#[case::cut_off_and_corrected(&[(1_000, NoAnswer), (4_000, Answer), (4_500, Report(60_000, 0))], None)]
#[case::cut_off_and_told_first(&[(1_000, NoAnswer), (4_000, Report(60_000, 0)), (4_500, Answer)], None)]
#[case::told_all_the_while(&[(1_000, NoAnswer), (2_000, Report(60_000, 0)), (2_900, Answer)], None)]
#[case::one_call_failed(&[(500, NoAnswer), (900, Answer)], None)]
#[case::nobody_told_it(&[(2_500, Answer)], None)]
#[case::it_saw_the_outage_and_the_teller_did_not(&[(1_000, NoAnswer), (2_500, Report(0, 0))], Some(2_500))]
#[case::neither_saw_it(&[(2_500, Report(0, 0))], None)]
fn outage_needs_that_no_host_was_answered(
    #[case] observations: &[(u64, Observation)],
    #[case] back_ms: Option<u64>,
) {
    let start = Instant::now() + Duration::from_secs(3_600);
    let at = |ms| start + Duration::from_millis(ms);
    let mut answers = StoreAnswers::default();
    for (ms, observations) in [START].iter().chain(observations) {
        match observations {
            Answer => answers.answered(at(*ms), USUAL_SILENCE),
            NoAnswer => answers.failed(),
            Report(for_ms, away_ms) => {
                let report = StoreUptime {
                    answering_for: Duration::from_millis(*for_ms),
                    away_before: Duration::from_millis(*away_ms),
                };
                answers.merge(at(*ms), report, USUAL_SILENCE);
            }
        }
    }
    assert_eq!(answers.returned_at(), back_ms.map(at));
}

#[test]
fn uptime_covers_only_known_answers() {
    let start = Instant::now();
    let later = |ms| start + Duration::from_millis(ms);
    let mut answers = StoreAnswers::default();
    assert_eq!(answers.uptime(start), StoreUptime::default());
    answers.answered(start, USUAL_SILENCE);
    answers.answered(later(2_000), USUAL_SILENCE);
    assert_eq!(
        answers.uptime(later(2_000)).answering_for,
        Duration::from_secs(2)
    );
    // No host polled for so long that an outage may have passed unnoticed.
    answers.answered(later(5_000), USUAL_SILENCE);
    assert_eq!(answers.uptime(later(5_000)), StoreUptime::default());
    answers.failed();
    answers.answered(later(9_000), USUAL_SILENCE);
    let away = StoreUptime {
        answering_for: Duration::from_secs(1),
        away_before: Duration::from_secs(4),
    };
    assert_eq!(answers.uptime(later(10_000)), away);
}
