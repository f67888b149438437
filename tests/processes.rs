//! Hosts as separate processes that are killed, frozen and stopped.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use operator::OperatorClient;
use stagedeck::Config;
use standin::{
    Behaviour, DeploymentPlan, Load, LoadPlan, LoadReport, StandInPlatform, StandInUpstream,
    TrialCaller, any_port, eventually, run_twice,
};
use tokio::runtime::{Builder, Runtime};

/// A host process; killed when dropped.
struct Process {
    child: Child,
    config: Config,
    settings: PathBuf,
}

impl Process {
    /// Starts a host on free ports, and waits until it is in the platform's list.
    fn start(name: &str, zone: &str, platform: &StandInPlatform) -> Process {
        let any = any_port();
        let text = serde_json::json!({
            "host": name, "zone": zone,
            "caller_address": any, "relay_address": any, "peer_address": any, "operator_address": any,
            "platform_address": platform.address(), "peer_key": "a key for tests on loopback",
            "look_up_ttl_ms": 300, "ticket_ttl_ms": 1000, "host_list_lag_ms": 2000,
            "log": "error"
        })
        .to_string();
        let settings = std::env::temp_dir().join(format!(
            "stagedeck-{}-{name}-{}.json",
            std::process::id(),
            platform.address().port()
        ));
        std::fs::write(&settings, &text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_stagedeck"))
            .args(["serve", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let mut process = Process {
            child,
            config: Config::parse(&text).unwrap(),
            settings,
        };
        eventually("the platform lists it", || {
            let listed = platform
                .listed()
                .into_iter()
                .find(|host| host.entry.name == name);
            let Some(listed) = listed else { return false };
            process.config.caller_address = listed.entry.caller_address;
            process.config.operator_address = listed.entry.operator_address;
            true
        })
        .unwrap();
        process
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    fn operator(&self) -> OperatorClient {
        OperatorClient::new(self.config.operator_address, Duration::from_secs(5))
    }

    fn knows(&self, hosts: usize) -> bool {
        let status = self.operator().status();
        status.is_ok_and(|status| status.revision >= 1 && status.hosts.len() == hosts)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

struct TestDeployment {
    platform: StandInPlatform,
    upstreams: BTreeMap<String, StandInUpstream>,
    processes: Vec<Process>,
    _runtime: Runtime,
}

impl TestDeployment {
    fn start() -> TestDeployment {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let platform = StandInPlatform::start(any_port()).unwrap();
        let mut document = DeploymentPlan::small().document;
        let mut upstreams = BTreeMap::new();
        for upstream in &mut document.upstreams {
            let behaviour = Behaviour {
                slots: upstream.slots,
                ..Behaviour::default()
            };
            let started =
                StandInUpstream::start(&upstream.name, any_port(), behaviour, runtime.handle())
                    .unwrap();
            upstream.address = started.address();
            upstreams.insert(upstream.name.clone(), started);
        }
        let processes = vec![
            Process::start("n1", "norte", &platform),
            Process::start("n2", "norte", &platform),
            Process::start("p1", "puerto", &platform),
        ];
        let deployment = TestDeployment {
            platform,
            upstreams,
            processes,
            _runtime: runtime,
        };
        let first = &deployment.processes[0];
        eventually("the first host answers", || {
            first.operator().status().is_ok()
        })
        .unwrap();
        let change = steering::Document::default().difference(&document, "first".to_owned());
        let proposal = steering::document::Proposal { change, base: 0 };
        first.operator().propose(&proposal).unwrap();
        eventually("all know all", || {
            deployment.processes.iter().all(|process| process.knows(3))
        })
        .unwrap();
        deployment
    }

    fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.processes
            .iter()
            .map(|process| process.config.caller_address)
            .collect()
    }

    /// How often the upstreams have run each operation.
    fn operations(&self) -> BTreeMap<String, u32> {
        let mut all = BTreeMap::new();
        for upstream in self.upstreams.values() {
            for (operation, times) in upstream.counts().operations {
                *all.entry(operation).or_default() += times;
            }
        }
        all
    }

    /// Starts callers that consult and reserve; `tag` keeps their operations apart from those of
    /// other loads.
    fn load(&self, tag: &str) -> Load {
        let plan = LoadPlan {
            tag: tag.to_owned(),
            ..LoadPlan::default()
        };
        Load::start(self.caller_addresses(), &plan)
    }
}

/// Asserts that no operation ran twice, and that no operation reported as not run has run.
fn assert_consistent(deployment: &TestDeployment, report: &LoadReport) {
    let operations = deployment.operations();
    assert_eq!(report.wrong, 0);
    assert_eq!(run_twice(&operations), 0);
    assert_eq!(
        report.lies(&operations),
        Vec::<String>::new(),
        "reported as not run, but ran"
    );
}

/// Number of requests whose connection broke.
fn cut(report: &LoadReport) -> u64 {
    report.consulted.cut + report.reserved.cut
}

#[test]
fn a_killed_host_leaves_the_others_serving() {
    let mut deployment = TestDeployment::start();
    let victim = deployment.processes.remove(0);
    let load = deployment.load("killed");
    load.wait_for(50).unwrap();
    victim.signal(Signal::SIGKILL);
    deployment.platform.remove_host("n1");
    load.wait_for(200).unwrap();
    eventually("the others count it out", || {
        deployment.processes.iter().all(|p| p.knows(2))
    })
    .unwrap();
    assert_consistent(&deployment, &load.stop());
}

#[test]
fn a_frozen_host_that_resumes_causes_no_inconsistency() {
    let deployment = TestDeployment::start();
    let load = deployment.load("frozen");
    load.wait_for(50).unwrap();
    deployment.processes[1].signal(Signal::SIGSTOP);
    let others = [&deployment.processes[0], &deployment.processes[2]];
    eventually("the others count it out", || {
        others.iter().all(|process| {
            let status = process.operator().status();
            let zone =
                status.map(|status| status.hosts.iter().filter(|h| h.zone == "norte").count());
            zone.is_ok_and(|count| count == 1)
        })
    })
    .unwrap();
    deployment.processes[1].signal(Signal::SIGCONT);
    eventually("it is back", || {
        deployment.processes.iter().all(|process| process.knows(3))
    })
    .unwrap();
    load.wait_for(100).unwrap();
    let report = load.stop();
    assert_consistent(&deployment, &report);
}

#[test]
fn a_graceful_stop_interrupts_no_request_and_exits_with_0() {
    let mut deployment = TestDeployment::start();
    let mut leaving = deployment.processes.remove(1);
    // A download through the host that stops meanwhile.
    let download = {
        let mut caller = TrialCaller::new("surcos", vec![leaving.config.caller_address]);
        caller.pin(leaving.config.caller_address);
        std::thread::spawn(move || caller.download("/archive?300000000"))
    };
    let busy = || {
        deployment
            .upstreams
            .values()
            .any(|upstream| upstream.in_flight() > 0)
    };
    eventually("the download runs", busy).unwrap();
    let mut status = None;
    let load = deployment.load("stopped");
    load.wait_for(50).unwrap();
    leaving.signal(Signal::SIGTERM);
    eventually("it exits", || {
        status = leaving.child.try_wait().unwrap();
        status.is_some()
    })
    .unwrap();
    load.wait_for(100).unwrap();
    let report = load.stop();
    assert_eq!(status.unwrap().code(), Some(0));
    assert_eq!(download.join().unwrap(), Ok(300_000_000));
    assert_eq!(cut(&report), 0);
    assert!(report.told_not_run.is_empty(), "{:?}", report.told_not_run);
    assert_consistent(&deployment, &report);
}

#[test]
fn replacing_all_hosts_one_by_one_loses_no_request() {
    let mut deployment = TestDeployment::start();
    for (name, zone) in [("n1", "norte"), ("n2", "norte"), ("p1", "puerto")] {
        let next = format!("{name}-next");
        let new = Process::start(&next, zone, &deployment.platform);
        eventually("the new host is known", || new.knows(4)).unwrap();
        deployment.processes.push(new);
        let mut old = deployment.processes.remove(0);
        let load = deployment.load(name);
        load.wait_for(20).unwrap();
        old.signal(Signal::SIGTERM);
        eventually("it exits", || old.child.try_wait().unwrap().is_some()).unwrap();
        deployment.platform.remove_host(name);
        load.wait_for(20).unwrap();
        let report = load.stop();
        assert_eq!(cut(&report), 0);
        assert_consistent(&deployment, &report);
        eventually("three are left", || {
            deployment.processes.iter().all(|p| p.knows(3))
        })
        .unwrap();
    }
}

#[test]
fn a_host_that_cannot_start_reports_the_reason() {
    let taken = TcpListener::bind(any_port()).unwrap();
    let platform = StandInPlatform::start(any_port()).unwrap();
    let process = Process::start("n1", "norte", &platform);
    let mut config = process.config.clone();
    config.caller_address = taken.local_addr().unwrap();
    config.operator_address = any_port();
    std::fs::write(&process.settings, serde_json::to_string(&config).unwrap()).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_stagedeck"))
        .args(["serve", "--settings"])
        .arg(&process.settings)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(5));
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("caller_address"), "{stderr}");
}

/// Splits a line of `key=value` pairs; `None` if the line has another format.
fn pairs(line: &str) -> Option<Vec<(&str, &str)>> {
    let mut pairs = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        let end = match after.strip_prefix('"') {
            Some(quoted) => quoted.find('"')? + 2,
            None => after.find(' ').unwrap_or(after.len()),
        };
        let is_key = !key.is_empty() && !key.contains([' ', '"']);
        pairs.push((key, &after[..end]));
        rest = after[end..].strip_prefix(' ').unwrap_or(&after[end..]);
        if !is_key {
            return None;
        }
    }
    Some(pairs)
}

#[test]
fn each_log_line_is_key_value_pairs() {
    let platform = StandInPlatform::start(any_port()).unwrap();
    let mut process = Process::start("n1", "norte", &platform);
    let text = std::fs::read_to_string(&process.settings).unwrap();
    std::fs::write(&process.settings, text.replace("\"error\"", "\"debug\"")).unwrap();
    process.child.kill().unwrap();
    process.child.wait().unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_stagedeck"))
        .args(["serve", "--settings"])
        .arg(&process.settings)
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    process.child = child;
    let stderr = process.child.stderr.take().unwrap();
    let lines = std::io::BufRead::lines(std::io::BufReader::new(stderr));
    let mut events = Vec::new();
    for line in lines.map_while(Result::ok) {
        let pairs = pairs(&line).unwrap_or_else(|| panic!("no pairs: {line}"));
        let first: Vec<&str> = pairs.iter().take(3).map(|(key, _)| *key).collect();
        // Lines of libraries have a message in place of an event.
        assert_eq!(first[..2], ["time_ms", "level"], "{line}");
        events.extend(
            pairs
                .iter()
                .filter(|(key, _)| *key == "event")
                .map(|pair| pair.1.to_owned()),
        );
        if events.iter().any(|event| event == "ready") {
            break;
        }
    }
    assert!(events.contains(&"started".to_owned()), "{events:?}");
}
