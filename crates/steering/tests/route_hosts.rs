//! Which hosts are advertised to callers, count in shared bounds, and poll the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rstest::rstest;
use steering::host_capacity::HostCapacity;
use steering::membership::HostEntry;
use steering::rendezvous;
use steering::route::{
    Changes, FeedRank, HostCondition, HostTable, PollSchedule, Record, UpdateKind, host_groups,
};

fn rank(feed: &str, host: &str) -> FeedRank {
    FeedRank::new(feed, host, HostCapacity::default())
}

fn host(name: &str) -> HostEntry {
    let address = "127.0.0.1:1".parse().unwrap();
    HostEntry {
        name: name.to_owned(),
        zone: "duran".to_owned(),
        caller_address: address,
        relay_address: address,
        peer_address: address,
        operator_address: address,
        capacity: HostCapacity::default(),
    }
}

fn list(host_table: &mut HostTable, now: Instant, hosts: Vec<HostEntry>) {
    let changes = Changes {
        whole: true,
        records: hosts.into_iter().map(Record::Host).collect(),
        version: 1,
    };
    host_table.apply(now, &changes);
}

fn advertised(host_table: &HostTable, now: Instant) -> Vec<String> {
    let advertised = host_table.advertised(now);
    advertised.map(|host| host.entry.name.clone()).collect()
}

#[test]
fn only_live_hosts_are_advertised() {
    let now = Instant::now();
    let later = |ms| now + Duration::from_millis(ms);
    let mut host_table = HostTable::default();
    list(&mut host_table, now, vec![host("dead"), host("alive")]);
    assert!(advertised(&host_table, now).is_empty());
    assert!(host_table.record_heartbeat(later(100), &host("alive"), 1, false));
    assert_eq!(advertised(&host_table, later(200)), ["alive"]);
    assert!(
        advertised(&host_table, later(3_700)).is_empty(),
        "silent for too long"
    );
    host_table.answered(later(3_800), "alive");
    assert_eq!(advertised(&host_table, later(3_900)), ["alive"]);
    assert!(host_table.record_heartbeat(later(4_000), &host("alive"), 1, true));
    assert!(
        advertised(&host_table, later(4_000)).is_empty(),
        "the host is shutting down"
    );
}

#[test]
fn host_that_starts_presumes_listed_hosts_to_be_alive() {
    let now = Instant::now();
    let later = |ms| now + Duration::from_millis(ms);
    let mut host_table = HostTable::default();
    let hosts = ["unheard", "heard", "leaving", "silent"].map(host).to_vec();
    list(&mut host_table, now, hosts);
    host_table.record_heartbeat(now, &host("silent"), 1, false);
    host_table.record_heartbeat(later(4_000), &host("heard"), 1, false);
    host_table.record_heartbeat(later(4_000), &host("leaving"), 1, true);
    host_table.record_heartbeat(later(4_000), &host("not-listed"), 1, false);
    let presumed = host_table.presumed(later(4_100));
    let names: Vec<&str> = presumed.map(|host| host.entry.name.as_str()).collect();
    assert_eq!(names, ["heard", "not-listed", "unheard"]);
}

fn told(is_cut_off: bool, use_per_mille: u16) -> HostCondition {
    HostCondition {
        is_cut_off,
        use_per_mille,
        relay_use_per_mille: 0,
    }
}

/// What a host told a second ago, what it tells now, and whether others decide differently.
#[rstest]
#[case::first_and_idle(None, told(false, 300), false)]
#[case::first_and_busy(None, told(false, 1_300), true)]
#[case::use_within_capacity_varies(Some(told(false, 300)), told(false, 900), false)]
#[case::becomes_busy(Some(told(false, 900)), told(false, 1_100), true)]
#[case::busier(Some(told(false, 1_100)), told(false, 1_200), true)]
#[case::cut_off(Some(told(false, 0)), told(true, 0), true)]
#[case::no_longer_cut_off(Some(told(true, 0)), told(false, 0), true)]
#[case::the_same(Some(told(true, 1_500)), told(true, 1_500), false)]
fn condition_of_a_host_matters_where_others_decide_by_it(
    #[case] before: Option<HostCondition>,
    #[case] told: HostCondition,
    #[case] matters: bool,
) {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut host_table = HostTable::default();
    host_table.record_heartbeat(now, &host("a"), 1, false);
    if let Some(before) = before {
        host_table.record_condition(now, "a", before);
    }
    assert_eq!(host_table.record_condition(later, "a", told), matters);
}

#[test]
fn condition_of_a_silent_or_restarted_host_is_forgotten() {
    let now = Instant::now();
    let later = |ms| now + Duration::from_millis(ms);
    let mut host_table = HostTable::default();
    host_table.record_heartbeat(now, &host("a"), 1, false);
    host_table.record_condition(now, "a", told(true, 0));
    let condition = |table: &HostTable, at| table.get("a").unwrap().condition(at);
    assert_eq!(condition(&host_table, later(3_400)), Some(told(true, 0)));
    assert_eq!(
        condition(&host_table, later(3_600)),
        None,
        "frozen or killed"
    );
    host_table.record_condition(later(4_000), "a", told(true, 0));
    host_table.record_heartbeat(later(4_100), &host("a"), 2, false);
    assert_eq!(condition(&host_table, later(4_200)), None, "started again");
}

#[test]
fn own_pause_does_not_count_as_silence_of_others() {
    let now = Instant::now();
    let mut host_table = HostTable::default();
    host_table.record_heartbeat(now, &host("other"), 1, false);
    let after_pause = now + Duration::from_secs(8);
    assert!(advertised(&host_table, after_pause).is_empty());
    host_table.resume(after_pause);
    assert_eq!(advertised(&host_table, after_pause), ["other"]);
}

/// Guards against an excess of a cold upstream's limit: hosts that exchanged no heartbeats
/// with a host were no longer counted after a while, so each host used too large a share.
#[test]
fn every_listed_or_recent_host_counts() {
    let now = Instant::now();
    let later = |s| now + Duration::from_secs(s);
    let mut host_table = HostTable::default();
    host_table.record_heartbeat(now, &host("heard"), 1, false);
    assert!(
        host_table.sharing_hosts(now).is_none(),
        "the list has not been read"
    );
    list(&mut host_table, now, vec![host("listed")]);
    let count =
        |host_table: &HostTable, now| host_table.sharing_hosts(now).map(|others| others.count());
    assert_eq!(count(&host_table, now), Some(2));
    assert_eq!(
        count(&host_table, later(60)),
        Some(1),
        "a listed host counts even without heartbeats"
    );
    list(&mut host_table, later(60), Vec::new());
    assert_eq!(count(&host_table, later(60)), Some(0));
}

/// Guards against the removal of live hosts' rows by a host that was cut off itself: from
/// its own view all other hosts were silent.
#[test]
fn cut_off_host_considers_no_host_lost() {
    let now = Instant::now();
    let later = |s| now + Duration::from_secs(s);
    let mut host_table = HostTable::default();
    let partners = [host("a"), host("b")];
    list(&mut host_table, now, partners.to_vec());
    host_table.record_heartbeat(now, &host("a"), 1, false);
    host_table.was_cut_off(later(70));
    assert!(host_table.lost(later(70), &partners).is_empty());
    assert!(
        advertised(&host_table, later(70)).is_empty(),
        "no host was heard either"
    );
    assert_eq!(
        host_table.lost(later(131), &partners),
        [&host("a"), &host("b")]
    );
}

#[test]
fn silent_heartbeat_partner_is_lost() {
    let now = Instant::now();
    let later = |s| now + Duration::from_secs(s);
    let mut host_table = HostTable::default();
    list(&mut host_table, now, vec![host("a"), host("b"), host("c")]);
    host_table.record_heartbeat(later(50), &host("b"), 1, false);
    let partners = [host("a"), host("b")];
    assert!(host_table.lost(later(50), &partners).is_empty());
    // This host sends no heartbeats to `c`, so the silence of `c` means nothing.
    assert_eq!(host_table.lost(later(70), &partners), [&host("a")]);
}

#[rstest]
#[case::nothing_known(None, 9, UpdateKind::Gap)]
#[case::newer(Some(5), 9, UpdateKind::New)]
#[case::known(Some(9), 9, UpdateKind::Known)]
#[case::older(Some(12), 9, UpdateKind::Known)]
fn updates_are_classified(
    #[case] at: Option<u64>,
    #[case] version: u64,
    #[case] expected: UpdateKind,
) {
    assert_eq!(PollSchedule::classify(at, version), expected);
}

/// All hosts poll and send updates at first, and a single poller remains. When it is lost,
/// all other hosts are up to date again within the bound.
#[test]
fn one_poller_remains() {
    let names = ["a", "b", "c", "d", "e"];
    let bound = Duration::from_secs(2);
    let start = Instant::now();
    let mut schedules: Vec<PollSchedule> = names
        .iter()
        .map(|this_host| PollSchedule::new(rank("upstreams", this_host), bound))
        .collect();
    let mut last_known = vec![start; names.len()];
    let first = rendezvous::owner("upstreams", names).unwrap();
    let first = names.iter().position(|name| *name == first).unwrap();
    let mut polls = vec![0u32; names.len()];
    for tick in 0..200u32 {
        let now = start + Duration::from_millis(100) * tick;
        let is_lost = |host: usize| host == first && tick >= 100;
        for host in 0..names.len() {
            let due = schedules[host].poll_delay(now).is_zero() && tick % 5 == 0;
            if is_lost(host) || !due {
                continue;
            }
            polls[host] += u32::from((20..100).contains(&tick));
            last_known[host] = now;
            for other in (0..names.len()).filter(|other| *other != host) {
                schedules[other].received_update(
                    rank("upstreams", names[host]),
                    UpdateKind::New,
                    now,
                );
                last_known[other] = now;
            }
        }
        for host in (0..names.len()).filter(|host| !is_lost(*host)) {
            let age = now - last_known[host];
            assert!(
                age < bound,
                "the state of {} has an age of {age:?}",
                names[host]
            );
        }
    }
    for (host, count) in polls.iter().enumerate() {
        assert_eq!(
            *count > 0,
            host == first,
            "{} polled {count} times",
            names[host]
        );
    }
}

#[test]
fn gap_is_filled_at_once_and_not_forwarded() {
    let now = Instant::now();
    let names = ["a", "b"];
    let first = rendezvous::owner("upstreams", names).unwrap();
    let second = if first == "a" { "b" } else { "a" };
    let mut schedule = PollSchedule::new(rank("upstreams", second), Duration::from_secs(2));
    assert!(schedule.forwards_updates(now), "no update has arrived");
    schedule.received_update(rank("upstreams", first), UpdateKind::New, now);
    assert!(!schedule.poll_delay(now).is_zero() && !schedule.forwards_updates(now));
    schedule.received_update(rank("upstreams", first), UpdateKind::Gap, now);
    assert!(schedule.poll_delay(now).is_zero(), "a gap needs a poll");
    assert!(
        !schedule.forwards_updates(now),
        "the answer is not forwarded"
    );
    schedule.polled(now);
    assert!(!schedule.poll_delay(now).is_zero());
    let later = now + schedule.stale_after();
    assert!(schedule.forwards_updates(later), "the first host is silent");
}

#[test]
fn host_without_store_accepts_updates_from_any_host() {
    let now = Instant::now();
    let tightest_bound = Duration::from_secs(4);
    let first = rendezvous::owner("routes", ["h1", "h2"]).unwrap();
    let other = if first == "h1" { "h2" } else { "h1" };
    let mut schedule = PollSchedule::new(rank("routes", first), tightest_bound);
    schedule.received_update(rank("routes", other), UpdateKind::New, now);
    assert!(schedule.poll_delay(now).is_zero(), "this host ranks first");
    schedule.poll_failed();
    schedule.received_update(rank("routes", other), UpdateKind::New, now);
    assert_eq!(schedule.poll_delay(now), schedule.stale_after());
    schedule.polled(now);
    let later = now + schedule.stale_after();
    schedule.received_update(rank("routes", other), UpdateKind::New, later);
    assert!(
        schedule.poll_delay(later).is_zero(),
        "this host reaches the store again"
    );
}

/// Creates hosts in zones `z0`, `z1` and so on, with two zones per region.
fn hosts_in_zones(hosts: usize, zones: usize) -> (Vec<HostEntry>, BTreeMap<String, String>) {
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

/// Expected number of groups, and size of the largest one.
#[rstest]
#[case::few(32, 4, 1, 32)]
#[case::by_region(60, 4, 2, 30)]
#[case::by_zone(120, 4, 4, 30)]
#[case::hundreds(300, 8, 8, 38)]
fn hosts_are_grouped_for_updates(
    #[case] hosts: usize,
    #[case] zones: usize,
    #[case] count: usize,
    #[case] largest: usize,
) {
    let (hosts, regions) = hosts_in_zones(hosts, zones);
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

/// A host's own row over time, and whether the host has a share of shared bounds.
#[test]
fn host_has_a_share_only_if_others_know_it() {
    let now = Instant::now();
    let later = |s| now + Duration::from_secs(s);
    let mut host_table = HostTable::new("me");
    assert!(!host_table.has_share(now), "the list has not been read");
    list(&mut host_table, now, vec![host("other")]);
    assert!(!host_table.has_share(now), "the own row is not written");
    list(&mut host_table, later(1), vec![host("other"), host("me")]);
    assert!(host_table.has_share(later(100)));
    list(&mut host_table, later(100), vec![host("other")]);
    assert!(
        host_table.has_share(later(109)),
        "other hosts count it for longer"
    );
    assert!(!host_table.has_share(later(110)));
    list(&mut host_table, later(111), vec![host("me")]);
    assert!(
        host_table.has_share(later(111)),
        "the own row is written again"
    );
}

#[test]
fn other_host_has_a_share_by_its_row_not_by_its_heartbeats() {
    let now = Instant::now();
    let later = |s| now + Duration::from_secs(s);
    let mut host_table = HostTable::new("me");
    host_table.record_heartbeat(now, &host("heard"), 1, false);
    list(&mut host_table, now, vec![host("silent"), host("me")]);
    assert!(!host_table.counts_in_bounds(now, "heard"));
    assert!(
        host_table.counts_in_bounds(later(60), "silent"),
        "a listed host counts without heartbeats"
    );
    host_table.record_heartbeat(later(60), &host("silent"), 1, true);
    list(&mut host_table, later(60), vec![host("me")]);
    assert!(
        host_table.counts_in_bounds(later(79), "silent"),
        "a host that shuts down still serves"
    );
    assert!(!host_table.counts_in_bounds(later(81), "silent"));
    assert!(!host_table.counts_in_bounds(now, "unknown"));
}
