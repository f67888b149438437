//! Requests that were given up, and what the end of their upstream says of them.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{Abandoned, WorkIdentity};

#[rstest]
#[case::at_once(0, true)]
#[case::soon(1_900, true)]
#[case::long_after(2_100, false)]
fn an_end_counts_against_what_was_given_up_shortly_before(
    #[case] later_ms: u64,
    #[case] counts: bool,
) {
    let begun = Instant::now();
    let at = |ms| begun + Duration::from_millis(ms);
    let mut abandoned = Abandoned::default();
    let work = WorkIdentity::named(7);
    abandoned.note(at(100), work, begun);
    let taken = abandoned.take(at(100 + later_ms));
    let expected = if counts { vec![(work, begun)] } else { vec![] };
    assert_eq!(taken, expected);
    assert_eq!(abandoned.take(at(100 + later_ms)), [], "it is told once");
}

#[test]
fn what_is_kept_in_mind_is_bounded_and_the_last_ones_stay() {
    let begun = Instant::now();
    let mut abandoned = Abandoned::default();
    for request in 0..1_000 {
        abandoned.note(begun, WorkIdentity::named(request), begun);
    }
    let taken = abandoned.take(begun);
    assert_eq!(taken.len(), 32);
    assert_eq!(taken[31].0, WorkIdentity::named(999));
}
