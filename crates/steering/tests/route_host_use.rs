//! What a host tells about the use of its processor.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{HostUse, UseSample};

const SECOND: Duration = Duration::from_secs(1);
const MILLICORES: u32 = 100;
const LONG: u32 = 60;

fn sample(cpu_ms: u64, late_ms: u64) -> UseSample {
    let late = Duration::from_millis(late_ms);
    UseSample {
        elapsed: SECOND + late,
        late,
        cpu_time: Duration::from_millis(cpu_ms),
    }
}

/// Processor time and lateness per second, and the use that is told.
#[rstest]
#[case::idle(0, 0, 0)]
#[case::half(50, 0, 500)]
#[case::full(100, 0, 1_000)]
#[case::full_and_waiting(150, 500, 1_500)]
#[case::frozen_for_the_most_part(10, 9_000, 4_000)]
fn use_is_told(#[case] cpu_ms: u64, #[case] late_ms: u64, #[case] expected: u16) {
    let mut now = Instant::now();
    let mut host_use = HostUse::default();
    let mut told = 0;
    for _ in 0..LONG {
        now += SECOND + Duration::from_millis(late_ms);
        told = host_use.record(now, MILLICORES, sample(cpu_ms, late_ms));
    }
    assert!(told.abs_diff(expected) <= 100, "{told}");
}

#[test]
fn use_that_varies_a_little_is_told_once() {
    let mut now = Instant::now();
    let mut host_use = HostUse::default();
    let mut record = |second: u32| {
        now += SECOND;
        let cpu_ms = if second.is_multiple_of(2) { 38 } else { 52 };
        host_use.record(now, MILLICORES, sample(cpu_ms, 0))
    };
    let settled: Vec<u16> = (0..LONG).map(&mut record).skip(LONG as usize / 2).collect();
    assert!(
        settled.windows(2).all(|pair| pair[0] == pair[1]),
        "{settled:?}"
    );
}

#[test]
fn host_that_was_frozen_is_soon_as_it_was() {
    let mut now = Instant::now();
    let mut host_use = HostUse::default();
    now += SECOND * 31;
    host_use.record(now, MILLICORES, sample(10, 30_000));
    let mut told = 0;
    for _ in 0..10 {
        now += SECOND;
        told = host_use.record(now, MILLICORES, sample(30, 0));
    }
    assert!(told < 1_000, "{told}");
}

#[rstest]
#[case::unknown_capacity(0, sample(50, 0))]
#[case::no_time(MILLICORES, UseSample { elapsed: Duration::ZERO, late: Duration::ZERO, cpu_time: SECOND })]
#[case::nothing_but_a_freeze(MILLICORES, UseSample { elapsed: SECOND, late: SECOND, cpu_time: Duration::ZERO })]
fn nothing_is_told_of_what_is_unknown(#[case] cpu_millicores: u32, #[case] sample: UseSample) {
    let mut host_use = HostUse::default();
    assert_eq!(host_use.record(Instant::now(), cpu_millicores, sample), 0);
}
