//! Rate limits that upstreams request, enforced jointly by hosts that do not see each other's
//! requests.
//!
//! A few hosts of the upstream's region hold a share of its limit each. They are the first in the
//! rank order of the store's host list, so all hosts know them without messages. A host asks a
//! holder for a token before it sends a request to the upstream. A holder spends its share by its
//! own clock alone, so the sum stays within the limit when hosts are cut off, killed or restarted.
//! If some hosts' lists have one host more or fewer than others', the sum stays within the
//! tolerance of the upstreams.

mod holder_selector;
mod holders;
mod message;
mod share;
mod tokens;

pub use holder_selector::HolderSelector;
pub use holders::{MAX_HOLDERS, holders};
pub use message::{LimitReply, LimitTokenRequest};
pub use share::{LimitTolerance, holder_share};
pub use tokens::{LimitTokens, ShareChange};
