//! The times of a planned stop add up to less than the grace period.

use std::time::Duration;

use rstest::rstest;
use steering::route::StopTimetable;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::usual(6_000, Some(2_000), 3_000, 3_500, 5_700, 5_850)]
#[case::work_that_leaves_less_time(6_000, Some(2_400), 3_000, 3_300, 5_700, 5_850)]
#[case::work_as_long_as_the_rest(6_000, Some(2_700), 3_000, 3_000, 5_700, 5_850)]
#[case::longer_work(6_000, Some(8_000), 3_000, 3_000, 5_700, 5_850)]
#[case::work_without_bound(6_000, None, 3_000, 3_000, 5_700, 5_850)]
#[case::short_grace(2_000, Some(500), 1_000, 1_200, 1_700, 1_850)]
#[case::long_grace(30_000, Some(5_000), 3_000, 3_500, 29_700, 29_850)]
#[case::hardly_any_grace(200, Some(50), 0, 0, 0, 150)]
fn times_count_from_the_signal(
    #[case] grace_ms: u64,
    #[case] longest_work_ms: Option<u64>,
    #[case] accept_ms: u64,
    #[case] begin_ms: u64,
    #[case] end_ms: u64,
    #[case] exit_ms: u64,
) {
    let timetable = StopTimetable::new(ms(grace_ms), longest_work_ms.map(ms));
    let expected = StopTimetable {
        accept_until: ms(accept_ms),
        begin_until: ms(begin_ms),
        end: ms(end_ms),
        exit: ms(exit_ms),
    };
    assert_eq!(timetable, expected);
}

#[rstest]
#[case::at_the_signal(0, 5_700, true)]
#[case::too_long(0, 5_701, false)]
#[case::late(2_500, 3_200, true)]
#[case::too_late(2_500, 3_201, false)]
#[case::after_the_end(5_800, 0, false)]
fn work_begins_only_if_it_ends_in_time(
    #[case] since_signal_ms: u64,
    #[case] work_ms: u64,
    #[case] expected: bool,
) {
    let timetable = StopTimetable::new(ms(6_000), None);
    assert_eq!(
        timetable.ends_in_time(ms(since_signal_ms), ms(work_ms)),
        expected
    );
}

#[test]
fn sums_fit_into_every_grace_period_that_has_room() {
    for grace_ms in (0..60_000).step_by(50) {
        for work_ms in (0..20_000).step_by(250) {
            let (grace, work) = (ms(grace_ms), ms(work_ms));
            let timetable = StopTimetable::new(grace, Some(work));
            assert!(timetable.accept_until <= timetable.begin_until);
            assert!(timetable.begin_until <= timetable.end && timetable.end <= timetable.exit);
            assert!(timetable.exit <= grace);
            let has_room = timetable.accept_until + work <= timetable.end;
            assert_eq!(timetable.has_time_for(work), has_room, "{grace:?} {work:?}");
        }
    }
}
