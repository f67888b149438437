//! What a host has lately taken from a feed, for hosts that lack some of it.

use std::collections::VecDeque;

use super::feed::{FeedVersion, Record};

/// Records that are kept: the changes of some seconds, also while a quarter of 1,400
/// upstreams is new.
const RECORDS_MOST: usize = 600;
/// Changes of the feed that are kept, some ten seconds of them.
const BATCHES_MOST: usize = 16;

/// The newest records of a feed, in order.
#[derive(Debug, Default)]
pub struct Recent {
    /// All that follows this version is kept; none while nothing is known of the feed.
    since: Option<FeedVersion>,
    batches: VecDeque<Batch>,
    records: usize,
}

#[derive(Debug)]
struct Batch {
    /// Version of the feed behind it.
    version: FeedVersion,
    records: Vec<Record>,
}

impl Recent {
    /// Begins anew: all that was taken up to `version` is known as a whole only.
    pub fn restart(&mut self, version: FeedVersion) {
        *self = Recent {
            since: Some(version),
            ..Recent::default()
        };
    }

    /// Takes what has led to `version`.
    pub fn take(&mut self, version: FeedVersion, records: &[Record]) {
        if self.since.is_none() || records.is_empty() {
            return;
        }
        self.records += records.len();
        self.batches.push_back(Batch {
            version,
            records: records.to_vec(),
        });
        while self.records > RECORDS_MOST || self.batches.len() > BATCHES_MOST {
            let Some(first) = self.batches.pop_front() else {
                break;
            };
            self.records -= first.records.len();
            self.since = Some(first.version);
        }
    }

    /// What follows `after`, in order; none where some of it is no longer kept.
    pub fn after(&self, after: FeedVersion) -> Option<Vec<Record>> {
        if self.since.is_none_or(|since| after < since) {
            return None;
        }
        let batches = self.batches.iter();
        let newer = batches.filter(|batch| batch.version > after);
        Some(newer.flat_map(|batch| batch.records.clone()).collect())
    }
}
