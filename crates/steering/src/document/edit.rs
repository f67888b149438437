//! Changes of a configuration, object by object.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use super::{Block, Document, Link, Problems, Region, Rule, Service, Upstream, Zone};
use crate::ids::ChangeId;
use crate::labels::Labels;

/// Kind of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Kind {
    /// A region.
    Region,
    /// An availability zone.
    Zone,
    /// A link between regions, named `from:to`.
    Link,
    /// A service.
    Service,
    /// An upstream.
    Upstream,
    /// A rule.
    Rule,
    /// A client block, named by its prefix.
    Block,
}

impl Kind {
    /// All kinds.
    pub const ALL: &[Kind] = &[
        Kind::Region,
        Kind::Zone,
        Kind::Link,
        Kind::Service,
        Kind::Upstream,
        Kind::Rule,
        Kind::Block,
    ];

    /// Finds a kind by its name.
    pub fn find(name: &str) -> Option<Kind> {
        Kind::ALL
            .iter()
            .copied()
            .find(|kind| kind.to_string() == name)
    }
}

/// Identity of an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[display("{kind}/{name}")]
pub struct ObjectId {
    /// Kind.
    pub kind: Kind,
    /// Name, unique in its kind.
    pub name: String,
}

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[expect(
    missing_docs,
    reason = "each variant puts the object that it is named after"
)]
#[allow(clippy::large_enum_variant)]
pub enum Edit {
    Region(Region),
    Zone(Zone),
    Link(Link),
    Service(Service),
    Upstream(Upstream),
    Rule(Rule),
    Block(Block),
    /// Takes an object away.
    Remove(ObjectId),
    /// Sets labels of an object; a value of none takes the label away.
    Label {
        object: ObjectId,
        labels: BTreeMap<String, Option<String>>,
    },
}

/// What an operator asks for; it takes force whole or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Identity, chosen by the operator's client, the same on every try.
    pub id: ChangeId,
    /// Steps, in order.
    pub edits: Vec<Edit>,
}

/// Why a change can't be made.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum EditError {
    /// The object is not there.
    #[display("no {_0}")]
    #[from(skip)]
    Missing(#[error(not(source))] ObjectId),
    /// Objects of this kind have no labels.
    #[display("{_0} has no labels")]
    #[from(skip)]
    NoLabels(#[error(not(source))] ObjectId),
    /// The result would be wrong.
    #[display("{_0}")]
    Problems(Problems),
}

impl Edit {
    /// The object that the step touches.
    pub fn object(&self) -> ObjectId {
        let (kind, name) = match self {
            Edit::Region(object) => (Kind::Region, object.name.clone()),
            Edit::Zone(object) => (Kind::Zone, object.name.clone()),
            Edit::Link(object) => (Kind::Link, object.id()),
            Edit::Service(object) => (Kind::Service, object.name.clone()),
            Edit::Upstream(object) => (Kind::Upstream, object.name.clone()),
            Edit::Rule(object) => (Kind::Rule, object.name.clone()),
            Edit::Block(object) => (Kind::Block, object.prefix.to_string()),
            Edit::Remove(object) | Edit::Label { object, .. } => return object.clone(),
        };
        ObjectId { kind, name }
    }
}

impl Change {
    /// The objects that the change touches.
    pub fn objects(&self) -> BTreeSet<ObjectId> {
        self.edits.iter().map(Edit::object).collect()
    }

    /// The document after the change, checked.
    pub fn apply(&self, document: &Document) -> Result<Document, EditError> {
        let mut next = document.clone();
        let mut positions = Positions::new(self.edits.len());
        for edit in &self.edits {
            next.edit(edit, &mut positions)?;
        }
        next.check_after(document)?;
        Ok(next)
    }
}

impl Link {
    /// Name in an [`ObjectId`].
    pub fn id(&self) -> String {
        format!("{}:{}", self.from, self.to)
    }
}

/// An object with a name in one of a document's lists.
trait Named: Clone + PartialEq {
    const KIND: Kind;
    fn id(&self) -> String;
    fn labels_mut(&mut self) -> Option<&mut Labels>;
    fn list(document: &Document) -> &Vec<Self>;
    fn list_mut(document: &mut Document) -> &mut Vec<Self>;
}

/// A list that a document owns, or shares with other revisions until it changes.
trait SharedOrOwned<T> {
    fn list(&mut self) -> &mut Vec<T>;
}

impl<T> SharedOrOwned<T> for Vec<T> {
    fn list(&mut self) -> &mut Vec<T> {
        self
    }
}

impl<T: Clone> SharedOrOwned<T> for Arc<Vec<T>> {
    fn list(&mut self) -> &mut Vec<T> {
        Arc::make_mut(self)
    }
}

macro_rules! named {
    ($type:ident, $list:ident, $this:ident => $name:expr, $labels:expr) => {
        impl Named for $type {
            const KIND: Kind = Kind::$type;
            fn id(&self) -> String {
                let $this = self;
                $name
            }
            fn labels_mut(&mut self) -> Option<&mut Labels> {
                let $this = self;
                $labels
            }
            fn list(document: &Document) -> &Vec<Self> {
                &document.$list
            }
            fn list_mut(document: &mut Document) -> &mut Vec<Self> {
                SharedOrOwned::list(&mut document.$list)
            }
        }
    };
}

named!(Region, regions, this => this.name.clone(), Some(&mut this.labels));
named!(Zone, zones, this => this.name.clone(), Some(&mut this.labels));
named!(Link, links, this => Link::id(this), { let _ = this; None });
named!(Service, services, this => this.name.clone(), Some(&mut this.labels));
named!(Upstream, upstreams, this => this.name.clone(), Some(&mut this.labels));
named!(Rule, rules, this => this.name.clone(), Some(&mut this.labels));
named!(Block, blocks, this => this.prefix.to_string(), Some(&mut this.labels));

/// Where objects stand in their lists, by kind and name; only in large changes,
/// where looking through the list for each object would take too long.
struct Positions {
    of: Option<BTreeMap<Kind, HashMap<String, usize>>>,
}

/// Edits from which positions are kept.
const LARGE_CHANGE: usize = 16;

impl Positions {
    fn new(edits: usize) -> Self {
        Positions {
            of: (edits >= LARGE_CHANGE).then(BTreeMap::new),
        }
    }

    fn find<T: Named>(&mut self, list: &[T], id: &str) -> Option<usize> {
        let Some(of) = &mut self.of else {
            return list.iter().position(|known| known.id() == id);
        };
        let numbered = || list.iter().enumerate().map(|(at, known)| (known.id(), at));
        let positions = of.entry(T::KIND).or_insert_with(|| numbered().collect());
        positions.get(id).copied()
    }

    fn added<T: Named>(&mut self, id: String, at: usize) {
        if let Some(positions) = self.of.as_mut().and_then(|of| of.get_mut(&T::KIND)) {
            positions.insert(id, at);
        }
    }

    fn forget(&mut self, kind: Kind) {
        if let Some(of) = &mut self.of {
            of.remove(&kind);
        }
    }
}

impl Document {
    fn edit(&mut self, edit: &Edit, positions: &mut Positions) -> Result<(), EditError> {
        match edit {
            Edit::Region(object) => put(self, object, positions),
            Edit::Zone(object) => put(self, object, positions),
            Edit::Link(object) => put(self, object, positions),
            Edit::Service(object) => put(self, object, positions),
            Edit::Upstream(object) => put(self, object, positions),
            Edit::Rule(object) => put(self, object, positions),
            Edit::Block(object) => put(self, object, positions),
            Edit::Remove(object) => {
                positions.forget(object.kind);
                return self.with_kind(object, Remove);
            }
            Edit::Label { object, labels } => return self.with_kind(object, SetLabels(labels)),
        }
        Ok(())
    }

    fn with_kind(&mut self, object: &ObjectId, action: impl Action) -> Result<(), EditError> {
        match object.kind {
            Kind::Region => action.run::<Region>(self, object),
            Kind::Zone => action.run::<Zone>(self, object),
            Kind::Link => action.run::<Link>(self, object),
            Kind::Service => action.run::<Service>(self, object),
            Kind::Upstream => action.run::<Upstream>(self, object),
            Kind::Rule => action.run::<Rule>(self, object),
            Kind::Block => action.run::<Block>(self, object),
        }
    }

    /// The change that turns this document into another, object by object.
    pub fn difference(&self, target: &Document, id: ChangeId) -> Change {
        let mut edits = Vec::new();
        differ(self, target, Edit::Region, &mut edits);
        differ(self, target, Edit::Zone, &mut edits);
        differ(self, target, Edit::Link, &mut edits);
        differ(self, target, Edit::Service, &mut edits);
        differ(self, target, Edit::Upstream, &mut edits);
        differ(self, target, Edit::Rule, &mut edits);
        differ(self, target, Edit::Block, &mut edits);
        Change { id, edits }
    }
}

fn put<T: Named>(document: &mut Document, object: &T, positions: &mut Positions) {
    let list = T::list_mut(document);
    let id = object.id();
    match positions.find(list, &id) {
        Some(at) => list[at] = object.clone(),
        None => {
            positions.added::<T>(id, list.len());
            list.push(object.clone());
        }
    }
}

fn differ<T: Named>(from: &Document, to: &Document, put: fn(T) -> Edit, edits: &mut Vec<Edit>) {
    if T::list(from) == T::list(to) {
        return;
    }
    let index = |list: &[T]| -> HashMap<String, T> {
        list.iter()
            .map(|object| (object.id(), object.clone()))
            .collect()
    };
    let old = index(T::list(from));
    let new = index(T::list(to));
    for object in T::list(from) {
        if !new.contains_key(&object.id()) {
            edits.push(Edit::Remove(ObjectId {
                kind: T::KIND,
                name: object.id(),
            }));
        }
    }
    for object in T::list(to) {
        if old.get(&object.id()) != Some(object) {
            edits.push(put(object.clone()));
        }
    }
}

/// A step that is the same for every kind of object.
trait Action {
    fn run<T: Named>(&self, document: &mut Document, id: &ObjectId) -> Result<(), EditError>;
}

struct Remove;

impl Action for Remove {
    fn run<T: Named>(&self, document: &mut Document, id: &ObjectId) -> Result<(), EditError> {
        let list = T::list_mut(document);
        let before = list.len();
        list.retain(|object| object.id() != id.name);
        if list.len() == before {
            return Err(EditError::Missing(id.clone()));
        }
        Ok(())
    }
}

struct SetLabels<'a>(&'a BTreeMap<String, Option<String>>);

impl Action for SetLabels<'_> {
    fn run<T: Named>(&self, document: &mut Document, id: &ObjectId) -> Result<(), EditError> {
        let object = T::list_mut(document)
            .iter_mut()
            .find(|object| object.id() == id.name)
            .ok_or_else(|| EditError::Missing(id.clone()))?;
        let labels = object
            .labels_mut()
            .ok_or_else(|| EditError::NoLabels(id.clone()))?;
        for (key, value) in self.0 {
            match value {
                Some(value) => labels.insert(key.clone(), value.clone()),
                None => labels.remove(key),
            };
        }
        Ok(())
    }
}
