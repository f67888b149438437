//! All steering decisions, without sockets, threads or clocks.
//!
//! Time, randomness and input are passed in, so that each decision can be tested and
//! benchmarked in isolation.
//!
//! ```
//! use steering::{Document, Selector};
//!
//! let document: Document = serde_json::from_str(
//!     r#"{"regions": [{"name": "sierra"}],
//!         "zones": [{"name": "quito-norte", "region": "sierra"}]}"#,
//! )
//! .unwrap();
//! assert!(document.check().is_ok());
//! let selector: Selector = serde_json::from_str(r#"{"equals": {"tier": "gold"}}"#).unwrap();
//! assert!(!selector.matches(&document.zones[0].labels));
//! ```

pub mod blocks;
pub mod choice;
pub mod claim;
pub mod document;
pub mod error;
pub mod history;
pub mod host_capacity;
pub mod ids;
pub mod labels;
pub mod limiter;
pub mod load_estimate;
pub mod lookup;
pub mod membership;
pub mod plan;
pub mod pool;
pub mod rendezvous;
pub mod retry;
pub mod route;
pub mod statement;
pub mod ticket;
pub mod view;

pub use document::Document;
pub use error::{ErrorKind, ErrorResponse, NotRun};
pub use labels::{Labels, Selector};
