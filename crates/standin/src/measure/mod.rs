//! The measurements; each prints one JSON line, baseline and product in one run.

mod figures;
pub mod overhead;

pub use figures::Spread;
