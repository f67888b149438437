//! A host that is cut off in a trial while the old version ends.

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use steering::route::{AnswerCounts, LastResort, RouteCounts, Unavailable, UnavailableCause};

const WAIT: Duration = Duration::from_millis(100);

fn unavailable(cause: UnavailableCause) -> Unavailable {
    Unavailable {
        cause,
        ..Unavailable::unreachable(WAIT)
    }
}

fn counts(answers: u64, bad: u64) -> BTreeMap<String, RouteCounts> {
    let old = AnswerCounts {
        answers: 1_000,
        bad: 3,
    };
    let new = AnswerCounts { answers, bad };
    BTreeMap::from([("consulta".to_owned(), RouteCounts { new, old })])
}

#[rstest]
#[case::old_version_refuses(false, UnavailableCause::Unreachable, 0, 0, true)]
#[case::after_many_good_answers(false, UnavailableCause::Unreachable, 50_000, 150, true)]
#[case::in_touch(true, UnavailableCause::Unreachable, 0, 0, false)]
#[case::old_version_full(false, UnavailableCause::Full, 0, 0, false)]
#[case::old_version_rests(false, UnavailableCause::Resting, 0, 0, false)]
#[case::old_version_limited(false, UnavailableCause::RateLimited, 0, 0, false)]
#[case::bad_answers(false, UnavailableCause::Unreachable, 40, 12, false)]
#[case::bad_answers_among_many(false, UnavailableCause::Unreachable, 1_000, 120, false)]
fn a_host_that_is_cut_off_uses_what_still_answers(
    #[case] is_in_touch: bool,
    #[case] cause: UnavailableCause,
    #[case] answers: u64,
    #[case] bad: u64,
    #[case] expected: bool,
) {
    let last_resort = LastResort {
        is_in_touch,
        unavailable: &unavailable(cause),
        counts: &counts(answers, bad),
    };
    assert_eq!(last_resort.allows(), expected);
}

/// However bad the version and however bad the old one was, the host stops by itself.
#[rstest]
fn what_a_bad_version_gets_of_a_host_that_is_cut_off_is_bounded(
    #[values(20, 50, 100)] bad_percent: u64,
    #[values(0, 500)] old_bad: u64,
) {
    let mut sent = 0;
    loop {
        let mut counts = counts(sent, sent * bad_percent / 100);
        for route in counts.values_mut() {
            route.old.bad = old_bad;
        }
        let last_resort = LastResort {
            is_in_touch: false,
            unavailable: &unavailable(UnavailableCause::Unreachable),
            counts: &counts,
        };
        if !last_resort.allows() {
            break;
        }
        sent += 1;
        // The operators' count of bad answers from which a version must be left.
        assert!(sent * bad_percent / 100 <= 50);
    }
}
