//! Changes to the objects of a configuration.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use super::{Block, Document, Link, Problems, Region, Rule, Service, Upstream, Zone};
use crate::ids::ChangeId;
use crate::labels::Labels;

/// Kind of a configuration object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Kind {
    /// A region, identified by its name.
    Region,
    /// An availability zone, identified by its name.
    Zone,
    /// A link between regions, identified by `from:to`.
    Link,
    /// A service, identified by its name.
    Service,
    /// An upstream, identified by its name.
    Upstream,
    /// A rule, identified by its name.
    Rule,
    /// A client block, identified by its prefix.
    Block,
}

impl Kind {
    /// All kinds, in the order of declaration.
    pub const ALL: &[Kind] = &[
        Kind::Region,
        Kind::Zone,
        Kind::Link,
        Kind::Service,
        Kind::Upstream,
        Kind::Rule,
        Kind::Block,
    ];

    /// Finds a kind by its name in snake case.
    pub fn find(name: &str) -> Option<Kind> {
        Kind::ALL
            .iter()
            .copied()
            .find(|kind| kind.to_string() == name)
    }
}

/// Identifies a configuration object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[display("{kind}/{name}")]
pub struct ObjectId {
    /// Kind of the object.
    pub kind: Kind,
    /// Name, unique among objects of this kind.
    pub name: String,
}

/// One edit of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[expect(
    missing_docs,
    reason = "each variant adds or replaces an object of the kind it is named after"
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
    /// Removes an object.
    Remove(ObjectId),
    /// Sets labels of an object; a value of `None` removes the label.
    Label {
        object: ObjectId,
        labels: BTreeMap<String, Option<String>>,
    },
}

/// A set of edits that is applied as a whole or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Id chosen by the operator's client, the same on every retry.
    pub id: ChangeId,
    /// Edits in the order they are applied.
    pub edits: Vec<Edit>,
}

/// Why a change can't be applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum EditError {
    /// The object does not exist.
    #[display("no {_0}")]
    #[from(skip)]
    Missing(#[error(not(source))] ObjectId),
    /// Objects of this kind have no labels.
    #[display("{_0} has no labels")]
    #[from(skip)]
    NoLabels(#[error(not(source))] ObjectId),
    /// The resulting document would be invalid.
    #[display("{_0}")]
    Problems(Problems),
}

impl Edit {
    /// Returns the object that is edited.
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
    /// Returns the objects that the change edits.
    pub fn objects(&self) -> BTreeSet<ObjectId> {
        self.edits.iter().map(Edit::object).collect()
    }

    /// Returns the document after the change.
    ///
    /// # Errors
    ///
    /// Fails if an edited object is missing or the result is invalid.
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
    /// Returns the link's name in an [`ObjectId`].
    pub fn id(&self) -> String {
        format!("{}:{}", self.from, self.to)
    }
}

/// An object in one of the lists of a [`Document`].
trait NamedObject: Clone + PartialEq {
    const KIND: Kind;
    fn id(&self) -> String;
    fn labels_mut(&mut self) -> Option<&mut Labels>;
    fn list(document: &Document) -> &Vec<Self>;
    fn list_mut(document: &mut Document) -> &mut Vec<Self>;
}

/// A list that a document owns or shares with other revisions (copy on write).
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

macro_rules! impl_named_object {
    ($type:ident, $list:ident, $this:ident => $name:expr, $labels:expr) => {
        impl NamedObject for $type {
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

impl_named_object!(Region, regions, this => this.name.clone(), Some(&mut this.labels));
impl_named_object!(Zone, zones, this => this.name.clone(), Some(&mut this.labels));
impl_named_object!(Link, links, this => Link::id(this), { let _ = this; None });
impl_named_object!(Service, services, this => this.name.clone(), Some(&mut this.labels));
impl_named_object!(Upstream, upstreams, this => this.name.clone(), Some(&mut this.labels));
impl_named_object!(Rule, rules, this => this.name.clone(), Some(&mut this.labels));
impl_named_object!(Block, blocks, this => this.prefix.to_string(), Some(&mut this.labels));

/// Index of objects by kind and name, with their positions in the lists.
///
/// Used only for large changes, where a linear search for each object takes too long.
struct Positions {
    by_kind: Option<BTreeMap<Kind, HashMap<String, usize>>>,
}

/// Number of edits from which positions are indexed.
const POSITIONS_MIN_EDITS: usize = 16;

impl Positions {
    fn new(edit_count: usize) -> Self {
        Positions {
            by_kind: (edit_count >= POSITIONS_MIN_EDITS).then(BTreeMap::new),
        }
    }

    fn find<T: NamedObject>(&mut self, list: &[T], id: &str) -> Option<usize> {
        let Some(by_kind) = &mut self.by_kind else {
            return list.iter().position(|known| known.id() == id);
        };
        let entries = || list.iter().enumerate().map(|(at, known)| (known.id(), at));
        let positions = by_kind
            .entry(T::KIND)
            .or_insert_with(|| entries().collect());
        positions.get(id).copied()
    }

    fn insert<T: NamedObject>(&mut self, id: String, at: usize) {
        if let Some(positions) = self
            .by_kind
            .as_mut()
            .and_then(|by_kind| by_kind.get_mut(&T::KIND))
        {
            positions.insert(id, at);
        }
    }

    fn invalidate(&mut self, kind: Kind) {
        if let Some(by_kind) = &mut self.by_kind {
            by_kind.remove(&kind);
        }
    }
}

impl Document {
    fn edit(&mut self, edit: &Edit, positions: &mut Positions) -> Result<(), EditError> {
        match edit {
            Edit::Region(object) => upsert(self, object, positions),
            Edit::Zone(object) => upsert(self, object, positions),
            Edit::Link(object) => upsert(self, object, positions),
            Edit::Service(object) => upsert(self, object, positions),
            Edit::Upstream(object) => upsert(self, object, positions),
            Edit::Rule(object) => upsert(self, object, positions),
            Edit::Block(object) => upsert(self, object, positions),
            Edit::Remove(object) => {
                positions.invalidate(object.kind);
                return self.dispatch_by_kind(object, RemoveObject);
            }
            Edit::Label { object, labels } => {
                return self.dispatch_by_kind(object, SetLabels(labels));
            }
        }
        Ok(())
    }

    fn dispatch_by_kind(
        &mut self,
        object: &ObjectId,
        action: impl Action,
    ) -> Result<(), EditError> {
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

    /// Returns the change that turns this document into `target`, object by object.
    pub fn difference(&self, target: &Document, id: ChangeId) -> Change {
        let mut edits = Vec::new();
        push_differences(self, target, Edit::Region, &mut edits);
        push_differences(self, target, Edit::Zone, &mut edits);
        push_differences(self, target, Edit::Link, &mut edits);
        push_differences(self, target, Edit::Service, &mut edits);
        push_differences(self, target, Edit::Upstream, &mut edits);
        push_differences(self, target, Edit::Rule, &mut edits);
        push_differences(self, target, Edit::Block, &mut edits);
        Change { id, edits }
    }
}

fn upsert<T: NamedObject>(document: &mut Document, object: &T, positions: &mut Positions) {
    let list = T::list_mut(document);
    let id = object.id();
    match positions.find(list, &id) {
        Some(at) => list[at] = object.clone(),
        None => {
            positions.insert::<T>(id, list.len());
            list.push(object.clone());
        }
    }
}

fn push_differences<T: NamedObject>(
    from: &Document,
    to: &Document,
    to_edit: fn(T) -> Edit,
    edits: &mut Vec<Edit>,
) {
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
            edits.push(to_edit(object.clone()));
        }
    }
}

/// An edit that works alike for every kind of object.
trait Action {
    fn run<T: NamedObject>(&self, document: &mut Document, id: &ObjectId) -> Result<(), EditError>;
}

struct RemoveObject;

impl Action for RemoveObject {
    fn run<T: NamedObject>(&self, document: &mut Document, id: &ObjectId) -> Result<(), EditError> {
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
    fn run<T: NamedObject>(&self, document: &mut Document, id: &ObjectId) -> Result<(), EditError> {
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
