//! Claims and receipts, gathered into grouped commits.

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use steering::claim::{AttemptId, ClaimOutcome, ClaimRow, Fingerprint, WorkOutcome};
use steering::ids::{ClaimId, HostName, Incarnation};
use store::{ClaimRequest, ClaimStore, ReceiptWrite, Worker, WorkerError};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

const GROUP_LIMIT: usize = 128;
const QUEUE_LIMIT: usize = 4_096;
const CLAIM_LINGER: Duration = Duration::from_millis(5);
const RECEIPT_LINGER: Duration = Duration::from_millis(100);
const RECEIPT_RETRY: Duration = Duration::from_secs(1);

struct Waiting {
    request: ClaimRequest,
    answer: oneshot::Sender<ClaimOutcome>,
}

/// Claims of one start of a host.
pub struct GroupedClaims {
    worker: Worker,
    host: HostName,
    incarnation: Incarnation,
    claims: mpsc::Sender<Waiting>,
    receipts: mpsc::Sender<ReceiptWrite>,
}

impl GroupedClaims {
    /// Starts the gathering tasks on the current runtime.
    pub fn start(worker: Worker, host: HostName, incarnation: Incarnation) -> Self {
        let (claims, claimed) = mpsc::channel(QUEUE_LIMIT);
        let (receipts, received) = mpsc::channel(QUEUE_LIMIT);
        let owner = (host.clone(), incarnation);
        tokio::spawn(write_claims(worker.clone(), owner.clone(), claimed));
        tokio::spawn(write_receipts(worker.clone(), owner, received));
        GroupedClaims {
            worker,
            host,
            incarnation,
            claims,
            receipts,
        }
    }
}

impl ::caller::Claims for GroupedClaims {
    fn claim(
        &self,
        id: ClaimId,
        attempt: AttemptId,
        fingerprint: Fingerprint,
    ) -> BoxFuture<'static, ClaimOutcome> {
        let (answer, answered) = oneshot::channel();
        let request = ClaimRequest {
            id,
            attempt,
            fingerprint,
        };
        let queued = self.claims.try_send(Waiting { request, answer });
        async move {
            if queued.is_err() {
                return ClaimOutcome::Failed("too many claims wait".to_owned());
            }
            let ended = |_| ClaimOutcome::Failed("the host is ending".to_owned());
            answered.await.unwrap_or_else(ended)
        }
        .boxed()
    }

    fn finish(
        &self,
        id: ClaimId,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        ending: Option<WorkOutcome>,
    ) {
        let receipt = ReceiptWrite {
            id,
            attempt,
            fingerprint,
            ending,
        };
        if let Err(error) = self.receipts.try_send(receipt) {
            // Without its receipt the outcome stays unknown to other hosts.
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

async fn gather<T>(from: &mut mpsc::Receiver<T>, linger: Duration) -> Option<Vec<T>> {
    let mut group = vec![from.recv().await?];
    sleep(linger).await;
    while group.len() < GROUP_LIMIT
        && let Ok(next) = from.try_recv()
    {
        group.push(next);
    }
    Some(group)
}

async fn write_claims(
    worker: Worker,
    (host, incarnation): (HostName, Incarnation),
    mut claimed: mpsc::Receiver<Waiting>,
) {
    while let Some(group) = gather(&mut claimed, CLAIM_LINGER).await {
        let requests: Vec<ClaimRequest> = group.iter().map(|one| one.request.clone()).collect();
        let host = host.clone();
        let outcomes = worker
            .run(move |platform| ClaimStore::new(platform, host, incarnation).claim(&requests))
            .await;
        metrics::counter!("stagedeck_claim_commits_total").increment(1);
        let outcomes = outcomes.unwrap_or_else(|error: WorkerError| {
            vec![ClaimOutcome::Failed(error.to_string()); group.len()]
        });
        for (waiting, outcome) in group.into_iter().zip(outcomes) {
            // A caller that left leaves its claim to the task that runs its work.
            let _ = waiting.answer.send(outcome);
        }
    }
}

async fn write_receipts(
    worker: Worker,
    (host, incarnation): (HostName, Incarnation),
    mut received: mpsc::Receiver<ReceiptWrite>,
) {
    while let Some(group) = gather(&mut received, RECEIPT_LINGER).await {
        loop {
            let (host, group) = (host.clone(), group.clone());
            let written = worker
                .run(move |platform| ClaimStore::new(platform, host, incarnation).finish(&group))
                .await;
            match written {
                Ok(Ok(())) => break,
                Ok(Err(error)) => tracing::debug!(event = "receipts_wait", %error),
                Err(WorkerError::Full) => {}
                Err(WorkerError::Ended) => return,
            }
            sleep(RECEIPT_RETRY).await;
        }
    }
}
