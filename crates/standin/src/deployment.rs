//! Hosts, upstreams and a platform in one process, on loopback.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use operator::OperatorClient;
use platform::{ConfigStore, HttpPlatform};
use stagedeck::{Addresses, Config, Host, Sockets};
use steering::Document;
use steering::document::{Proposal, Verdict};
use steering::history::History;
use tokio::runtime::{Builder, Runtime};

use crate::platform::StandInPlatform;
use crate::upstream::{Behaviour, StandInUpstream};

const PEER_KEY: &str = "a key for trials on loopback";
const START_LIMIT: Duration = Duration::from_secs(20);
const ASK_EVERY: Duration = Duration::from_millis(20);

/// Loopback, any port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A host to start.
#[derive(Debug, Clone)]
pub struct HostPlan {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
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
}

/// A running deployment.
pub struct Deployment {
    /// The platform.
    pub platform: StandInPlatform,
    /// The upstreams, by name.
    pub upstreams: BTreeMap<String, StandInUpstream>,
    /// The hosts, by name.
    pub hosts: BTreeMap<String, Host>,
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
        let mut config = Config {
            host: host.name.clone(),
            zone: host.zone.clone(),
            caller_address: any_port(),
            relay_address: any_port(),
            peer_address: any_port(),
            operator_address: any_port(),
            platform_address: self.platform.address(),
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
        let sockets = Sockets::bind(&config).map_err(io::Error::other)?;
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
                return Err(io::Error::other("the hosts did not settle"));
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
        statuses.len() == self.hosts.len()
            && owned >= expected
            && statuses
                .iter()
                .all(|status| status.revision == revision && status.hosts.len() >= self.hosts.len())
    }

    /// Where a host listens.
    pub fn addresses(&self, host: &str) -> Addresses {
        *self.hosts[host].addresses()
    }

    /// Operators' client of a host.
    pub fn operator(&self, host: &str) -> OperatorClient {
        OperatorClient::new(self.addresses(host).operator, Duration::from_secs(5))
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
        if let Some(host) = self.hosts.remove(host) {
            host.kill();
        }
    }

    /// Takes a host out, to stop it elsewhere.
    pub fn take(&mut self, host: &str) -> Option<Host> {
        self.hosts.remove(host)
    }

    /// The configuration as it was started with.
    pub fn document(&self) -> &Document {
        &self.plan.document
    }

    /// The runtime of the upstreams.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
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
        Verdict::Accepted(_) => Ok(()),
        other => Err(io::Error::other(format!("{other:?}"))),
    }
}
