//! What a host still knows of a feed's newest changes.

use rstest::rstest;
use steering::route::{RecentChanges, Record};

fn gone(number: usize) -> Record {
    Record::UpstreamGone(format!("i-{number}"))
}

/// Three changes, to versions 20, 30 and 40, after all was read at 10.
fn three() -> RecentChanges {
    let mut recent = RecentChanges::default();
    recent.reset(10);
    for (version, number) in [(20, 2), (30, 3), (40, 4)] {
        recent.push(version, &[gone(number)]);
    }
    recent
}

#[rstest]
#[case::all(10, Some(vec![2, 3, 4]))]
#[case::part(20, Some(vec![3, 4]))]
#[case::within_a_change(25, Some(vec![3, 4]))]
#[case::nothing(40, Some(vec![]))]
#[case::ahead(50, Some(vec![]))]
#[case::before_all_was_read(9, None)]
fn what_follows_a_version_is_told(#[case] after: u64, #[case] told: Option<Vec<usize>>) {
    let told = told.map(|numbers| numbers.into_iter().map(gone).collect::<Vec<_>>());
    assert_eq!(three().after(after), told);
}

#[test]
fn nothing_is_told_before_all_was_read() {
    let mut recent = RecentChanges::default();
    recent.push(20, &[gone(2)]);
    assert_eq!(recent.after(10), None);
}

#[test]
fn versions_without_records_are_no_gap() {
    let mut recent = three();
    recent.push(50, &[]);
    recent.push(60, &[gone(6)]);
    assert_eq!(recent.after(40), Some(vec![gone(6)]));
    assert_eq!(recent.after(30), Some(vec![gone(4), gone(6)]));
}

#[test]
fn old_records_are_dropped() {
    let mut recent = RecentChanges::default();
    recent.reset(0);
    for version in 1..=1_000 {
        recent.push(version, &[gone(version as usize)]);
    }
    assert_eq!(recent.after(0), None);
    assert_eq!(recent.after(999), Some(vec![gone(1_000)]));
    let many: Vec<Record> = (0..100_000).map(gone).collect();
    recent.push(1_001, &many);
    assert_eq!(
        recent.after(1_000),
        None,
        "too many for the memory of a host"
    );
    assert_eq!(recent.after(1_001), Some(Vec::new()));
}

#[test]
fn reading_all_begins_anew() {
    let mut recent = three();
    recent.reset(45);
    assert_eq!(recent.after(40), None);
    recent.push(50, &[gone(5)]);
    assert_eq!(recent.after(45), Some(vec![gone(5)]));
}
