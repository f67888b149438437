//! What this host reports to others about itself.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::resource::{UsageWho, getrusage};
use nix::sys::time::TimeVal;
use steering::route::{HostCondition, HostUse, RouteView, UseSample, max_relays};

use super::{ADAPT_INTERVAL, Traffic};

/// Step of the reported use of relays, in thousandths.
const RELAY_STEP_PER_MILLE: u32 = 100;
const PER_MILLE: u32 = 1_000;

/// Measures this host's condition once in each [`ADAPT_INTERVAL`].
pub(super) struct OwnCondition {
    host_use: HostUse,
    /// Processor time used by the process; none if it could not be read.
    cpu_time: Option<Duration>,
}

impl OwnCondition {
    pub fn new() -> Self {
        OwnCondition {
            host_use: HostUse::default(),
            cpu_time: read_cpu_time(),
        }
    }

    /// Publishes the condition. `elapsed` is the time since the last update.
    pub fn update(&mut self, traffic: &Traffic, view: &RouteView, now: Instant, elapsed: Duration) {
        let before = **traffic.common.condition.load();
        let condition = HostCondition {
            is_cut_off: is_cut_off(traffic, view),
            use_per_mille: self.use_per_mille(traffic, now, elapsed),
            relay_use_per_mille: relay_use_per_mille(traffic),
        };
        if condition.is_cut_off != before.is_cut_off {
            tracing::warn!(event = "cut_off_changed", is_cut_off = condition.is_cut_off);
        }
        if condition != before {
            traffic.common.condition.store(Arc::new(condition));
        }
        metrics::gauge!("stagedeck_host_use_per_mille").set(condition.use_per_mille);
    }

    fn use_per_mille(&mut self, traffic: &Traffic, now: Instant, elapsed: Duration) -> u16 {
        let before = self.cpu_time;
        self.cpu_time = read_cpu_time();
        let (Some(before), Some(cpu_time)) = (before, self.cpu_time) else {
            return 0;
        };
        let sample = UseSample {
            elapsed,
            late: elapsed.saturating_sub(ADAPT_INTERVAL),
            cpu_time: cpu_time.saturating_sub(before),
        };
        let cpu_millicores = traffic.common.settings.capacity.cpu_millicores;
        self.host_use.record(now, cpu_millicores, sample)
    }
}

/// Returns whether this host reaches no upstream itself.
fn is_cut_off(traffic: &Traffic, view: &RouteView) -> bool {
    let paths = traffic.paths.upstreams();
    // The zones of all upstreams are collected only if there is a doubt.
    paths.relayed_zones() > 0 && paths.are_all_relayed(view.upstream_zones())
}

/// Returns the connections that this host relays, in thousandths of those that it may relay.
fn relay_use_per_mille(traffic: &Traffic) -> u16 {
    let relayed = traffic.paths.relayed_connections();
    if relayed == 0 {
        return 0;
    }
    let max = max_relays(
        traffic.common.settings.open_files,
        traffic.own_connections(),
    );
    let used = relayed.saturating_mul(PER_MILLE) / max.max(1);
    let told = used.min(PER_MILLE) / RELAY_STEP_PER_MILLE * RELAY_STEP_PER_MILLE;
    told as u16
}

/// Returns the processor time that this process has used.
fn read_cpu_time() -> Option<Duration> {
    match getrusage(UsageWho::RUSAGE_SELF) {
        Ok(usage) => Some(duration(usage.user_time()) + duration(usage.system_time())),
        Err(error) => {
            let error = io::Error::from(error);
            tracing::warn!(event = "cpu_time_not_read", %error);
            None
        }
    }
}

fn duration(time: TimeVal) -> Duration {
    let micros = time.tv_sec() * 1_000_000 + time.tv_usec();
    Duration::from_micros(u64::try_from(micros).unwrap_or_default())
}
