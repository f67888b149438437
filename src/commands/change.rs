//! The commands `apply`, `label` and `retire`, which change the configuration.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use operator::{InForce, OperatorClient};
use rand::Rng;
use steering::document::{Change, Edit, Kind, ObjectId, Proposal, ProposalOutcome};
use steering::labels::STATE;

use super::check;
use super::outcome::{BAD_INPUT, Outcome};
use crate::cli::{ChangeArgs, HostArgs, Output};

pub fn client(host: &HostArgs) -> OperatorClient {
    OperatorClient::new(host.host, Duration::from_secs(host.timeout_s))
}

pub fn apply(file: &Path, args: &ChangeArgs, output: Output) -> Outcome {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return Outcome::failed(BAD_INPUT, format!("{}: {error}", file.display())),
    };
    let target = match check::parse(&text) {
        Ok(target) => target,
        Err(problems) => return Outcome::failed(BAD_INPUT, problems),
    };
    propose(args, output, |in_force, id| {
        Ok(in_force.document.difference(&target, id))
    })
}

pub fn label(object: &str, labels: &[String], args: &ChangeArgs, output: Output) -> Outcome {
    let parsed = parse_object(object).and_then(|object| Ok((object, parse_labels(labels)?)));
    let (object, labels) = match parsed {
        Ok(parsed) => parsed,
        Err(reason) => return Outcome::failed(BAD_INPUT, reason),
    };
    set_labels(object, labels, args, output)
}

pub fn set_state(
    kind: Kind,
    name: &str,
    state: &str,
    args: &ChangeArgs,
    output: Output,
) -> Outcome {
    let object = ObjectId {
        kind,
        name: name.to_owned(),
    };
    let labels = BTreeMap::from([(STATE.to_owned(), Some(state.to_owned()))]);
    set_labels(object, labels, args, output)
}

type LabelEdits = BTreeMap<String, Option<String>>;

fn set_labels(object: ObjectId, labels: LabelEdits, args: &ChangeArgs, output: Output) -> Outcome {
    propose(args, output, |_, id| {
        let edit = Edit::Label { object, labels };
        Ok(Change {
            id,
            edits: vec![edit],
        })
    })
}

/// Proposes a change to the configuration that is in force on the host.
///
/// `make` builds the change from this configuration and the identity of the change.
pub fn propose(
    args: &ChangeArgs,
    output: Output,
    make: impl FnOnce(&InForce, String) -> Result<Change, String>,
) -> Outcome {
    let client = client(&args.host);
    let in_force = match client.document() {
        Ok(in_force) => in_force,
        Err(error) => return Outcome::unreachable(&error),
    };
    let id = args.change_id.clone().unwrap_or_else(new_id);
    let change = match make(&in_force, id.clone()) {
        Ok(change) => change,
        Err(reason) => return Outcome::failed(BAD_INPUT, reason),
    };
    if change.edits.is_empty() && args.change_id.is_none() {
        return Outcome::done(format!(
            "nothing to change at revision {}",
            in_force.revision
        ));
    }
    let proposal = Proposal {
        change,
        base: in_force.revision,
    };
    let outcome = match client.propose(&proposal) {
        Ok(outcome) => outcome,
        Err(error) => ProposalOutcome::Unknown(error.to_string()),
    };
    Outcome::of_proposal(&outcome, &id, output)
}

fn new_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

fn parse_object(text: &str) -> Result<ObjectId, String> {
    let (kind, name) = text
        .split_once('/')
        .ok_or_else(|| format!("`{text}` must be KIND/NAME, such as upstream/surcos-1"))?;
    let kind = Kind::find(kind).ok_or_else(|| {
        let kinds: Vec<String> = Kind::ALL.iter().map(ToString::to_string).collect();
        format!(
            "`{kind}` is not a kind of object; kinds are {}",
            kinds.join(", ")
        )
    })?;
    Ok(ObjectId {
        kind,
        name: name.to_owned(),
    })
}

fn parse_labels(texts: &[String]) -> Result<LabelEdits, String> {
    let mut labels = LabelEdits::new();
    for text in texts {
        let (key, value) = match (text.split_once('='), text.strip_suffix('-')) {
            (Some((key, value)), _) => (key, Some(value.to_owned())),
            (None, Some(key)) => (key, None),
            (None, None) => return Err(format!("`{text}` must be KEY=VALUE or KEY-")),
        };
        if key.is_empty() {
            return Err(format!("`{text}` has no key"));
        }
        if labels.insert(key.to_owned(), value).is_some() {
            return Err(format!("`{key}` is given twice"));
        }
    }
    Ok(labels)
}
