//! Requests tokens of upstreams' rate limits from other hosts, and grants tokens of the shares that
//! this host holds.

use std::rc::Rc;
use std::time::Duration;

use steering::membership::HostEntry;
use steering::route::{
    HostMessage, HostReply, LimitReply, LimitTokenRequest, LimitTolerance, holders,
};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;

use super::Control;
use crate::limits::{LimitCall, NoToken};

/// Longest wait for a token: one round trip between distant regions, or several within a region.
/// Choosing another upstream would be faster than waiting longer.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(120);
/// Time for which an upstream is skipped when not all holders could be asked in time, since the
/// remaining ones may have a token.
const RETRY_DELAY: Duration = Duration::from_millis(20);

impl Control {
    /// Answers token requests of the traffic thread until the task is aborted.
    pub(super) async fn serve_limits(self: Rc<Self>, mut calls: UnboundedReceiver<LimitCall>) {
        while let Some(call) = calls.recv().await {
            let control = Rc::clone(&self);
            spawn_local(async move {
                let token = control.obtain_token(&call.ask).await;
                // The request may have been dropped.
                let _ = call.answer.send(token);
            });
        }
    }

    /// Asks the holders of a limit one after the other.
    async fn obtain_token(&self, ask: &LimitTokenRequest) -> Result<(), NoToken> {
        let start = ask.start();
        let deadline = clock::now() + TOKEN_TIMEOUT;
        loop {
            let now = clock::now();
            if now >= deadline {
                return Err(NoToken(RETRY_DELAY));
            }
            let holders = self.holders(ask);
            let names: Vec<&str> = holders.iter().map(|host| host.name.as_str()).collect();
            let next = {
                let mut selector = self.holder_selector.borrow_mut();
                selector.next(now, &start, &names, &self.this_host.name)
            };
            let name = next.map_err(NoToken)?;
            let host = holders.iter().find(|host| host.name == name);
            let reply = match host {
                Some(host) if host.name != self.this_host.name => {
                    let left = deadline.saturating_duration_since(now);
                    self.ask_holder(host, ask, left).await
                }
                _ => Some(self.give_token(&self.this_host.name, ask, holders.len())),
            };
            if reply == Some(LimitReply::Granted) {
                return Ok(());
            }
            let mut selector = self.holder_selector.borrow_mut();
            selector.answered(clock::now(), &start, name, reply);
        }
    }

    async fn ask_holder(
        &self,
        host: &HostEntry,
        ask: &LimitTokenRequest,
        within: Duration,
    ) -> Option<LimitReply> {
        let message = HostMessage::Limit(ask.clone());
        match self.ask_host(host, &message, within).await {
            Ok(HostReply::Limit(reply)) => Some(reply),
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(event = "limit_unheard", host = host.name, %error);
                None
            }
        }
    }

    /// Answers another host's token request.
    pub(super) fn answer_limit(&self, from: &str, ask: &LimitTokenRequest) -> LimitReply {
        let holders = self.holders(ask);
        match holders.iter().any(|host| host.name == self.this_host.name) {
            true => self.give_token(from, ask, holders.len()),
            false => LimitReply::NotAHolder,
        }
    }

    fn give_token(&self, asker: &str, ask: &LimitTokenRequest, holders: usize) -> LimitReply {
        let terms = LimitTolerance::default();
        let mut tokens = self.limit_tokens.borrow_mut();
        let (reply, change) = tokens.take(clock::now(), asker, ask, holders, &terms);
        if let Some(change) = change {
            tracing::info!(
                event = "limit_part",
                upstream = ask.upstream,
                born_ms = ask.started_ms,
                per_s = change.per_s,
                holders = change.holders,
                part_per_s = change.share.per_s,
                depth = change.share.depth
            );
        }
        reply
    }

    /// Hosts that hold shares of the rate limit of a started upstream: some hosts of its region, or
    /// of all regions if its region has none. Only listed hosts hold shares: a host that others
    /// don't know of would exceed the total.
    fn holders(&self, ask: &LimitTokenRequest) -> Vec<HostEntry> {
        let known_state = self.known_state.borrow();
        let rows = known_state.host_table.list().rows();
        let regions = &self.common.settings.regions;
        let region = regions.get(&ask.zone);
        let is_in_region =
            |host: &&HostEntry| region.is_some() && regions.get(&host.zone) == region;
        let mut hosts: Vec<&HostEntry> = rows.clone().filter(is_in_region).collect();
        if hosts.is_empty() {
            hosts = rows.collect();
        }
        let names = hosts.iter().map(|host| host.name.as_str());
        let ranked = holders(&ask.start(), ask.per_s, names);
        let entry = |name: &str| hosts.iter().find(|host| host.name == name);
        let ranked = ranked.into_iter().filter_map(entry);
        ranked.map(|host| (*host).clone()).collect()
    }
}
