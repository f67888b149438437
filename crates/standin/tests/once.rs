//! Work that may not be repeated runs at most once, and "not run" means not run.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use standin::{
    Deployment, DeploymentPlan, Fault, HostPlan, PlatformFaults, Reply, TrialCaller, eventually,
};

fn start() -> Deployment {
    Deployment::start(DeploymentPlan::small()).unwrap()
}

fn caller(deployment: &Deployment, service: &str) -> TrialCaller {
    TrialCaller::new(service, deployment.entries())
}

fn entry(deployment: &Deployment, host: &str) -> SocketAddr {
    deployment.addresses(host).caller
}

fn error(reply: &Reply) -> &str {
    match reply {
        Reply::Refused { error, .. } => error,
        other => panic!("{other:?}"),
    }
}

fn ran(deployment: &Deployment, operation: &str) -> u32 {
    deployment.operations().get(operation).copied().unwrap_or(0)
}

const WORK: &str = "/reservations";

#[rstest::rstest]
#[case::home("surcos")]
#[case::store("manifiestos")]
fn a_ticket_sent_again_gets_the_same_answer(#[case] service: &str) {
    let deployment = start();
    let mut caller = caller(&deployment, service);
    let (ticket, home) = caller.ticket().unwrap();
    let first = caller.post_at(home, WORK, "a", &ticket);
    assert!(matches!(first, Reply::Answered(_)), "{first:?}");
    assert_eq!(caller.post_at(home, WORK, "a", &ticket), first);
    // Any other host fetches it from the ticket's own.
    for host in deployment.entries() {
        assert_eq!(caller.post_at(host, WORK, "a", &ticket), first);
    }
    assert_eq!(ran(&deployment, "a"), 1);
}

#[rstest::rstest]
#[case::home("surcos")]
#[case::store("manifiestos")]
fn a_ticket_is_good_for_one_request_only(#[case] service: &str) {
    let deployment = start();
    let mut caller = caller(&deployment, service);
    let (ticket, home) = caller.ticket().unwrap();
    caller.post_at(home, WORK, "a", &ticket);
    assert_eq!(
        error(&caller.post_at(home, WORK, "b", &ticket)),
        "ticket_conflict"
    );
    assert_eq!(ran(&deployment, "b"), 0);
}

#[test]
fn a_ticket_for_another_service_or_changed_is_refused() {
    let deployment = start();
    let (ticket, home) = caller(&deployment, "surcos").ticket().unwrap();
    let other = caller(&deployment, "manifiestos");
    assert_eq!(
        error(&other.post_at(home, WORK, "a", &ticket)),
        "ticket_invalid"
    );
    let mut changed = ticket.clone();
    let last = changed.pop().unwrap();
    changed.push(if last == 'A' { 'B' } else { 'A' });
    let same = caller(&deployment, "surcos");
    assert_eq!(
        error(&same.post_at(home, WORK, "a", &changed)),
        "ticket_invalid"
    );
    assert_eq!(ran(&deployment, "a"), 0);
}

/// Tickets last this long in tests that wait for their lapse.
const TICKET_TTL: Duration = Duration::from_millis(1_000);

fn start_with_short_tickets() -> Deployment {
    let mut plan = DeploymentPlan::small();
    plan.tune = |config| config.ticket_ttl_ms = TICKET_TTL.as_millis() as u64;
    Deployment::start(plan).unwrap()
}

fn wait_for_lapse(issued: Instant) {
    eventually("the ticket lapses", || issued.elapsed() > TICKET_TTL).unwrap();
}

#[test]
fn an_unused_ticket_that_lapsed_is_refused_as_not_run() {
    let deployment = start_with_short_tickets();
    let mut caller = caller(&deployment, "surcos");
    let asked = Instant::now();
    let (ticket, home) = caller.ticket().unwrap();
    wait_for_lapse(Instant::now());
    let reply = caller.post_at(home, WORK, "a", &ticket);
    let is_remembered = asked.elapsed() < TICKET_TTL * 2;
    let Reply::Refused { error, not_run, .. } = &reply else {
        panic!("{reply:?}");
    };
    // The host can't vouch for it for ever.
    let known = error == "ticket_lapsed" && not_run == "true";
    let forgotten = error == "outcome_unknown" && not_run == "unknown";
    assert!(known || (forgotten && !is_remembered), "{reply:?}");
    assert_eq!(ran(&deployment, "a"), 0);
}

#[rstest::rstest]
#[case::home("surcos")]
#[case::store("manifiestos")]
fn work_sent_again_after_its_ticket_lapsed_is_never_called_not_run(#[case] service: &str) {
    let deployment = start_with_short_tickets();
    let mut caller = caller(&deployment, service);
    let (ticket, home) = caller.ticket().unwrap();
    let issued = Instant::now();
    let first = caller.post_at(home, WORK, "a", &ticket);
    assert!(matches!(first, Reply::Answered(_)), "{first:?}");
    wait_for_lapse(issued);
    for host in [home].into_iter().chain(deployment.entries()) {
        assert_eq!(caller.post_at(host, WORK, "a", &ticket), first);
    }
    assert_eq!(ran(&deployment, "a"), 1);
}

#[test]
fn a_full_host_does_not_call_work_not_run_that_came_before() {
    let mut plan = DeploymentPlan::small();
    plan.tune = |config| config.limits.requests_in_flight = 1;
    let deployment = Deployment::start(plan).unwrap();
    let mut caller = TrialCaller::new("surcos", vec![entry(&deployment, "n1")]);
    let (ticket, home) = caller.ticket().unwrap();
    let mut reply = Reply::Cut(String::new());
    eventually("it runs", || {
        reply = caller.post_at(home, WORK, "a", &ticket);
        matches!(reply, Reply::Answered(_))
    })
    .unwrap();
    let full = |reply: &Reply, said: &str| matches!(reply, Reply::Refused { error, not_run, .. } if error == "host_busy" && not_run == said);
    let mut download = None;
    eventually("a download runs", || {
        // It may itself be refused, while the answer before it still ends.
        let mut stream = TcpStream::connect(home).unwrap();
        let request = b"GET /services/surcos/archive?1000000000 HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(request).unwrap();
        let mut status = [0; 12];
        stream.read_exact(&mut status).unwrap();
        download = Some(stream);
        status == *b"HTTP/1.1 200"
    })
    .unwrap();
    let reply_to_others = caller.get_at(home, "/p");
    assert!(full(&reply_to_others, "true"), "{reply_to_others:?}");
    for reply in [
        caller.post_at(home, WORK, "a", &ticket),
        caller.post_keyed(home, WORK, "b", "key"),
    ] {
        assert!(full(&reply, "unknown"), "{reply:?}");
    }
    drop(download);
    eventually("it is told again", || {
        caller.post_at(home, WORK, "a", &ticket) == reply
    })
    .unwrap();
    assert_eq!(ran(&deployment, "a"), 1);
}

#[rstest::rstest]
#[case::home("surcos")]
#[case::store("manifiestos")]
fn work_whose_answer_was_lost_is_unknown_for_ever(#[case] service: &str) {
    let deployment = start();
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| behaviour.drop_after_run = true);
    }
    let mut caller = caller(&deployment, service);
    let (ticket, home) = caller.ticket().unwrap();
    assert_eq!(
        error(&caller.post_at(home, WORK, "a", &ticket)),
        "outcome_unknown"
    );
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| behaviour.drop_after_run = false);
    }
    for host in deployment.entries() {
        assert_eq!(
            error(&caller.post_at(host, WORK, "a", &ticket)),
            "outcome_unknown"
        );
    }
    assert_eq!(ran(&deployment, "a"), 1);
}

#[test]
fn a_lost_home_leaves_its_tickets_unknown_and_its_receipts_to_be_found() {
    let mut deployment = start();
    let mut caller = TrialCaller::new("surcos", vec![entry(&deployment, "n1")]);
    let (done, home) = caller.ticket().unwrap();
    let (unused, _) = caller.ticket().unwrap();
    let first = caller.post_at(home, WORK, "done", &done);
    let commits = deployment.platform.counts().commits;
    eventually("the receipt is written", || {
        deployment.platform.counts().commits > commits
    })
    .unwrap();
    deployment.kill("n1");
    deployment.platform.remove_host("n1");
    let other = entry(&deployment, "p1");
    eventually("the receipt is found", || {
        caller.post_at(other, WORK, "done", &done) == first
    })
    .unwrap();
    assert_eq!(
        error(&caller.post_at(other, WORK, "unused", &unused)),
        "outcome_unknown"
    );
    assert_eq!(ran(&deployment, "done"), 1);
    assert_eq!(ran(&deployment, "unused"), 0);
}

#[test]
fn another_start_of_the_same_host_does_not_take_its_tickets() {
    let mut deployment = start();
    let mut caller = TrialCaller::new("surcos", vec![entry(&deployment, "n1")]);
    let (ticket, home) = caller.ticket().unwrap();
    caller.post_at(home, WORK, "a", &ticket);
    deployment.kill("n1");
    deployment
        .start_host(&HostPlan::new("n1", "norte"))
        .unwrap();
    let again = entry(&deployment, "n1");
    eventually("the new start serves", || {
        !matches!(caller.get_at(again, "/x"), Reply::Cut(_))
    })
    .unwrap();
    let reply = caller.post_at(again, WORK, "a", &ticket);
    assert!(
        !matches!(&reply, Reply::Refused { not_run, .. } if not_run == "true"),
        "{reply:?}"
    );
    assert_eq!(ran(&deployment, "a"), 1);
}

#[test]
fn a_store_ticket_of_a_lost_host_runs_elsewhere_once() {
    let mut deployment = start();
    let mut caller = TrialCaller::new("manifiestos", vec![entry(&deployment, "n1")]);
    let (ticket, _) = caller.ticket().unwrap();
    deployment.kill("n1");
    let other = entry(&deployment, "p1");
    let mut reply = Reply::Cut(String::new());
    eventually("it runs elsewhere", || {
        reply = caller.post_at(other, WORK, "a", &ticket);
        matches!(reply, Reply::Answered(_))
    })
    .unwrap();
    assert_eq!(caller.post_at(other, WORK, "a", &ticket), reply);
    assert_eq!(ran(&deployment, "a"), 1);
}

#[test]
fn with_the_store_down_home_tickets_run_and_store_tickets_are_refused() {
    let deployment = start();
    let mut home_caller = caller(&deployment, "surcos");
    let mut store_caller = caller(&deployment, "manifiestos");
    deployment.platform.set_down(true);
    let (ticket, home) = home_caller.ticket().unwrap();
    assert!(matches!(
        home_caller.post_at(home, WORK, "h", &ticket),
        Reply::Answered(_)
    ));
    let (ticket, home) = store_caller.ticket().unwrap();
    let refused = store_caller.post_at(home, WORK, "s", &ticket);
    assert!(
        matches!(&refused, Reply::Refused { error, not_run, .. } if error == "store_unavailable" && not_run == "unknown"),
        "{refused:?}"
    );
    assert_eq!(ran(&deployment, "s"), 0);
    deployment.platform.set_down(false);
    // The ticket was not spent: it may run now.
    eventually("it runs", || {
        matches!(
            store_caller.post_at(home, WORK, "s", &ticket),
            Reply::Answered(_)
        )
    })
    .unwrap();
    assert_eq!(ran(&deployment, "s"), 1);
}

#[test]
fn a_claim_whose_answer_was_lost_runs_at_most_once() {
    let deployment = start();
    let lost = PlatformFaults {
        writes: Fault::AnswerLost,
        ..PlatformFaults::default()
    };
    deployment.platform.set_faults(lost);
    let mut caller = caller(&deployment, "manifiestos");
    let (ticket, home) = caller.ticket().unwrap();
    let reply = caller.post_at(home, WORK, "a", &ticket);
    // The next try of the same commit finds the host's own row.
    assert!(matches!(reply, Reply::Answered(_)), "{reply:?}");
    deployment.platform.set_faults(PlatformFaults::default());
    caller.post_at(home, WORK, "a", &ticket);
    assert_eq!(ran(&deployment, "a"), 1);
}

#[test]
fn a_callers_own_key_runs_once_on_whichever_host() {
    let deployment = start();
    let caller = caller(&deployment, "surcos");
    let hosts = deployment.entries();
    let threads: Vec<_> = std::thread::scope(|scope| {
        let send = |host: SocketAddr| {
            let caller = &caller;
            scope.spawn(move || caller.post_keyed(host, WORK, "a", "key-1"))
        };
        let sent: Vec<_> = hosts
            .iter()
            .cycle()
            .take(8)
            .map(|host| send(*host))
            .collect();
        sent.into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let answered = threads
        .iter()
        .filter(|reply| matches!(reply, Reply::Answered(_)))
        .count();
    assert!(answered >= 1, "{threads:?}");
    assert_eq!(ran(&deployment, "a"), 1);
    assert_eq!(
        error(&caller.post_keyed(hosts[0], WORK, "b", "key-1")),
        "ticket_conflict"
    );
    eventually("every host replays it", || {
        hosts.iter().all(|host| {
            matches!(
                caller.post_keyed(*host, WORK, "a", "key-1"),
                Reply::Answered(_)
            )
        })
    })
    .unwrap();
    assert_eq!(ran(&deployment, "a"), 1);
}

#[test]
fn shed_work_is_not_run_and_its_ticket_may_be_used_again() {
    let deployment = start();
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| behaviour.shed_all = true);
    }
    let mut caller = caller(&deployment, "surcos");
    let (ticket, home) = caller.ticket().unwrap();
    let reply = caller.post_at(home, WORK, "a", &ticket);
    assert!(
        matches!(&reply, Reply::Refused { not_run, .. } if not_run == "true"),
        "{reply:?}"
    );
    assert_eq!(ran(&deployment, "a"), 0);
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| behaviour.shed_all = false);
    }
    eventually("it runs", || {
        matches!(caller.post_at(home, WORK, "a", &ticket), Reply::Answered(_))
    })
    .unwrap();
    assert_eq!(ran(&deployment, "a"), 1);
}

#[test]
fn an_answer_too_large_to_be_kept_is_said_to_have_run() {
    let deployment = start();
    let mut caller = caller(&deployment, "surcos");
    let (ticket, home) = caller.ticket().unwrap();
    let large = "/archive?1000000";
    let first = caller.post_at(home, large, "a", &ticket);
    assert!(matches!(first, Reply::Answered(_)), "{first:?}");
    let again = caller.post_at(home, large, "a", &ticket);
    assert!(
        matches!(&again, Reply::Refused { error, not_run, .. } if error == "answer_not_kept" && not_run == "false"),
        "{again:?}"
    );
    assert_eq!(ran(&deployment, "a"), 1);
}

/// A platform and two hosts' claims in it.
fn claims() -> (standin::StandInPlatform, store::HttpPlatform) {
    let platform = standin::StandInPlatform::start(standin::any_port()).unwrap();
    let client = store::HttpPlatform::new(platform.address(), std::time::Duration::from_secs(2));
    (platform, client)
}

#[test]
fn what_a_failed_claim_leaves_behind_never_removes_another_hosts_row() {
    use steering::claim::ClaimOutcome;
    use store::{ClaimRequest, ClaimStore, ReceiptWrite};
    let (platform, client) = claims();
    let winner = ClaimStore::new(&client, "winner".to_owned(), 1);
    let loser = ClaimStore::new(&client, "loser".to_owned(), 1);
    let request = ClaimRequest {
        id: "work".to_owned(),
        attempt: 1,
        fingerprint: "f".to_owned(),
    };
    platform.set_down(true);
    let failed = loser.claim(std::slice::from_ref(&request));
    assert!(
        matches!(failed[..], [ClaimOutcome::Failed(_)]),
        "{failed:?}"
    );
    platform.set_down(false);
    assert_eq!(
        winner.claim(std::slice::from_ref(&request)),
        [ClaimOutcome::Held]
    );
    let unused = ReceiptWrite {
        id: "work".to_owned(),
        attempt: 1,
        fingerprint: "f".to_owned(),
        ending: None,
    };
    loser.finish(std::slice::from_ref(&unused)).unwrap();
    assert!(
        winner.find("work").unwrap().is_some(),
        "the winner's claim is still there"
    );
    winner.finish(&[unused]).unwrap();
    assert_eq!(
        winner.find("work").unwrap(),
        None,
        "its own it may take away"
    );
}

#[test]
fn a_key_that_ran_elsewhere_is_not_called_not_run_by_a_host_without_the_store() {
    let deployment = start();
    let caller = caller(&deployment, "surcos");
    let first = caller.post_keyed(entry(&deployment, "n1"), WORK, "a", "k");
    assert!(matches!(first, Reply::Answered(_)), "{first:?}");
    deployment.links["p1"].platform.set(standin::LinkState::Cut);
    let blind = caller.post_keyed(entry(&deployment, "p1"), WORK, "a", "k");
    assert!(
        matches!(&blind, Reply::Refused { not_run, .. } if not_run == "unknown"),
        "{blind:?}"
    );
    assert_eq!(ran(&deployment, "a"), 1);
}
