//! Interface to the store of claims and receipts of at-most-once requests.

use futures::future::BoxFuture;
use steering::claim::{AttemptId, ClaimOutcome, ClaimRow, Fingerprint, WorkOutcome};
use steering::ids::ClaimId;

/// Claims and receipts in the platform's store.
///
/// A claim gives one host the right to run a request; a receipt records how it ended.
pub trait Claims: Send + Sync {
    /// Writes a claim unless there is one already.
    fn claim(
        &self,
        id: ClaimId,
        attempt: AttemptId,
        fingerprint: Fingerprint,
    ) -> BoxFuture<'static, ClaimOutcome>;

    /// Records how a request ended, to be written soon. `None` means that this attempt did
    /// not run, and removes its claim.
    fn finish(
        &self,
        id: ClaimId,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        outcome: Option<WorkOutcome>,
    );

    /// Reads a claim; `None` if there is no row.
    ///
    /// # Errors
    ///
    /// The reason why the store can't be read.
    fn find(&self, id: ClaimId) -> BoxFuture<'static, Result<Option<ClaimRow>, String>>;
}
