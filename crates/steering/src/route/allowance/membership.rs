//! A host's place in the pools of one group of customers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::MEMBER_FOR;
use super::message::PoolTime;
use crate::ids::HostName;

/// Time after which a host that did not answer, or keeps no pool, is asked again.
const PASSED_OVER_FOR: Duration = Duration::from_secs(4);

/// A host's place in the pools of one group.
#[derive(Debug)]
pub(super) struct Membership {
    /// Host whose pool its part counts in, or is to.
    pub owner: Option<HostName>,
    /// Stamps of the last answers, with the moments of question and answer: of the owner and
    /// of the host that may be the next one.
    heard: HashMap<HostName, Heard>,
    /// Until when its part may count in the owner's pool.
    pub counts_until: Instant,
    /// Until when tokens of this pool are good.
    pub good_until: Instant,
    /// Hosts that are not asked before a moment.
    passed_over: HashMap<HostName, Instant>,
}

/// An answer of a host.
#[derive(Debug, Clone, Copy)]
pub(super) struct Heard {
    pub stamp: PoolTime,
    pub asked: Instant,
    pub answered: Instant,
}

impl Membership {
    pub fn new(now: Instant) -> Self {
        Membership {
            owner: None,
            heard: HashMap::new(),
            counts_until: now,
            good_until: now,
            passed_over: HashMap::new(),
        }
    }

    fn leave(&mut self, now: Instant) {
        self.owner = None;
        self.counts_until = now;
        self.good_until = now;
    }

    /// What to ask next; nothing where the host's part still counts in a pool whose host does
    /// not answer.
    pub fn next(&mut self, now: Instant, ranked: &[&str]) -> Option<Question> {
        self.passed_over.retain(|_, until| *until > now);
        let mut free = ranked.iter();
        let first = free.find(|host| !self.passed_over.contains_key(**host));
        let first = (*first?).to_owned();
        let owner = self.owner.clone().filter(|_| now < self.counts_until);
        let Some(owner) = owner else {
            self.leave(now);
            self.owner = Some(first.clone());
            let stamp = self.stamp(now, &first);
            return Some(Question::join(first, stamp));
        };
        if owner == first {
            let stamp = self.stamp(now, &owner);
            return Some(Question::join(owner, stamp));
        }
        let is_silent = self.passed_over.contains_key(&owner);
        match (self.stamp(now, &first), is_silent) {
            // It answers: the part may go over to it.
            (Some(_), false) => Some(Question::leave(owner)),
            (Some(_), true) => None,
            (None, _) => Some(Question::join(first, None)),
        }
    }

    /// The last stamp of a host, where it is young enough to be confirmed.
    fn stamp(&self, now: Instant, host: &str) -> Option<PoolTime> {
        let heard = self.heard.get(host)?;
        (now < heard.asked + MEMBER_FOR).then_some(heard.stamp)
    }

    /// Notes that a question is sent: where it confirms a stamp, the host's part may count.
    pub fn asks(&mut self, question: &Question) {
        let heard = self.heard.get(&question.host);
        if let Some(heard) = heard.filter(|_| question.confirms.is_some()) {
            self.counts_until = self.counts_until.max(heard.answered + MEMBER_FOR);
        }
    }

    /// Whether a host keeps the pool that this host's part counts in, or is to.
    pub fn is_owner(&self, host: &str) -> bool {
        self.owner.as_deref() == Some(host)
    }

    /// Whether tokens of the pool are good.
    pub fn is_good(&self, now: Instant) -> bool {
        now < self.good_until
    }

    /// Takes that a host keeps no pool; `was_left` where this host has left it.
    pub fn no_pool(&mut self, now: Instant, host: &str, was_left: bool) {
        if !was_left {
            self.pass_over(now, host);
        }
        self.heard.remove(host);
        if self.is_owner(host) {
            self.leave(now);
        }
    }

    /// Takes that a host gave no answer.
    pub fn unanswered(&mut self, now: Instant, host: &str) {
        self.pass_over(now, host);
        self.heard.remove(host);
    }

    fn pass_over(&mut self, now: Instant, host: &str) {
        let until = now + PASSED_OVER_FOR;
        self.passed_over.insert(host.to_owned(), until);
    }

    /// Takes the stamp of an answer to a question that confirmed `confirms`; true where this
    /// host's part counts by it, so that what it grants holds.
    pub fn stamped(&mut self, host: &str, heard: Heard, confirms: Option<PoolTime>) -> bool {
        let now = heard.answered;
        let before = self.heard.insert(host.to_owned(), heard);
        let Some(confirms) = confirms.filter(|_| self.is_owner(host)) else {
            return false;
        };
        if confirms.incarnation != heard.stamp.incarnation {
            // The pool that this host counted in has ended with its host.
            self.leave(now);
            return false;
        }
        let Some(confirmed) = before.filter(|before| before.stamp == confirms) else {
            return false;
        };
        // The pool counts this host for as long after the moment of the stamp that it has
        // confirmed, which is no earlier than the question whose answer brought it.
        self.good_until = self.good_until.max(confirmed.asked + MEMBER_FOR);
        true
    }
}

/// What to ask of whom, without what is wanted.
#[derive(Debug)]
pub(super) struct Question {
    pub host: HostName,
    /// Time of its last answer; none where it is only to be heard whether it answers.
    pub confirms: Option<PoolTime>,
    /// Whether this host's part is to count there no more.
    pub leaves: bool,
}

impl Question {
    fn join(host: HostName, confirms: Option<PoolTime>) -> Self {
        Question {
            host,
            confirms,
            leaves: false,
        }
    }

    fn leave(host: HostName) -> Self {
        Question {
            host,
            confirms: None,
            leaves: true,
        }
    }
}
