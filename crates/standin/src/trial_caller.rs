//! A caller for trials: looks up, caches, sends, and checks what comes back.

use std::io::Read;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use ureq::Agent;

use crate::upstream::OPERATION_HEADER;

const ANSWER_LIMIT_BYTES: u64 = 16 << 20;
const PINNED: Duration = Duration::from_secs(3_600);

/// What a caller got.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The upstream's whole answer.
    Answered(Value),
    /// An error of the system's own, with what it says of the request having run.
    Refused {
        /// Status.
        status: u16,
        /// Error kind.
        error: String,
        /// What is said about the request having run.
        not_run: String,
    },
    /// The answer broke off, or none came.
    Cut(String),
}

/// One caller with its cache.
pub struct TrialCaller {
    agent: Agent,
    entries: Vec<SocketAddr>,
    service: String,
    found: Vec<SocketAddr>,
    found_until: Option<Instant>,
    tickets: Vec<String>,
    ticket_host: Option<SocketAddr>,
    tickets_until: Option<Instant>,
    asked: u64,
}

impl TrialCaller {
    /// A caller that knows these hosts at first.
    pub fn new(service: &str, entries: Vec<SocketAddr>) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(Duration::from_secs(30)))
            .http_status_as_error(false)
            .build();
        TrialCaller {
            agent: config.into(),
            entries,
            service: service.to_owned(),
            found: Vec::new(),
            found_until: None,
            tickets: Vec::new(),
            ticket_host: None,
            tickets_until: None,
            asked: 0,
        }
    }

    /// Uses one host from now on, without look-ups.
    pub fn pin(&mut self, host: SocketAddr) {
        self.found = vec![host];
        self.found_until = Some(Instant::now() + PINNED);
    }

    /// Looks up where the cache has lapsed; the hosts to use, best first.
    pub fn hosts(&mut self) -> Vec<SocketAddr> {
        let fresh = self.found_until.is_some_and(|until| Instant::now() < until);
        if !fresh {
            self.look_up(0);
        }
        self.found.clone()
    }

    fn look_up(&mut self, tickets: usize) -> bool {
        let known: Vec<SocketAddr> = self.found.iter().chain(&self.entries).copied().collect();
        for host in known {
            let url = format!(
                "http://{host}/v1/hosts?service={}&tickets={tickets}",
                self.service
            );
            let answer = self.agent.get(url).call().ok();
            let found = answer.filter(|answer| answer.status() == 200);
            let found: Option<Value> =
                found.and_then(|mut answer| answer.body_mut().read_json().ok());
            if let Some(found) = found {
                self.take(&found);
                return true;
            }
        }
        false
    }

    fn take(&mut self, found: &Value) {
        let now = Instant::now();
        let address = |value: &Value| value.as_str().and_then(|text| text.parse().ok());
        let lapse = |field: &str| now + Duration::from_millis(found[field].as_u64().unwrap_or(0));
        let hosts = found["hosts"].as_array().cloned().unwrap_or_default();
        self.found = hosts
            .iter()
            .filter_map(|host| address(&host["address"]))
            .collect();
        self.found_until = Some(lapse("ttl_ms"));
        if let Some(tickets) = found["tickets"].as_array() {
            let text = |ticket: &Value| ticket.as_str().map(str::to_owned);
            self.tickets = tickets.iter().filter_map(text).collect();
            self.ticket_host = address(&found["ticket_host"]);
            self.tickets_until = Some(lapse("ticket_ttl_ms"));
        }
    }

    /// A ticket and the host to send it to.
    pub fn ticket(&mut self) -> Option<(String, SocketAddr)> {
        let fresh = self
            .tickets_until
            .is_some_and(|until| Instant::now() < until);
        if !fresh || self.tickets.is_empty() {
            self.tickets.clear();
            self.look_up(8);
        }
        Some((self.tickets.pop()?, self.ticket_host?))
    }

    /// A repeatable request; other hosts are tried where one can't be reached.
    pub fn get(&mut self, path: &str) -> Reply {
        let mut last = Reply::Cut("no host is known".to_owned());
        for host in self.hosts() {
            self.asked += 1;
            last = self.get_at(host, path);
            let unreachable = matches!(last, Reply::Cut(_));
            let refused = matches!(&last, Reply::Refused { not_run, .. } if not_run == "true");
            if !unreachable && !refused {
                return last;
            }
        }
        self.found_until = None;
        last
    }

    /// Requests that [`TrialCaller::get`] has sent to hosts.
    pub fn asked(&self) -> u64 {
        self.asked
    }

    /// A repeatable request to one host.
    pub fn get_at(&self, host: SocketAddr, path: &str) -> Reply {
        let url = format!("http://{host}/services/{}{path}", self.service);
        read(self.agent.get(url).call())
    }

    /// Work that may not be repeated, under a ticket, to one host.
    pub fn post_at(&self, host: SocketAddr, path: &str, operation: &str, ticket: &str) -> Reply {
        let headers = [("stagedeck-ticket", ticket)];
        self.post(host, path, operation, &headers, operation)
    }

    /// Work that may not be repeated, under the caller's own key.
    pub fn post_keyed(&self, host: SocketAddr, path: &str, operation: &str, key: &str) -> Reply {
        let headers = [("idempotency-key", key)];
        self.post(host, path, operation, &headers, operation)
    }

    /// Work with these headers and this body, to one host.
    pub fn post(
        &self,
        host: SocketAddr,
        path: &str,
        operation: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let url = format!("http://{host}/services/{}{path}", self.service);
        let request = self.agent.post(url).header(OPERATION_HEADER, operation);
        let request = headers.iter().fold(request, |request, (name, value)| {
            request.header(*name, *value)
        });
        read(request.send(body))
    }

    /// Downloads, reading to the end; the number of bytes that came.
    pub fn download(&mut self, path: &str) -> Result<u64, String> {
        let host = *self.hosts().first().ok_or("no host is known")?;
        let url = format!("http://{host}/services/{}{path}", self.service);
        let mut answer = self
            .agent
            .get(url)
            .call()
            .map_err(|error| error.to_string())?;
        if answer.status() != 200 {
            return Err(format!("status {}", answer.status()));
        }
        let mut reader = answer.body_mut().as_reader();
        let mut buffer = vec![0; 65_536];
        let mut total = 0;
        loop {
            match reader.read(&mut buffer) {
                Ok(0) => return Ok(total),
                Ok(read) => total += read as u64,
                Err(error) => return Err(error.to_string()),
            }
        }
    }
}

fn read(answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Reply {
    let mut answer = match answer {
        Ok(answer) => answer,
        Err(error) => return Reply::Cut(error.to_string()),
    };
    let header = |name: &str| {
        let value = answer.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    if let Some(error) = header("stagedeck-error") {
        return Reply::Refused {
            status: answer.status().as_u16(),
            error,
            not_run: header("stagedeck-not-run").unwrap_or_default(),
        };
    }
    let body = answer
        .body_mut()
        .with_config()
        .limit(ANSWER_LIMIT_BYTES)
        .read_to_vec();
    match body {
        Ok(body) => Reply::Answered(serde_json::from_slice(&body).unwrap_or(Value::Null)),
        Err(error) => Reply::Cut(error.to_string()),
    }
}
