//! Hosts, upstreams and a platform in one process, on loopback.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use operator::OperatorClient;
use rand::Rng;
use serde_json::{Value, json};
use stagedeck::{Addresses, Config, Host, Sockets};
use steering::Document;
use steering::document::{Change, Edit, Proposal, ProposalOutcome};
use steering::history::History;
use steering::ids::Revision;
use store::{ConfigStore, HttpPlatform};
use tokio::runtime::{Builder, Handle, Runtime};

use crate::link::{Link, LinkState};
use crate::platform::StandInPlatform;
use crate::upstream::{Behaviour, StandInUpstream};

/// 127.128.0.0: the upper half of the loopback range.
const OWN_LOOPBACK: u32 = 0x7f80_0000;
/// Addresses that one process takes before it begins again.
const ADDRESSES_A_PROCESS: u32 = 1 << 14;
/// Processes at the same time that have addresses of their own; the last part,
/// which holds the broadcast address, is left out.
const PROCESSES: u32 = (1 << 9) - 1;
const PEER_KEY: &str = "a key for trials on loopback";
const START_LIMIT: Duration = Duration::from_secs(20);
const ASK_EVERY: Duration = Duration::from_millis(20);

/// A loopback address that nothing else in this process has, any port.
///
/// The port of a host that was killed goes to whoever listens next. Were all on
/// one address, a request to the lost host could reach a stranger's stand-in.
pub fn any_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % ADDRESSES_A_PROCESS;
    let process = std::process::id() % PROCESSES;
    let own = OWN_LOOPBACK | (process * ADDRESSES_A_PROCESS + number);
    SocketAddr::from((Ipv4Addr::from_bits(own), 0))
}

/// A host to start.
#[derive(Debug, Clone)]
pub struct HostPlan {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// The links of a host: to the platform, and from other hosts to it.
pub struct HostLinks {
    /// To the platform.
    pub platform: Link,
    /// From other hosts, for relayed requests; none until it is known where to.
    pub relays: Option<Link>,
    /// From other hosts, for messages.
    pub peers: Option<Link>,
}

impl HostLinks {
    fn towards(self, addresses: &Addresses, runtime: &Handle) -> io::Result<HostLinks> {
        Ok(HostLinks {
            relays: Some(Link::start(addresses.relay, runtime)?),
            peers: Some(Link::start(addresses.peer, runtime)?),
            ..self
        })
    }

    /// Sets the links from other hosts.
    pub fn set_hosts(&self, state: LinkState) {
        for link in self.relays.iter().chain(&self.peers) {
            link.set(state);
        }
    }
}

/// A deployment to start.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// Its hosts.
    pub hosts: Vec<HostPlan>,
    /// Its configuration; upstreams get the addresses of their stand-ins.
    pub document: Document,
    /// How the upstreams behave at first; slots are those of the document.
    pub behaviour: Behaviour,
    /// What the hosts log.
    pub log: String,
    /// Changes to each host's settings.
    pub tune: fn(&mut Config),
    /// Whether hosts are reached over links that can be cut; each costs sockets.
    pub links: bool,
}

impl DeploymentPlan {
    /// Two zones in two regions with one host each, two services (`surcos` with
    /// tickets of mode `home`, `manifiestos` of mode `store`), two upstreams of
    /// each in each zone.
    pub fn small() -> Self {
        DeploymentPlan {
            hosts: vec![HostPlan::new("n1", "norte"), HostPlan::new("p1", "puerto")],
            document: small_document(),
            behaviour: Behaviour::default(),
            log: "error".to_owned(),
            tune: |_| {},
            links: true,
        }
    }
}

impl HostPlan {
    /// A host in a zone.
    pub fn new(name: &str, zone: &str) -> Self {
        HostPlan {
            name: name.to_owned(),
            zone: zone.to_owned(),
        }
    }
}

/// Two upstreams of `surcos` and two of `manifiestos` in each of two zones; their
/// addresses are replaced when their stand-ins start.
pub(crate) fn upstreams_in(zones: [&str; 2]) -> Vec<Value> {
    let mut upstreams = Vec::new();
    for (service, slots) in [("surcos", 9), ("manifiestos", 3)] {
        for zone in zones {
            for number in 1..=2 {
                upstreams.push(json!({
                    "name": format!("{service}-{zone}-{number}"),
                    "service": service,
                    "zone": zone,
                    "address": format!("127.0.0.1:{}", upstreams.len() + 1),
                    "slots": slots,
                }));
            }
        }
    }
    upstreams
}

fn small_document() -> Document {
    let service = |name: &str, mode: &str| {
        json!({"name": name, "ticket_mode": mode, "expected_ms": 8.0, "deadline_ms": 5000,
               "body_limit_bytes": 300_000})
    };
    serde_json::from_value(json!({
        "regions": [{"name": "sierra"}, {"name": "costa"}],
        "zones": [{"name": "norte", "region": "sierra"}, {"name": "puerto", "region": "costa"}],
        "links": [{"from": "sierra", "to": "costa", "one_way_ms": 35.0}],
        "services": [service("surcos", "home"), service("manifiestos", "store")],
        "upstreams": upstreams_in(["norte", "puerto"]),
    }))
    .expect("the document is valid")
}

/// A running deployment.
pub struct Deployment {
    /// The platform.
    pub platform: StandInPlatform,
    /// The upstreams, by name.
    pub upstreams: BTreeMap<String, StandInUpstream>,
    /// The hosts, by name.
    pub hosts: BTreeMap<String, Host>,
    /// The links of each host, by its name.
    pub links: BTreeMap<String, HostLinks>,
    plan: DeploymentPlan,
    runtime: Runtime,
}

impl Deployment {
    /// Starts all of it and waits until every host has the configuration.
    pub fn start(mut plan: DeploymentPlan) -> io::Result<Deployment> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name("upstreams")
            .enable_all()
            .build()?;
        let platform = StandInPlatform::start(any_port())?;
        let mut upstreams = BTreeMap::new();
        for upstream in &mut plan.document.upstreams {
            let behaviour = Behaviour {
                slots: upstream.slots,
                ..plan.behaviour.clone()
            };
            let name = upstream.name.clone();
            let started = StandInUpstream::start(&name, any_port(), behaviour, runtime.handle())?;
            upstream.address = started.address();
            upstreams.insert(name, started);
        }
        put_in_force(platform.address(), &plan.document)?;
        let mut deployment = Deployment {
            platform,
            upstreams,
            hosts: BTreeMap::new(),
            links: BTreeMap::new(),
            plan,
            runtime,
        };
        for host in deployment.plan.hosts.clone() {
            deployment.start_host(&host)?;
        }
        deployment.settle()?;
        Ok(deployment)
    }

    /// Starts a host, or another start of one that is gone.
    pub fn start_host(&mut self, host: &HostPlan) -> io::Result<()> {
        self.start_host_with(host, |_| {})
    }

    /// Starts a host with a change to its settings.
    pub fn start_host_with(
        &mut self,
        host: &HostPlan,
        tune: impl FnOnce(&mut Config),
    ) -> io::Result<()> {
        let links = HostLinks {
            platform: Link::start(self.platform.address(), self.runtime.handle())?,
            relays: None,
            peers: None,
        };
        let mut config = Config {
            host: host.name.clone(),
            zone: host.zone.clone(),
            caller_address: any_port(),
            relay_address: any_port(),
            peer_address: any_port(),
            operator_address: any_port(),
            platform_address: links.platform.address(),
            advertised: Default::default(),
            peer_key: PEER_KEY.to_owned(),
            seeds: Vec::new(),
            platform_timeout_ms: 1_000,
            look_up_ttl_ms: 500,
            ticket_ttl_ms: 2_000,
            host_list_lag_ms: 2_000,
            traffic_threads: 1,
            log: self.plan.log.clone(),
            limits: Default::default(),
        };
        (self.plan.tune)(&mut config);
        tune(&mut config);
        let sockets = Sockets::bind(&config).map_err(io::Error::other)?;
        if self.plan.links {
            let links = links.towards(&sockets.addresses()?, self.runtime.handle())?;
            config.advertised.relay_address = links.relays.as_ref().map(Link::address);
            config.advertised.peer_address = links.peers.as_ref().map(Link::address);
            self.links.insert(host.name.clone(), links);
        } else {
            config.platform_address = self.platform.address();
        }
        let started = Host::start(config, sockets).map_err(io::Error::other)?;
        self.hosts.insert(host.name.clone(), started);
        Ok(())
    }

    /// Waits until every host knows all hosts and the last revision, and has
    /// heard of every upstream that it owns.
    pub fn settle(&self) -> io::Result<()> {
        let begun = Instant::now();
        while !self.is_settled() {
            if begun.elapsed() > START_LIMIT {
                return Err(io::Error::other(format!(
                    "not settled: {}",
                    self.describe()
                )));
            }
            std::thread::sleep(ASK_EVERY);
        }
        Ok(())
    }

    fn is_settled(&self) -> bool {
        let statuses: Vec<_> = self
            .hosts
            .keys()
            .filter_map(|name| self.operator(name).status().ok())
            .collect();
        let Some(revision) = statuses.iter().map(|status| status.revision).max() else {
            return self.hosts.is_empty();
        };
        let zones: Vec<&str> = statuses.iter().map(|status| status.zone.as_str()).collect();
        let active = |zone: &str| zones.contains(&zone);
        let owned: usize = statuses
            .iter()
            .flat_map(|status| &status.pools)
            .map(|pool| pool.upstreams.len())
            .sum();
        let upstreams = self.plan.document.upstreams.iter();
        let expected = upstreams.filter(|upstream| active(&upstream.zone)).count();
        let of_zone = |zone: &str| zones.iter().filter(|other| **other == zone).count();
        let knows_enough = |status: &operator::Status| {
            let known = |zone: &str| status.hosts.iter().filter(|h| h.zone == zone).count();
            let all_zones = zones.iter().all(|zone| known(zone) > 0);
            all_zones && known(&status.zone) >= of_zone(&status.zone)
        };
        statuses.len() == self.hosts.len()
            && owned >= expected
            && statuses
                .iter()
                .all(|status| status.revision == revision && knows_enough(status))
    }

    /// What each host knows, in a line.
    fn describe(&self) -> String {
        let describe = |name: &String| match self.operator(name).status() {
            Ok(status) => {
                let hosts: Vec<&str> = status.hosts.iter().map(|h| h.name.as_str()).collect();
                let pools: usize = status.pools.iter().map(|pool| pool.upstreams.len()).sum();
                format!(
                    "{name} at {} knows {hosts:?}, owns {pools}",
                    status.revision
                )
            }
            Err(error) => format!("{name}: {error}"),
        };
        self.hosts
            .keys()
            .map(describe)
            .collect::<Vec<_>>()
            .join("; ")
    }

    /// Where a host listens.
    pub fn addresses(&self, host: &str) -> Addresses {
        *self.hosts[host].addresses()
    }

    /// Operators' client of a host.
    pub fn operator(&self, host: &str) -> OperatorClient {
        OperatorClient::new(self.addresses(host).operator, Duration::from_secs(5))
    }

    /// Proposes one edit at a host, against what is in force there.
    pub fn propose(&self, host: &str, edit: Edit) -> io::Result<ProposalOutcome> {
        let operator = self.operator(host);
        let base = operator.document().map_err(io::Error::other)?.revision;
        let change = Change {
            id: format!("{host}-{base}-{:x}", rand::rng().random::<u64>()),
            edits: vec![edit],
        };
        let proposal = Proposal { change, base };
        operator.propose(&proposal).map_err(io::Error::other)
    }

    /// Proposes one edit, and waits until it is in force on every host.
    pub fn put_in_force(&self, host: &str, edit: Edit) -> io::Result<Duration> {
        let begun = Instant::now();
        let ProposalOutcome::Accepted(revision) = self.propose(host, edit)? else {
            return Err(io::Error::other("the change was not accepted"));
        };
        eventually("the change is in force on every host", || {
            self.hosts
                .keys()
                .all(|name| self.revision(name) >= revision)
        })?;
        Ok(begun.elapsed())
    }

    /// The revision in force on a host; 0 where it can't be asked.
    pub fn revision(&self, host: &str) -> Revision {
        self.operator(host)
            .status()
            .map_or(0, |status| status.revision)
    }

    /// Bytes of messages that a host has sent to and received from others so far.
    pub fn peer_bytes(&self, host: &str) -> u64 {
        let dump = self.operator(host).dump().unwrap_or_default();
        let bytes = |field: &str| dump[field].as_u64().unwrap_or(0);
        bytes("peer_sent_bytes") + bytes("peer_received_bytes")
    }

    /// Callers' addresses of all hosts.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.hosts
            .values()
            .map(|host| host.addresses().caller)
            .collect()
    }

    /// Ends a host as a crash would.
    pub fn kill(&mut self, host: &str) {
        self.links.remove(host);
        if let Some(host) = self.hosts.remove(host) {
            host.kill();
        }
    }

    /// Takes a host out, to stop it elsewhere.
    pub fn take(&mut self, host: &str) -> Option<Host> {
        self.hosts.remove(host)
    }

    /// Times that each operation ran, over all upstreams.
    pub fn operations(&self) -> BTreeMap<String, u32> {
        let mut all = BTreeMap::new();
        for upstream in self.upstreams.values() {
            for (operation, times) in upstream.counts().operations {
                *all.entry(operation).or_default() += times;
            }
        }
        all
    }
}

fn put_in_force(platform: SocketAddr, document: &Document) -> io::Result<()> {
    let platform = HttpPlatform::new(platform, Duration::from_secs(5));
    let change = Document::default().difference(document, "first".to_owned());
    let proposal = Proposal { change, base: 0 };
    let verdict = ConfigStore::new(&platform).propose(&mut History::default(), &proposal);
    match verdict {
        ProposalOutcome::Accepted(_) => Ok(()),
        other => Err(io::Error::other(format!("{other:?}"))),
    }
}

/// Asks again and again until `holds`, and says so if it never does.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) -> io::Result<()> {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > START_LIMIT {
            return Err(io::Error::other(format!("never: {what}")));
        }
        std::thread::sleep(ASK_EVERY);
    }
    Ok(())
}
