//! The buffer of a feed's newest changes.

use rstest::rstest;
use steering::route::{RecentChanges, Record};

fn after(buffer: &RecentChanges, version: u64) -> Option<Vec<Record>> {
    let records = buffer.after(version)?;
    Some(records.cloned().collect())
}

fn removed(number: usize) -> Record {
    Record::UpstreamGone(format!("i-{number}"))
}

/// Returns a buffer with changes to the versions 20, 30 and 40 after a complete read at
/// version 10.
fn three_changes() -> RecentChanges {
    let mut buffer = RecentChanges::default();
    buffer.reset(10);
    for (version, number) in [(20, 2), (30, 3), (40, 4)] {
        buffer.push(version, &[removed(number)]);
    }
    buffer
}

#[rstest]
#[case::all(10, Some(vec![2, 3, 4]))]
#[case::part(20, Some(vec![3, 4]))]
#[case::within_a_change(25, Some(vec![3, 4]))]
#[case::nothing(40, Some(vec![]))]
#[case::ahead(50, Some(vec![]))]
#[case::before_all_was_read(9, None)]
fn returns_the_records_after_a_version(#[case] version: u64, #[case] expected: Option<Vec<usize>>) {
    let expected = expected.map(|numbers| numbers.into_iter().map(removed).collect::<Vec<_>>());
    assert_eq!(after(&three_changes(), version), expected);
}

#[test]
fn returns_nothing_before_a_complete_read() {
    let mut buffer = RecentChanges::default();
    buffer.push(20, &[removed(2)]);
    assert_eq!(after(&buffer, 10), None);
}

#[test]
fn versions_without_records_leave_no_gap() {
    let mut buffer = three_changes();
    buffer.push(50, &[]);
    buffer.push(60, &[removed(6)]);
    assert_eq!(after(&buffer, 40), Some(vec![removed(6)]));
    assert_eq!(after(&buffer, 30), Some(vec![removed(4), removed(6)]));
}

#[test]
fn old_records_are_dropped() {
    let mut buffer = RecentChanges::default();
    buffer.reset(0);
    for version in 1..=1_000 {
        buffer.push(version, &[removed(version as usize)]);
    }
    assert_eq!(after(&buffer, 0), None);
    assert_eq!(after(&buffer, 999), Some(vec![removed(1_000)]));
    let many: Vec<Record> = (0..100_000).map(removed).collect();
    buffer.push(1_001, &many);
    assert_eq!(after(&buffer, 1_000), None, "the batch exceeds the buffer");
    assert_eq!(after(&buffer, 1_001), Some(Vec::new()));
}

#[test]
fn complete_read_resets_the_buffer() {
    let mut buffer = three_changes();
    buffer.reset(45);
    assert_eq!(after(&buffer, 40), None);
    buffer.push(50, &[removed(5)]);
    assert_eq!(after(&buffer, 45), Some(vec![removed(5)]));
}

/// A quarter of 10,000 upstreams that start within a second are still available as changes.
#[test]
fn buffer_holds_as_many_records_as_the_feed() {
    let mut buffer = RecentChanges::default();
    buffer.reset(10);
    buffer.set_feed_records(10_000);
    let many: Vec<Record> = (0..2_500).map(removed).collect();
    buffer.push(20, &many);
    buffer.push(30, &[removed(2_500)]);
    assert_eq!(after(&buffer, 10).map(|records| records.len()), Some(2_501));
    buffer.push(40, &(0..10_001).map(removed).collect::<Vec<_>>());
    assert_eq!(after(&buffer, 30), None);
}
