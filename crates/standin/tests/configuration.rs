//! Configurations: accepted once, in force everywhere, never reverted.

use std::collections::BTreeMap;
use std::time::Duration;

use operator::OperatorClient;
use standin::{
    Deployment, DeploymentPlan, Fault, HostPlan, LinkState, PlatformFaults, StandInPlatform,
    any_port, eventually,
};
use steering::document::{Change, Edit, Kind, ObjectId, Proposal, ProposalOutcome};
use steering::history::History;
use store::{ConfigStore, HttpPlatform};

fn label(name: &str, value: &str) -> Edit {
    let object = ObjectId {
        kind: Kind::Zone,
        name: name.to_owned(),
    };
    Edit::Label {
        object,
        labels: BTreeMap::from([("tier".to_owned(), Some(value.to_owned()))]),
    }
}

fn proposal(id: &str, base: u64, edit: Edit) -> Proposal {
    Proposal {
        change: Change {
            id: id.to_owned(),
            edits: vec![edit],
        },
        base,
    }
}

/// A platform with one region and two zones, at revision 1.
fn store() -> (StandInPlatform, HttpPlatform) {
    let platform = StandInPlatform::start(any_port()).unwrap();
    let client = HttpPlatform::new(platform.address(), Duration::from_secs(2));
    let document = DeploymentPlan::small().document;
    let change = steering::Document::default().difference(&document, "first".to_owned());
    let first = Proposal { change, base: 0 };
    let verdict = ConfigStore::new(&client).propose(&mut History::default(), &first);
    assert_eq!(verdict, ProposalOutcome::Accepted(1));
    (platform, client)
}

#[test]
fn changes_of_different_objects_both_land_and_of_the_same_conflict() {
    let (_platform, client) = store();
    let store = ConfigStore::new(&client);
    let mut history = History::default();
    store.poll(&mut history).unwrap();
    assert_eq!(
        store.propose(&mut history, &proposal("a", 1, label("norte", "x"))),
        ProposalOutcome::Accepted(2)
    );
    assert_eq!(
        store.propose(&mut history, &proposal("b", 1, label("puerto", "y"))),
        ProposalOutcome::Accepted(3)
    );
    let lost = store.propose(&mut history, &proposal("c", 1, label("norte", "z")));
    let named = ObjectId {
        kind: Kind::Zone,
        name: "norte".to_owned(),
    };
    assert_eq!(lost, ProposalOutcome::Conflict([named].into()));
    let zones = &history.document().zones;
    assert_eq!(
        (
            zones[0].labels["tier"].as_str(),
            zones[1].labels["tier"].as_str()
        ),
        ("x", "y")
    );
}

#[test]
fn operators_that_race_lose_nothing() {
    let (_platform, client) = store();
    let verdicts: Vec<ProposalOutcome> = std::thread::scope(|scope| {
        let race = |number: usize| {
            let client = client.clone();
            let zone = if number.is_multiple_of(2) {
                "norte"
            } else {
                "puerto"
            };
            scope.spawn(move || {
                let change = proposal(
                    &format!("race-{number}"),
                    1,
                    label(zone, &number.to_string()),
                );
                ConfigStore::new(&client).propose(&mut History::default(), &change)
            })
        };
        let racing: Vec<_> = (0..8).map(race).collect();
        racing
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let accepted = verdicts
        .iter()
        .filter(|verdict| matches!(verdict, ProposalOutcome::Accepted(_)))
        .count();
    let conflicts = verdicts
        .iter()
        .filter(|verdict| matches!(verdict, ProposalOutcome::Conflict(_)))
        .count();
    assert_eq!((accepted, conflicts), (2, 6), "{verdicts:?}");
    let mut history = History::default();
    ConfigStore::new(&client).poll(&mut history).unwrap();
    assert_eq!(history.revision(), 3);
}

#[test]
fn a_lost_answer_is_settled_as_accepted_once() {
    let (platform, client) = store();
    let store = ConfigStore::new(&client);
    let mut history = History::default();
    platform.set_faults(PlatformFaults {
        writes: Fault::AnswerLost,
        ..PlatformFaults::default()
    });
    let change = proposal("a", 1, label("norte", "x"));
    assert_eq!(
        store.propose(&mut history, &change),
        ProposalOutcome::Accepted(2)
    );
    platform.set_faults(PlatformFaults::default());
    // Asked again with the same id, it is the same change.
    assert_eq!(
        store.propose(&mut History::default(), &change),
        ProposalOutcome::Accepted(2)
    );
    store.poll(&mut history).unwrap();
    assert_eq!(history.revision(), 2);
}

#[test]
fn a_store_that_is_down_means_unavailable_and_one_that_goes_silent_unknown() {
    let (platform, client) = store();
    let change = proposal("a", 1, label("norte", "x"));
    platform.set_down(true);
    let verdict = ConfigStore::new(&client).propose(&mut History::default(), &change);
    assert!(
        matches!(verdict, ProposalOutcome::Unavailable(_)),
        "{verdict:?}"
    );
    platform.set_faults(PlatformFaults {
        writes: Fault::Slow(Duration::from_secs(3)),
        ..PlatformFaults::default()
    });
    let hasty = HttpPlatform::new(platform.address(), Duration::from_millis(200));
    let verdict = ConfigStore::new(&hasty).propose(&mut History::default(), &change);
    assert!(
        matches!(
            verdict,
            ProposalOutcome::Unknown(_) | ProposalOutcome::Accepted(2)
        ),
        "{verdict:?}"
    );
    platform.set_faults(PlatformFaults::default());
    eventually("it is settled", || {
        ConfigStore::new(&client).propose(&mut History::default(), &change)
            == ProposalOutcome::Accepted(2)
    })
    .unwrap();
}

#[test]
fn snapshots_compact_and_a_damaged_one_is_refused() {
    let (platform, client) = store();
    let store = ConfigStore::new(&client);
    let mut history = History::default();
    store.poll(&mut history).unwrap();
    for number in 0..320 {
        let base = history.revision();
        let change = proposal(
            &format!("n{number}"),
            base,
            label("norte", &number.to_string()),
        );
        assert_eq!(
            store.propose(&mut history, &change),
            ProposalOutcome::Accepted(base + 1)
        );
    }
    let mut fresh = History::default();
    store.poll(&mut fresh).unwrap();
    assert_eq!(fresh.position(), history.position());
    assert_eq!(fresh.document(), history.document());
    platform.damage_objects();
    let mut other = History::default();
    assert!(store.poll(&mut other).is_err());
    assert_eq!(other.revision(), 0, "what was in force stays");
    // One that holds the history already needs no snapshot.
    store.poll(&mut history).unwrap();
}

#[test]
fn a_change_is_in_force_on_every_host_and_the_store_is_not_asked_by_each() {
    let mut plan = DeploymentPlan::small();
    plan.hosts = (0..4)
        .map(|n| HostPlan::new(&format!("n{n}"), "norte"))
        .collect();
    plan.hosts.push(HostPlan::new("p1", "puerto"));
    let deployment = Deployment::start(plan).unwrap();
    deployment.put_in_force("n2", label("norte", "x")).unwrap();
    assert!(
        deployment
            .hosts
            .keys()
            .all(|host| deployment.revision(host) == 2)
    );
}

#[test]
fn a_zone_that_is_cut_off_goes_on_and_catches_up_without_reverting() {
    let deployment = Deployment::start(DeploymentPlan::small()).unwrap();
    let puerto = &deployment.links["p1"];
    puerto.platform.set(LinkState::Cut);
    puerto.set_hosts(LinkState::Cut);
    deployment.links["n1"].set_hosts(LinkState::Cut);
    let verdict = deployment.propose("n1", label("norte", "x")).unwrap();
    assert_eq!(verdict, ProposalOutcome::Accepted(2));
    let mut caller = standin::TrialCaller::new("surcos", vec![deployment.addresses("p1").caller]);
    eventually("the zone serves what it can", || {
        matches!(caller.get("/p"), standin::Reply::Answered(_))
    })
    .unwrap();
    assert_eq!(deployment.revision("p1"), 1);
    let refused = deployment.propose("p1", label("puerto", "y")).unwrap();
    assert!(
        matches!(
            refused,
            ProposalOutcome::Unavailable(_) | ProposalOutcome::Unknown(_)
        ),
        "{refused:?}"
    );
    puerto.platform.set(LinkState::Open);
    puerto.set_hosts(LinkState::Open);
    deployment.links["n1"].set_hosts(LinkState::Open);
    eventually("the zone has caught up", || deployment.revision("p1") >= 2).unwrap();
    assert!(deployment.revision("n1") >= 2);
}

#[test]
fn a_new_host_with_the_store_down_takes_the_configuration_of_its_peers() {
    let mut plan = DeploymentPlan::small();
    plan.hosts.push(HostPlan::new("n2", "norte"));
    let mut deployment = Deployment::start(plan).unwrap();
    deployment.put_in_force("n1", label("norte", "x")).unwrap();
    let seed = deployment.links["n1"].peers.as_ref().unwrap().address();
    deployment.platform.set_down(true);
    deployment
        .start_host_with(&HostPlan::new("n3", "norte"), |config| {
            config.seeds.push(seed)
        })
        .unwrap();
    eventually("the new host has it", || deployment.revision("n3") == 2).unwrap();
    let mut caller = standin::TrialCaller::new("surcos", vec![deployment.addresses("n3").caller]);
    eventually("the new host serves", || {
        matches!(caller.get("/p"), standin::Reply::Answered(_))
    })
    .unwrap();
}

#[test]
fn a_host_without_any_configuration_does_not_serve() {
    let mut deployment = Deployment::start(DeploymentPlan::small()).unwrap();
    deployment.platform.set_down(true);
    deployment
        .start_host(&HostPlan::new("x1", "selva"))
        .unwrap();
    let operator: OperatorClient = deployment.operator("x1");
    assert_eq!(operator.status().unwrap().revision, 0);
    let caller = standin::TrialCaller::new("surcos", Vec::new());
    // Nobody accepts the connection's request before it is ready; a look-up elsewhere is needed.
    let ready = deployment.addresses("x1").caller;
    let silent = std::thread::scope(|scope| {
        let asked = scope.spawn(|| caller.get_at(ready, "/p"));
        deployment.platform.set_down(false);
        asked.join().unwrap()
    });
    assert!(
        matches!(silent, standin::Reply::Answered(_)),
        "it answers once it has one: {silent:?}"
    );
}
