//! Buffers recent changes of a feed for hosts that missed some of them.

use std::collections::VecDeque;

use super::feed::{FeedVersion, Record};

/// Number of records that are buffered in any case. Beyond it the buffer may have as many
/// records as the feed: sending the whole feed would take no more.
const MIN_RECORDS: usize = 600;
/// Maximum number of buffered changes of the feed: about ten seconds of them.
const MAX_BATCHES: usize = 16;

/// The newest records of a feed, in order.
#[derive(Debug, Default)]
pub struct RecentChanges {
    /// All changes after this version are buffered; `None` while the feed is unknown.
    since: Option<FeedVersion>,
    batches: VecDeque<Batch>,
    records: usize,
    /// Number of records of the whole feed.
    feed_records: usize,
}

#[derive(Debug)]
struct Batch {
    /// Version of the feed after this batch.
    version: FeedVersion,
    records: Vec<Record>,
}

impl RecentChanges {
    /// Clears the buffer. Changes up to `version` are available only as a complete
    /// snapshot.
    pub fn reset(&mut self, version: FeedVersion) {
        *self = RecentChanges {
            since: Some(version),
            feed_records: self.feed_records,
            ..RecentChanges::default()
        };
    }

    /// Records the number of records of the whole feed.
    pub fn set_feed_records(&mut self, feed_records: usize) {
        self.feed_records = feed_records;
    }

    /// Appends the records that led to `version`.
    pub fn push(&mut self, version: FeedVersion, records: &[Record]) {
        if self.since.is_none() || records.is_empty() {
            return;
        }
        self.records += records.len();
        self.batches.push_back(Batch {
            version,
            records: records.to_vec(),
        });
        let max_records = self.feed_records.max(MIN_RECORDS);
        while self.records > max_records || self.batches.len() > MAX_BATCHES {
            let Some(first) = self.batches.pop_front() else {
                break;
            };
            self.records -= first.records.len();
            self.since = Some(first.version);
        }
    }

    /// Returns the records after `after`, in order; `None` if some of them are no longer
    /// buffered.
    pub fn after(&self, after: FeedVersion) -> Option<impl Iterator<Item = &Record>> {
        if self.since.is_none_or(|since| after < since) {
            return None;
        }
        let batches = self.batches.iter();
        let newer = batches.filter(move |batch| batch.version > after);
        Some(newer.flat_map(|batch| &batch.records))
    }
}
