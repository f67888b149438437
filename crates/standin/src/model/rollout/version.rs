//! How a version answers.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use steering::route::AnswerQuality;

/// Rate of failures of every version.
const USUAL_FAILURES: f64 = 0.003;
/// Spread of the logarithm of a response time around the expected one.
const TIME_SPREAD: f64 = 0.25;
/// The same for an upstream that is cold and must fetch the object, of which less is known.
const COLD_TIME_SPREAD: f64 = 0.35;
/// Multiple of the usual time that a bad answer takes.
const SLOWNESS: f64 = 4.0;
/// Time until the upstreams of a new version are warm and hold what they are asked for.
const WARM_AFTER: Duration = Duration::from_secs(8);

/// What is wrong with a bad answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// It is a failure.
    Fails,
    /// It takes several times as long.
    IsSlow,
}

/// A version that is rolled out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelVersion {
    /// Rate of bad answers beyond the usual ones; 0 for a good version.
    pub bad_rate: f64,
    /// What is wrong with them.
    pub defect: Defect,
    /// Time after the order from which they come.
    pub bad_from: Duration,
    /// The only route on which they come; `None` for all.
    pub bad_route: Option<usize>,
    /// Least load of an upstream, relative to its usual load, at which they come.
    pub bad_load: f64,
    /// Whether its upstreams are cold and hold nothing at first.
    pub is_cold: bool,
}

impl ModelVersion {
    /// A version like the old one.
    pub const GOOD: ModelVersion = ModelVersion {
        bad_rate: 0.0,
        defect: Defect::Fails,
        bad_from: Duration::ZERO,
        bad_route: None,
        bad_load: 0.0,
        is_cold: false,
    };

    /// The version that gives this rate of bad answers at once.
    pub const fn bad(bad_rate: f64, defect: Defect) -> Self {
        ModelVersion {
            bad_rate,
            defect,
            ..ModelVersion::GOOD
        }
    }

    /// The quality of an answer `since_order` at an upstream with this load.
    pub(super) fn answer(
        &self,
        rng: &mut StdRng,
        since_order: Duration,
        route: usize,
        load: f64,
    ) -> AnswerQuality {
        let is_affected = since_order >= self.bad_from
            && self.bad_route.is_none_or(|bad| bad == route)
            && load >= self.bad_load;
        let is_bad = is_affected && rng.random_bool(self.bad_rate);
        if rng.random_bool(USUAL_FAILURES) || (is_bad && self.defect == Defect::Fails) {
            return AnswerQuality::Failed;
        }
        let spread = match self.is_cold && since_order < WARM_AFTER {
            true => COLD_TIME_SPREAD,
            false => TIME_SPREAD,
        };
        let usual = (spread * standard_normal(rng)).exp();
        AnswerQuality::of_time(if is_bad { usual * SLOWNESS } else { usual })
    }
}

/// Box and Muller's transform.
fn standard_normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
