//! Claims and receipts of at-most-once requests, written to the store in batches.

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use steering::claim::{AttemptId, ClaimOutcome, ClaimRow, Fingerprint, WorkOutcome};
use steering::ids::{ClaimId, HostName, Incarnation};
use store::{ClaimRequest, ClaimStore, ReceiptWrite, Worker, WorkerError};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

const MAX_BATCH: usize = 128;
const MAX_QUEUED: usize = 4_096;
/// Time that the first claim of a batch waits for further ones.
const CLAIM_BATCH_DELAY: Duration = Duration::from_millis(5);
/// Time that the first receipt of a batch waits for further ones.
const RECEIPT_BATCH_DELAY: Duration = Duration::from_millis(100);
const RECEIPT_RETRY_DELAY: Duration = Duration::from_secs(1);

struct QueuedClaim {
    request: ClaimRequest,
    answer: oneshot::Sender<ClaimOutcome>,
}

/// Claims and receipts of one incarnation of a host.
pub struct BatchedClaims {
    worker: Worker,
    host: HostName,
    incarnation: Incarnation,
    claims: mpsc::Sender<QueuedClaim>,
    receipts: mpsc::Sender<ReceiptWrite>,
}

impl BatchedClaims {
    /// Starts the tasks that write the batches on the current runtime.
    pub fn start(worker: Worker, host: HostName, incarnation: Incarnation) -> Self {
        let (claims, queued_claims) = mpsc::channel(MAX_QUEUED);
        let (receipts, queued_receipts) = mpsc::channel(MAX_QUEUED);
        let owner = (host.clone(), incarnation);
        tokio::spawn(write_claims(worker.clone(), owner.clone(), queued_claims));
        tokio::spawn(write_receipts(worker.clone(), owner, queued_receipts));
        BatchedClaims {
            worker,
            host,
            incarnation,
            claims,
            receipts,
        }
    }
}

impl ::caller::Claims for BatchedClaims {
    fn claim(
        &self,
        id: ClaimId,
        attempt: AttemptId,
        fingerprint: Fingerprint,
    ) -> BoxFuture<'static, ClaimOutcome> {
        let (answer, outcome) = oneshot::channel();
        let request = ClaimRequest {
            id,
            attempt,
            fingerprint,
        };
        let queued = self.claims.try_send(QueuedClaim { request, answer });
        async move {
            if queued.is_err() {
                return ClaimOutcome::Failed("too many claims are queued".to_owned());
            }
            let stopped = |_| ClaimOutcome::Failed("the host is stopping".to_owned());
            outcome.await.unwrap_or_else(stopped)
        }
        .boxed()
    }

    fn finish(
        &self,
        id: ClaimId,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        outcome: Option<WorkOutcome>,
    ) {
        let receipt = ReceiptWrite {
            id,
            attempt,
            fingerprint,
            ending: outcome,
        };
        if let Err(error) = self.receipts.try_send(receipt) {
            // Without the receipt, the outcome of the request stays unknown to other hosts.
            tracing::warn!(event = "receipt_dropped", %error);
        }
    }

    fn find(&self, id: ClaimId) -> BoxFuture<'static, Result<Option<ClaimRow>, String>> {
        let (worker, host, incarnation) =
            (self.worker.clone(), self.host.clone(), self.incarnation);
        async move {
            let found = worker
                .run(move |platform| ClaimStore::new(platform, host, incarnation).find(&id))
                .await;
            match found {
                Ok(row) => row.map_err(|error| error.to_string()),
                Err(error) => Err(error.to_string()),
            }
        }
        .boxed()
    }
}

/// Waits for the first item, and returns it with those that arrive within `delay`.
///
/// Returns `None` once the channel is closed.
async fn next_batch<T>(from: &mut mpsc::Receiver<T>, delay: Duration) -> Option<Vec<T>> {
    let mut batch = vec![from.recv().await?];
    sleep(delay).await;
    while batch.len() < MAX_BATCH
        && let Ok(next) = from.try_recv()
    {
        batch.push(next);
    }
    Some(batch)
}

async fn write_claims(
    worker: Worker,
    (host, incarnation): (HostName, Incarnation),
    mut claims: mpsc::Receiver<QueuedClaim>,
) {
    while let Some(batch) = next_batch(&mut claims, CLAIM_BATCH_DELAY).await {
        let requests: Vec<ClaimRequest> =
            batch.iter().map(|queued| queued.request.clone()).collect();
        let host = host.clone();
        let outcomes = worker
            .run(move |platform| ClaimStore::new(platform, host, incarnation).claim(&requests))
            .await;
        metrics::counter!("stagedeck_claim_commits_total").increment(1);
        let outcomes = outcomes.unwrap_or_else(|error: WorkerError| {
            vec![ClaimOutcome::Failed(error.to_string()); batch.len()]
        });
        for (queued, outcome) in batch.into_iter().zip(outcomes) {
            // The send fails only if the task that waits for the claim has ended.
            let _ = queued.answer.send(outcome);
        }
    }
}

async fn write_receipts(
    worker: Worker,
    (host, incarnation): (HostName, Incarnation),
    mut receipts: mpsc::Receiver<ReceiptWrite>,
) {
    while let Some(batch) = next_batch(&mut receipts, RECEIPT_BATCH_DELAY).await {
        loop {
            let (host, batch) = (host.clone(), batch.clone());
            let written = worker
                .run(move |platform| ClaimStore::new(platform, host, incarnation).finish(&batch))
                .await;
            match written {
                Ok(Ok(())) => break,
                Ok(Err(error)) => tracing::debug!(event = "receipts_wait", %error),
                Err(WorkerError::Full) => {}
                Err(WorkerError::Ended) => return,
            }
            sleep(RECEIPT_RETRY_DELAY).await;
        }
    }
}
