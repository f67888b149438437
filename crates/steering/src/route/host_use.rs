//! How much of its processor a host uses.

use std::time::{Duration, Instant};

use super::average::Average;

/// Time constant of the average. Callers keep an answer to a look-up for two to six seconds, so a
/// shorter one would show what earlier answers caused as if it lasted.
const AVERAGE_SPAN: Duration = Duration::from_secs(5);
/// Largest use of one interval. After a freeze, which lasts longer, a host is soon as it was.
const MAX_USE: f64 = 4.0;
/// Step of the reported use, in thousandths.
const STEP_PER_MILLE: f64 = 100.0;
/// Change beyond the middle between two steps from which the next one is reported, in steps.
const HYSTERESIS_STEPS: f64 = 0.25;

/// What a host measured over an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UseSample {
    /// Length of the interval.
    pub elapsed: Duration,
    /// Time by which the interval was longer than planned, because the thread did not run.
    pub late: Duration,
    /// Processor time that the process used.
    pub cpu_time: Duration,
}

/// Average use of a host's processor.
#[derive(Debug, Default)]
pub struct HostUse {
    average: Average,
    /// Last reported use, in steps.
    told_steps: u16,
}

impl HostUse {
    /// Records a sample of a machine with this processor share, and returns the use to tell, in
    /// thousandths; 0 if the share is unknown.
    ///
    /// A process that gets its whole share can't use more of it, so the time for which its thread
    /// waited is added.
    pub fn record(&mut self, now: Instant, cpu_millicores: u32, sample: UseSample) -> u16 {
        if cpu_millicores == 0 || sample.elapsed.is_zero() {
            return 0;
        }
        let available = sample.elapsed.as_secs_f64() * f64::from(cpu_millicores) / 1_000.0;
        let used = sample.cpu_time.as_secs_f64() / available;
        let planned = sample.elapsed.saturating_sub(sample.late);
        let waited = match planned.is_zero() {
            true => 0.0,
            false => sample.late.as_secs_f64() / planned.as_secs_f64(),
        };
        let used = (used + waited).min(MAX_USE);
        self.average.note(now, used, AVERAGE_SPAN);
        self.quantize(self.average.at(now, 0.0, AVERAGE_SPAN) * 1_000.0)
    }

    /// Returns the use in steps, which changes only if the use has clearly left the last step.
    fn quantize(&mut self, per_mille: f64) -> u16 {
        let steps = per_mille / STEP_PER_MILLE;
        if (steps - f64::from(self.told_steps)).abs() > 0.5 + HYSTERESIS_STEPS {
            self.told_steps = steps.round() as u16;
        }
        let told = f64::from(self.told_steps) * STEP_PER_MILLE;
        told as u16
    }
}
