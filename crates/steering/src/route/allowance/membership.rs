//! A host's membership in the pools of one group of customers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::MEMBERSHIP_DURATION;
use super::message::PoolTime;
use crate::ids::HostName;

/// Time for which a host that did not answer, or keeps no pool, is not asked again.
const SKIP_DURATION: Duration = Duration::from_secs(4);

/// A host's membership in the pools of one group.
#[derive(Debug)]
pub(super) struct Membership {
    /// Host whose pool this host's share counts in, or which this host is joining.
    pub owner: Option<HostName>,
    /// The last replies of the owner and of the host that may become the next owner.
    replies: HashMap<HostName, PoolReply>,
    /// Until when this host's share may count in the owner's pool.
    pub member_until: Instant,
    /// Until when tokens of this pool are valid.
    pub valid_until: Instant,
    /// Hosts that are not asked before the given time.
    skipped_until: HashMap<HostName, Instant>,
}

/// Time stamps of a host's reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolReply {
    pub stamp: PoolTime,
    pub asked_at: Instant,
    pub answered_at: Instant,
}

impl Membership {
    pub fn new(now: Instant) -> Self {
        Membership {
            owner: None,
            replies: HashMap::new(),
            member_until: now,
            valid_until: now,
            skipped_until: HashMap::new(),
        }
    }

    fn leave(&mut self, now: Instant) {
        self.owner = None;
        self.member_until = now;
        self.valid_until = now;
    }

    /// The next request to send; `None` while the host's share still counts in a pool whose host
    /// does not answer.
    pub fn next(&mut self, now: Instant, ranked: &[&str]) -> Option<MembershipRequest> {
        self.skipped_until.retain(|_, until| *until > now);
        let mut hosts = ranked.iter();
        let first = hosts.find(|host| !self.skipped_until.contains_key(**host));
        let first = (*first?).to_owned();
        let owner = self.owner.clone().filter(|_| now < self.member_until);
        let Some(owner) = owner else {
            self.leave(now);
            self.owner = Some(first.clone());
            let stamp = self.stamp(now, &first);
            return Some(MembershipRequest::join(first, stamp));
        };
        if owner == first {
            let stamp = self.stamp(now, &owner);
            return Some(MembershipRequest::join(owner, stamp));
        }
        let is_silent = self.skipped_until.contains_key(&owner);
        match (self.stamp(now, &first), is_silent) {
            // The preferred host answers, so the share may move to its pool.
            (Some(_), false) => Some(MembershipRequest::leave(owner)),
            (Some(_), true) => None,
            (None, _) => Some(MembershipRequest::join(first, None)),
        }
    }

    /// The last stamp of a host, if it is recent enough to be confirmed.
    fn stamp(&self, now: Instant, host: &str) -> Option<PoolTime> {
        let reply = self.replies.get(host)?;
        (now < reply.asked_at + MEMBERSHIP_DURATION).then_some(reply.stamp)
    }

    /// Records that a request is sent. If it confirms a stamp, this host's share may count from
    /// now on.
    pub fn record_request(&mut self, request: &MembershipRequest) {
        let reply = self.replies.get(&request.host);
        if let Some(reply) = reply.filter(|_| request.confirms.is_some()) {
            self.member_until = self
                .member_until
                .max(reply.answered_at + MEMBERSHIP_DURATION);
        }
    }

    /// Whether `host` keeps the pool that this host's share counts in, or is joining.
    pub fn is_owner(&self, host: &str) -> bool {
        self.owner.as_deref() == Some(host)
    }

    /// Whether tokens of the pool are valid.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until
    }

    /// Records that `host` keeps no pool; `was_left` if this host has asked to leave it.
    pub fn no_pool(&mut self, now: Instant, host: &str, was_left: bool) {
        if !was_left {
            self.skip(now, host);
        }
        self.replies.remove(host);
        if self.is_owner(host) {
            self.leave(now);
        }
    }

    /// Records that a host did not answer.
    pub fn unanswered(&mut self, now: Instant, host: &str) {
        self.skip(now, host);
        self.replies.remove(host);
    }

    fn skip(&mut self, now: Instant, host: &str) {
        let until = now + SKIP_DURATION;
        self.skipped_until.insert(host.to_owned(), until);
    }

    /// Records the reply to a request that confirmed `confirms`; true if this host's share counts
    /// by it, so that the grants in the reply are valid.
    pub fn record_reply(
        &mut self,
        host: &str,
        reply: PoolReply,
        confirms: Option<PoolTime>,
    ) -> bool {
        let now = reply.answered_at;
        let before = self.replies.insert(host.to_owned(), reply);
        let Some(confirms) = confirms.filter(|_| self.is_owner(host)) else {
            return false;
        };
        if confirms.incarnation != reply.stamp.incarnation {
            // The pool in which this host counted ended with the restart of its host.
            self.leave(now);
            return false;
        }
        let Some(confirmed) = before.filter(|before| before.stamp == confirms) else {
            return false;
        };
        // The pool counts this host for this duration after the confirmed stamp, which is no
        // earlier than the request whose reply contained the stamp.
        self.valid_until = self
            .valid_until
            .max(confirmed.asked_at + MEMBERSHIP_DURATION);
        true
    }
}

/// The recipient and kind of a request, without the demands.
#[derive(Debug)]
pub(super) struct MembershipRequest {
    pub host: HostName,
    /// Stamp of the recipient's last reply; `None` to ask only whether it keeps a pool.
    pub confirms: Option<PoolTime>,
    /// Whether this host's share stops counting there.
    pub leaves: bool,
}

impl MembershipRequest {
    fn join(host: HostName, confirms: Option<PoolTime>) -> Self {
        MembershipRequest {
            host,
            confirms,
            leaves: false,
        }
    }

    fn leave(host: HostName) -> Self {
        MembershipRequest {
            host,
            confirms: None,
            leaves: true,
        }
    }
}
