//! Operator endpoint, served by `tiny_http` on its own thread.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use serde::Serialize;
use steering::document::{Proposal, ProposalOutcome};
use tiny_http::{Header, Method, Request, Response, Server};

use crate::messages::{InForce, Status};
use crate::{CHANGES_PATH, DOCUMENT_PATH, DUMP_PATH, METRICS_PATH, STATUS_PATH};

const MAX_PROPOSAL_BYTES: u64 = 512 << 20;

/// Answers the requests of operators; called on the endpoint's thread.
pub trait OperatorHandler: Send + Sync {
    /// Returns the status of the host; none if the host is shutting down.
    fn status(&self) -> Option<Status>;
    /// Returns the complete state of the host; none if the host is shutting down.
    fn dump(&self) -> Option<serde_json::Value>;
    /// Returns the configuration in force; none if the host is shutting down.
    fn document(&self) -> Option<InForce>;
    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
    /// Proposes a change to the platform.
    fn propose(&self, proposal: Proposal) -> ProposalOutcome;
}

/// Operator endpoint of a host; stops when dropped.
pub struct OperatorServer {
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorServer {
    /// Starts serving on a socket.
    pub fn start(listener: TcpListener, handler: Arc<dyn OperatorHandler>) -> io::Result<Self> {
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let serving = Arc::clone(&server);
        let thread = thread::Builder::new()
            .name("operator".to_owned())
            .spawn(move || serve(&serving, &*handler))?;
        Ok(OperatorServer {
            server,
            thread: Some(thread),
        })
    }

    /// Returns the address that the endpoint listens on.
    pub fn address(&self) -> Option<SocketAddr> {
        self.server.server_addr().to_ip()
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was already reported by the panic hook.
            let _ = thread.join();
        }
    }
}

fn serve(server: &Server, handler: &dyn OperatorHandler) {
    while let Ok(mut request) = server.recv() {
        let answer = answer(&mut request, handler);
        if let Err(error) = request.respond(answer) {
            tracing::debug!(event = "operator_left", %error);
        }
    }
}

type Answer = Response<io::Cursor<Vec<u8>>>;

fn answer(request: &mut Request, handler: &dyn OperatorHandler) -> Answer {
    let path = request.url().split('?').next().unwrap_or("").to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, STATUS_PATH) => optional_json(handler.status()),
        (Method::Get, DUMP_PATH) => optional_json(handler.dump()),
        (Method::Get, DOCUMENT_PATH) => optional_json(handler.document()),
        (Method::Get, METRICS_PATH) => Response::from_string(handler.metrics()),
        (Method::Post, CHANGES_PATH) => propose(request, handler),
        _ => error_answer(404, &format!("no `{path}` here")),
    }
}

fn propose(request: &mut Request, handler: &dyn OperatorHandler) -> Answer {
    let mut body = Vec::new();
    let read = request
        .as_reader()
        .take(MAX_PROPOSAL_BYTES)
        .read_to_end(&mut body);
    if let Err(error) = read {
        return error_answer(400, &error.to_string());
    }
    match serde_json::from_slice(&body) {
        Ok(proposal) => json(&handler.propose(proposal)),
        Err(error) => error_answer(400, &error.to_string()),
    }
}

fn optional_json<T: Serialize>(value: Option<T>) -> Answer {
    match value {
        Some(value) => json(&value),
        None => error_answer(503, "the host is ending"),
    }
}

fn json<T: Serialize>(value: &T) -> Answer {
    let body = serde_json::to_vec(value).expect("answers are valid JSON");
    let header = Header::from_bytes("content-type", "application/json").expect("a valid header");
    Response::from_data(body).with_header(header)
}

fn error_answer(status: u16, text: &str) -> Answer {
    Response::from_string(text).with_status_code(status)
}
