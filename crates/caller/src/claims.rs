//! The border to the platform's claims and receipts.

use futures::future::BoxFuture;
use steering::claim::{AttemptId, ClaimOutcome, ClaimRow, Fingerprint, WorkOutcome};
use steering::ids::ClaimId;

/// Claims and receipts, kept in the platform by whoever implements this.
pub trait Claims: Send + Sync {
    /// Writes a claim where there is none.
    fn claim(
        &self,
        id: ClaimId,
        attempt: AttemptId,
        fingerprint: Fingerprint,
    ) -> BoxFuture<'static, ClaimOutcome>;

    /// Notes how work ended, to be written soon; none: this try did not run, its claim goes.
    fn finish(
        &self,
        id: ClaimId,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        ending: Option<WorkOutcome>,
    );

    /// Reads a claim; an error says why it can't be read.
    fn find(&self, id: ClaimId) -> BoxFuture<'static, Result<Option<ClaimRow>, String>>;
}
