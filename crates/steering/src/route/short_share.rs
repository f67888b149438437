//! Decides how many slots of a pool are for short work.

/// Factor by which the slots for short work exceed its share of all work. Short work misses
/// its goal if it waits, and long work does not.
const SHORT_HEADROOM: f64 = 2.0;
/// Number of steps in which the share changes. Hosts whose averages differ slightly then use
/// the same upstreams.
const STEPS: f64 = 8.0;
/// Steps by which the share has to be wrong before it changes by one.
const MAX_ERROR: f64 = 1.0;

/// Share of a pool's slots for short work, in steps.
#[derive(Debug, Default)]
pub struct ShortShare {
    /// `None` before the first work.
    steps: Option<u8>,
}

impl ShortShare {
    /// Moves the share by one step if it is far from what the work asks for. `work_s` are
    /// the average work times of short and of long work; `long_share` is the share of the
    /// pool's requests whose work is long.
    pub fn adapt(&mut self, work_s: [f64; 2], long_share: f64) {
        let [short_s, long_s] = work_s;
        let short = SHORT_HEADROOM * short_s * (1.0 - long_share);
        let all = short + long_s * long_share;
        if all <= 0.0 {
            return;
        }
        let steps = STEPS * short / all;
        let current = self.steps.map_or(steps.round(), f64::from);
        let error = steps - current;
        let step = match error.abs() > MAX_ERROR {
            true => error.signum(),
            false => 0.0,
        };
        self.steps = Some((current + step) as u8);
    }

    /// Returns the share; `None` if too little work of one length reaches the pool to
    /// divide it.
    pub fn share(&self) -> Option<f64> {
        let share = f64::from(self.steps?) / STEPS;
        (share > 0.0 && share < 1.0).then_some(share)
    }
}
