//! Parts of a relaying host's connections, and what a requesting host remembers of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{RelayAdmission, RelayDecision, RelayRecords, max_relays, relay_wait};

const MAX: u32 = 20;

/// Lets hosts ask for connections in turn until each has as many as it wants or is refused, and
/// returns what each holds. A host releases a connection when it is asked.
fn settle(wanted: &[u32], max: u32) -> Vec<u32> {
    let mut admission = RelayAdmission::default();
    let mut held: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..wanted.iter().sum::<u32>() * 2 {
        for (number, wanted) in wanted.iter().enumerate() {
            let host = format!("h{number}");
            if held.get(&host).copied().unwrap_or(0) >= *wanted {
                continue;
            }
            let mut decision = admission.request(&host, max);
            if let RelayDecision::AfterRelease(other) = &decision {
                admission.ended(other);
                *held.get_mut(other).unwrap() -= 1;
                decision = admission.request(&host, max);
            }
            if decision == RelayDecision::Granted {
                *held.entry(host).or_default() += 1;
            }
        }
    }
    assert_eq!(admission.total(), held.values().sum::<u32>());
    let hosts = (0..wanted.len()).map(|number| format!("h{number}"));
    hosts
        .map(|host| held.get(&host).copied().unwrap_or(0))
        .collect()
}

#[rstest]
#[case::room_for_all(&[3, 5, 2], &[3, 5, 2])]
#[case::one_host_has_all(&[90], &[20])]
#[case::equal_parts(&[90, 90, 90, 90], &[5, 5, 5, 5])]
#[case::who_wants_little_gets_it(&[90, 2, 90], &[9, 2, 9])]
fn hosts_get_equal_parts_of_what_is_wanted(#[case] wanted: &[u32], #[case] expected: &[u32]) {
    assert_eq!(settle(wanted, MAX), expected);
}

#[test]
fn a_host_that_comes_later_gets_its_part() {
    let mut admission = RelayAdmission::default();
    let (first, second) = ("h1".to_owned(), "h2".to_owned());
    for _ in 0..MAX {
        assert_eq!(admission.request(&first, MAX), RelayDecision::Granted);
    }
    assert_eq!(admission.request(&first, MAX), RelayDecision::Full);
    for _ in 0..MAX / 2 {
        let asked = admission.request(&second, MAX);
        assert_eq!(asked, RelayDecision::AfterRelease(first.clone()));
        admission.ended(&first);
        assert_eq!(admission.request(&second, MAX), RelayDecision::Granted);
    }
    assert_eq!(admission.request(&second, MAX), RelayDecision::Full);
}

#[rstest]
#[case::idle(1_024, 0, 240)]
#[case::own_callers_first(1_024, 600, 90)]
#[case::none_left(1_024, 1_000, 0)]
#[case::large(16_384, 0, 4_080)]
fn own_connections_leave_fewer_files_for_relays(
    #[case] open_files: u32,
    #[case] own: u32,
    #[case] expected: u32,
) {
    assert_eq!(max_relays(open_files, own), expected);
}

const HOST: &str = "h1";

fn records(record: impl Fn(&mut RelayRecords, Instant, &String)) -> (RelayRecords, Instant) {
    let now = Instant::now();
    let mut records = RelayRecords::default();
    record(&mut records, now, &HOST.to_owned());
    (records, now)
}

#[test]
fn a_full_host_still_relays_what_it_relays() {
    let (records, now) = records(|records, now, host| records.full(now, host, 4));
    assert!(records.may_use_open(now, HOST));
    assert!(!records.has_failed(now, HOST, "east"));
    assert!(!records.may_open(now, HOST, 4));
    assert!(records.may_open(now, HOST, 3));
    assert!(records.may_open(now + Duration::from_secs(1), HOST, 4));
}

#[test]
fn a_zone_that_a_host_does_not_reach_says_nothing_of_others() {
    let east = "east".to_owned();
    let (records, now) = records(|records, now, host| records.zone_unreached(now, host, &east));
    assert!(records.has_failed(now, HOST, "east"));
    assert!(!records.has_failed(now, HOST, "west"));
    assert!(records.may_use_open(now, HOST));
}

#[test]
fn open_connections_are_used_until_a_request_over_them_gets_no_answer() {
    let (refused, now) = records(|records, now, host| records.refused(now, host));
    assert!(refused.has_failed(now, HOST, "east"));
    assert!(refused.may_use_open(now, HOST));
    let (silent, now) = records(|records, now, host| records.silent(now, host));
    assert!(!silent.may_use_open(now, HOST));
    assert!(silent.may_use_open(now + Duration::from_secs(2), HOST));
}

#[rstest]
#[case::next_one(0, 10, 200, 100)]
#[case::behind_others(39, 10, 200, 800)]
#[case::no_connection(4, 0, 200, 1_000)]
fn waits_follow_from_who_waits_and_what_is_open(
    #[case] waiting: u32,
    #[case] connections: u32,
    #[case] hold_ms: u64,
    #[case] expected_ms: u64,
) {
    let wait = relay_wait(waiting, connections, Duration::from_millis(hold_ms));
    assert_eq!(wait, Duration::from_millis(expected_ms));
}
