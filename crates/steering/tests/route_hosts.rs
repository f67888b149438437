//! Which hosts are named, counted, and ask the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rstest::rstest;
use steering::membership::HostEntry;
use steering::rendezvous;
use steering::route::{Changes, HostTable, PollSchedule, Record, UpdateKind, host_groups};

fn host(name: &str) -> HostEntry {
    let address = "127.0.0.1:1".parse().unwrap();
    HostEntry {
        name: name.to_owned(),
        zone: "duran".to_owned(),
        caller_address: address,
        relay_address: address,
        peer_address: address,
        operator_address: address,
    }
}

fn list(roll: &mut HostTable, now: Instant, hosts: Vec<HostEntry>) {
    let changes = Changes {
        whole: true,
        records: hosts.into_iter().map(Record::Host).collect(),
        version: 1,
    };
    roll.apply(now, &changes);
}

fn named(roll: &HostTable, now: Instant) -> Vec<String> {
    let named = roll.advertised(now);
    named.map(|host| host.entry.name.clone()).collect()
}

#[test]
fn only_hosts_that_are_heard_are_named() {
    let now = Instant::now();
    let later = |ms| now + Duration::from_millis(ms);
    let mut roll = HostTable::default();
    list(&mut roll, now, vec![host("dead"), host("alive")]);
    assert!(named(&roll, now).is_empty());
    assert!(roll.record_heartbeat(later(100), &host("alive"), 1, false));
    assert_eq!(named(&roll, later(200)), ["alive"]);
    assert!(named(&roll, later(3_700)).is_empty(), "silent for too long");
    roll.answered(later(3_800), "alive");
    assert_eq!(named(&roll, later(3_900)), ["alive"]);
    assert!(roll.record_heartbeat(later(4_000), &host("alive"), 1, true));
    assert!(named(&roll, later(4_000)).is_empty(), "it leaves");
}

#[test]
fn a_pause_of_this_host_is_not_the_others_silence() {
    let now = Instant::now();
    let mut roll = HostTable::default();
    roll.record_heartbeat(now, &host("other"), 1, false);
    let after_pause = now + Duration::from_secs(8);
    assert!(named(&roll, after_pause).is_empty());
    roll.resume(after_pause);
    assert_eq!(named(&roll, after_pause), ["other"]);
}

/// Found by a hunt: hosts that no heartbeat went to were no longer counted after a
/// while, and each host took too large a part of a cold upstream's bound.
#[test]
fn every_host_that_may_be_there_counts() {
    let now = Instant::now();
    let later = |s| now + Duration::from_secs(s);
    let mut roll = HostTable::default();
    roll.record_heartbeat(now, &host("heard"), 1, false);
    assert!(
        roll.sharing_hosts(now).is_none(),
        "the list has not been read"
    );
    list(&mut roll, now, vec![host("listed")]);
    let count = |roll: &HostTable, now| roll.sharing_hosts(now).map(|others| others.count());
    assert_eq!(count(&roll, now), Some(2));
    assert_eq!(
        count(&roll, later(60)),
        Some(1),
        "a listed host may be there, heard or not"
    );
    list(&mut roll, later(60), Vec::new());
    assert_eq!(count(&roll, later(60)), Some(0));
}

/// What a host believes of a shared thing from its own silence alone is not a fact: here it
/// was the host itself that was cut off, and every row but its own would have been removed.
#[test]
fn a_host_that_was_cut_off_takes_nobody_for_lost() {
    let now = Instant::now();
    let later = |s| now + Duration::from_secs(s);
    let mut roll = HostTable::default();
    let partners = [host("a"), host("b")];
    list(&mut roll, now, partners.to_vec());
    roll.record_heartbeat(now, &host("a"), 1, false);
    roll.was_cut_off(later(70));
    assert!(roll.lost(later(70), &partners).is_empty());
    assert!(
        named(&roll, later(70)).is_empty(),
        "nobody was heard either"
    );
    assert_eq!(roll.lost(later(131), &partners), ["a", "b"]);
}

#[test]
fn a_partner_that_stays_silent_is_lost() {
    let now = Instant::now();
    let later = |s| now + Duration::from_secs(s);
    let mut roll = HostTable::default();
    list(&mut roll, now, vec![host("a"), host("b"), host("c")]);
    roll.record_heartbeat(later(50), &host("b"), 1, false);
    let partners = [host("a"), host("b")];
    assert!(roll.lost(later(50), &partners).is_empty());
    // Nothing is known of a host that this one sends no heartbeats to.
    assert_eq!(roll.lost(later(70), &partners), ["a"]);
}

#[rstest]
#[case::nothing_known(None, 9, UpdateKind::Gap)]
#[case::newer(Some(5), 9, UpdateKind::New)]
#[case::known(Some(9), 9, UpdateKind::Known)]
#[case::older(Some(12), 9, UpdateKind::Known)]
fn news_are_judged(#[case] at: Option<u64>, #[case] version: u64, #[case] used: UpdateKind) {
    assert_eq!(PollSchedule::classify(at, version), used);
}

/// Of hosts that all ask and tell at first, only one is left that asks; when it is
/// lost, all are up to date again within the bound.
#[test]
fn one_host_ends_up_asking() {
    let names = ["a", "b", "c", "d", "e"];
    let bound = Duration::from_secs(2);
    let begun = Instant::now();
    let mut leads: Vec<PollSchedule> = names
        .iter()
        .map(|me| PollSchedule::new(me, "upstreams", bound))
        .collect();
    let mut last_known = vec![begun; names.len()];
    let first = rendezvous::owner("upstreams", names).unwrap();
    let first = names.iter().position(|name| *name == first).unwrap();
    let mut asked = vec![0u32; names.len()];
    for tick in 0..200u32 {
        let now = begun + Duration::from_millis(100) * tick;
        let gone = |host: usize| host == first && tick >= 100;
        for host in 0..names.len() {
            let due = leads[host].poll_delay(now).is_zero() && tick % 5 == 0;
            if gone(host) || !due {
                continue;
            }
            asked[host] += u32::from((20..100).contains(&tick));
            last_known[host] = now;
            for other in (0..names.len()).filter(|other| *other != host) {
                leads[other].received_update(names[host], UpdateKind::New, now);
                last_known[other] = now;
            }
        }
        for host in (0..names.len()).filter(|host| !gone(*host)) {
            let age = now - last_known[host];
            assert!(
                age < bound,
                "{} knows nothing newer than {age:?}",
                names[host]
            );
        }
    }
    for (host, count) in asked.iter().enumerate() {
        assert_eq!(
            *count > 0,
            host == first,
            "{} asked {count} times",
            names[host]
        );
    }
}

#[test]
fn a_gap_is_filled_at_once_and_not_passed_on() {
    let now = Instant::now();
    let names = ["a", "b"];
    let first = rendezvous::owner("upstreams", names).unwrap();
    let second = if first == "a" { "b" } else { "a" };
    let mut lead = PollSchedule::new(second, "upstreams", Duration::from_secs(2));
    assert!(lead.forwards_updates(now), "nobody has told it anything");
    lead.received_update(first, UpdateKind::New, now);
    assert!(!lead.poll_delay(now).is_zero() && !lead.forwards_updates(now));
    lead.received_update(first, UpdateKind::Gap, now);
    assert!(lead.poll_delay(now).is_zero(), "it asks");
    assert!(
        !lead.forwards_updates(now),
        "and keeps what it learns to itself"
    );
    lead.polled(now);
    assert!(!lead.poll_delay(now).is_zero());
    let later = now + lead.stale_after();
    assert!(lead.forwards_updates(later), "the first is silent");
}

/// Each host of a zone asks one that ranks before it, so that all are reached from the
/// first, and none is asked by more than four.
#[rstest]
#[case::alone(1)]
#[case::small(9)]
#[case::zone(33)]
#[case::large_zone(200)]
fn hosts_that_start_ask_along_a_tree(#[case] count: usize) {
    let names: Vec<String> = (0..count).map(|n| format!("h{n}")).collect();
    let group = || names.iter().map(String::as_str);
    let ranked = rendezvous::rank("upstreams", group());
    let mut asked = vec![0; count];
    for (place, me) in ranked.iter().enumerate() {
        let lead = PollSchedule::new(me, "upstreams", Duration::from_secs(4));
        let others = group().filter(|name| name != me);
        let elders = lead.bootstrap_hosts(others);
        let places: Vec<usize> = elders
            .iter()
            .map(|elder| ranked.iter().position(|name| name == elder).unwrap())
            .collect();
        assert_eq!(
            places.is_empty(),
            place == 0,
            "only the first asks the store"
        );
        assert!(places.iter().all(|elder| *elder < place));
        assert!(places.is_sorted_by(|near, far| near > far));
        assert_eq!(places.last().copied(), (place > 0).then_some(0));
        assert!(places.len() <= 5, "{} steps", places.len());
        if let Some(nearest) = places.first() {
            asked[*nearest] += 1;
        }
    }
    assert!(asked.iter().all(|by| *by <= 4), "{asked:?}");
}

#[test]
fn who_can_not_reach_the_store_listens_to_any_that_can() {
    let now = Instant::now();
    let tightest = Duration::from_secs(4);
    let first = rendezvous::owner("routes", ["h1", "h2"]).unwrap();
    let other = if first == "h1" { "h2" } else { "h1" };
    let mut lead = PollSchedule::new(first, "routes", tightest);
    lead.received_update(other, UpdateKind::New, now);
    assert!(lead.poll_delay(now).is_zero(), "it ranks first");
    lead.poll_failed();
    lead.received_update(other, UpdateKind::New, now);
    assert_eq!(lead.poll_delay(now), lead.stale_after());
    lead.polled(now);
    let later = now + lead.stale_after();
    lead.received_update(other, UpdateKind::New, later);
    assert!(
        lead.poll_delay(later).is_zero(),
        "it reaches the store again"
    );
}

/// Hosts of zones `z0`, `z1` and so on, two zones a region.
fn spread_out(hosts: usize, zones: usize) -> (Vec<HostEntry>, BTreeMap<String, String>) {
    let in_zone = |number: usize| HostEntry {
        zone: format!("z{}", number % zones),
        ..host(&format!("h{number}"))
    };
    let region = |zone: usize| (format!("z{zone}"), format!("r{}", zone / 2));
    (
        (0..hosts).map(in_zone).collect(),
        (0..zones).map(region).collect(),
    )
}

/// Numbers of groups and of hosts in the largest of them.
#[rstest]
#[case::few(32, 4, 1, 32)]
#[case::by_region(60, 4, 2, 30)]
#[case::by_zone(120, 4, 4, 30)]
#[case::hundreds(300, 8, 8, 38)]
fn hosts_are_told_in_groups(
    #[case] hosts: usize,
    #[case] zones: usize,
    #[case] count: usize,
    #[case] largest: usize,
) {
    let (hosts, regions) = spread_out(hosts, zones);
    let groups = host_groups(&hosts, &regions);
    assert_eq!(groups.len(), count);
    assert_eq!(groups.iter().map(Vec::len).max(), Some(largest));
    assert_eq!(groups.iter().map(Vec::len).sum::<usize>(), hosts.len());
    let backwards = steering::route::host_groups(hosts.iter().rev(), &regions);
    let names = |groups: &[Vec<&HostEntry>]| {
        let group = |group: &Vec<&HostEntry>| {
            group
                .iter()
                .map(|host| host.name.clone())
                .collect::<BTreeSet<_>>()
        };
        groups.iter().map(group).collect::<Vec<_>>()
    };
    assert_eq!(names(&groups), names(&backwards), "the same on every host");
}

/// A host's own row over time, and whether the host has a part of what all share.
#[test]
fn a_host_has_a_part_only_where_others_can_know_it() {
    let now = Instant::now();
    let later = |s| now + Duration::from_secs(s);
    let mut roll = HostTable::new("me");
    assert!(!roll.has_share(now), "nothing is read");
    list(&mut roll, now, vec![host("other")]);
    assert!(!roll.has_share(now), "its row is not written");
    list(&mut roll, later(1), vec![host("other"), host("me")]);
    assert!(roll.has_share(later(100)));
    list(&mut roll, later(100), vec![host("other")]);
    assert!(roll.has_share(later(109)), "others count it for longer");
    assert!(!roll.has_share(later(110)));
    list(&mut roll, later(111), vec![host("me")]);
    assert!(roll.has_share(later(111)), "it is written again");
}

#[test]
fn another_host_has_a_part_by_its_row_and_not_by_being_heard() {
    let now = Instant::now();
    let later = |s| now + Duration::from_secs(s);
    let mut roll = HostTable::new("me");
    roll.record_heartbeat(now, &host("heard"), 1, false);
    list(&mut roll, now, vec![host("silent"), host("me")]);
    assert!(!roll.counts_in_bounds(now, "heard"));
    assert!(
        roll.counts_in_bounds(later(60), "silent"),
        "listed, heard or not"
    );
    roll.record_heartbeat(later(60), &host("silent"), 1, true);
    list(&mut roll, later(60), vec![host("me")]);
    assert!(
        roll.counts_in_bounds(later(79), "silent"),
        "it leaves, and serves on"
    );
    assert!(!roll.counts_in_bounds(later(81), "silent"));
    assert!(!roll.counts_in_bounds(now, "unknown"));
}
