//! The measurements; each prints one JSON line, baseline and product in one run.

pub mod balance;
pub mod capacity;
pub mod choice;
pub mod claims;
pub mod config;
pub mod customers;
pub mod drain;
mod figures;
pub mod look_up;
pub mod loss;
pub mod outage;
pub mod overhead;
pub mod partition;
mod plot;
pub mod restart;
pub mod retry;
pub mod rollouts;
pub mod shift;
pub mod stale;
pub mod suspects;
pub mod together;
mod traffic;

pub use figures::Spread;

/// Runs jobs on all cores; results in the order of the jobs.
fn parallel<J: Sync, R: Send>(jobs: &[J], run: impl Fn(&J) -> R + Sync) -> Vec<R> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let work = || {
        let mut done = Vec::new();
        loop {
            let number = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let Some(job) = jobs.get(number) else {
                return done;
            };
            done.push((number, run(job)));
        }
    };
    let mut results: Vec<(usize, R)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        let joined = workers
            .into_iter()
            .map(|worker| worker.join().expect("a job panicked"));
        joined.flatten().collect()
    });
    results.sort_by_key(|(number, _)| *number);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Runs of the product and of its baseline over the same seeds.
struct Sides<R>(Vec<(bool, R)>);

impl<R: Send> Sides<R> {
    /// Runs both for seeds 1 to `seeds`; `run` is told whether it is the product's.
    fn run(seeds: u64, run: impl Fn(bool, u64) -> R + Sync) -> Self {
        let jobs: Vec<(bool, u64)> = (1..=seeds)
            .flat_map(|seed| [(true, seed), (false, seed)])
            .collect();
        let runs = parallel(&jobs, |(product, seed)| run(*product, *seed));
        let sides = jobs.iter().map(|(product, _)| *product);
        Sides(sides.zip(runs).collect())
    }

    fn of(&self, product: bool) -> impl Iterator<Item = &R> {
        let own = self.0.iter().filter(move |(side, _)| *side == product);
        own.map(|(_, run)| run)
    }

    fn mean(&self, product: bool, value: fn(&R) -> f64) -> f64 {
        let sum: f64 = self.of(product).map(value).sum();
        sum / self.of(product).count() as f64
    }

    fn most(&self, product: bool, value: fn(&R) -> f64) -> f64 {
        self.of(product).map(value).fold(0.0, f64::max)
    }
}
