use {
    crate::config::{
        AvailabilityBudgetSpec, Error, JobSpec, Kind, MaintenanceWaveSpec,
        PoolSpec, Resource, ServiceSpec, Spec, TeamSpec, validate,
    },
    std::collections::BTreeMap,
};

/// One change to the desired state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Create the resource, or replace it.
    Put {
        /// The resource to store.
        resource: Resource,
        /// The revision that the writer read; `None` takes any.
        expected: Option<u64>,
    },
    /// Remove the resource.
    Delete {
        /// The resource's kind.
        kind: Kind,
        /// The resource's name.
        name: String,
        /// The revision that the writer read; `None` takes any.
        expected: Option<u64>,
    },
}

impl Change {
    /// Creates a put, which expects the resource's revision if it has one.
    pub fn put(resource: Resource) -> Change {
        let expected = match resource.revision() {
            0 => None,
            revision => Some(revision),
        };
        Change::Put { resource, expected }
    }

    /// Returns the kind and name of the resource to change.
    pub fn target(&self) -> (Kind, &str) {
        match self {
            Change::Put { resource, .. } => (resource.kind(), resource.name()),
            Change::Delete { kind, name, .. } => (*kind, name),
        }
    }

    fn expected(&self) -> Option<u64> {
        match self {
            Change::Put { expected, .. } => *expected,
            Change::Delete { expected, .. } => *expected,
        }
    }
}

/// How a resource differs between two snapshots.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Difference {
    /// It was created or replaced.
    Put(Resource),
    /// It was removed; holds its last version.
    Deleted(Resource),
}

/// The complete desired state at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    revision: u64,
    resources: BTreeMap<(Kind, String), Resource>,
}

impl Snapshot {
    /// Assembles a snapshot from its stored parts.
    pub fn from_parts(
        revision: u64,
        resources: impl IntoIterator<Item = Resource>,
    ) -> Snapshot {
        let resources = resources
            .into_iter()
            .map(|r| ((r.kind(), r.name().to_owned()), r))
            .collect();
        Snapshot { revision, resources }
    }

    /// Returns the snapshot's revision; 0 for the initial, empty snapshot.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all resources, ordered by kind and name.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values()
    }

    /// Returns the resource of this kind and name.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Resource> {
        self.resources.get(&(kind, name.to_owned()))
    }

    /// Applies changes atomically and returns the next snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] when a resource isn't at the revision that
    /// its change expects, [`Error::NotFound`] when a resource to delete
    /// doesn't exist, [`Error::InUse`] when another resource still refers to
    /// it, and [`Error::Field`] when the resulting snapshot isn't valid.
    pub fn apply(&self, changes: &[Change]) -> Result<Snapshot, Error> {
        let mut next = self.clone();
        next.revision += 1;
        for change in changes {
            next.apply_one(change)?;
        }
        validate::check_snapshot(&next)?;
        Ok(next)
    }

    fn apply_one(&mut self, change: &Change) -> Result<(), Error> {
        let (kind, name) = change.target();
        let current = self.get(kind, name).map_or(0, Resource::revision);
        if let Some(expected) = change.expected()
            && expected != current
        {
            let name = name.to_owned();
            return Err(Error::Conflict { kind, name, expected, current });
        }
        match change {
            Change::Put { resource, .. } => {
                // A put without an effect leaves the revision unchanged.
                let same = self
                    .get(kind, name)
                    .is_some_and(|old| old.spec() == resource.spec());
                if !same {
                    let resource =
                        resource.clone().with_revision(self.revision);
                    self.resources.insert((kind, name.to_owned()), resource);
                }
                Ok(())
            }
            Change::Delete { .. } => {
                if current == 0 {
                    let name = name.to_owned();
                    return Err(Error::NotFound { kind, name });
                }
                if let Some(referrer) = validate::referrer_of(self, kind, name)
                {
                    let name = name.to_owned();
                    return Err(Error::InUse { kind, name, referrer });
                }
                self.resources.remove(&(kind, name.to_owned()));
                Ok(())
            }
        }
    }

    /// Returns the differences from `older` to this snapshot.
    pub fn differences(&self, older: &Snapshot) -> Vec<Difference> {
        let put = self
            .resources
            .iter()
            .filter(|(key, new)| older.resources.get(*key) != Some(*new))
            .map(|(_, new)| Difference::Put(new.clone()));
        let deleted = older
            .resources
            .iter()
            .filter(|(key, _)| !self.resources.contains_key(*key))
            .map(|(_, old)| Difference::Deleted(old.clone()));
        put.chain(deleted).collect()
    }

    /// Returns the body of a team.
    pub fn team(&self, name: &str) -> Option<&TeamSpec> {
        match self.get(Kind::Team, name)?.spec() {
            Spec::Team(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the body of a pool.
    pub fn pool(&self, name: &str) -> Option<&PoolSpec> {
        match self.get(Kind::Pool, name)?.spec() {
            Spec::Pool(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the body of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        match self.get(Kind::Service, name)?.spec() {
            Spec::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns all pools.
    pub fn pools(&self) -> impl Iterator<Item = (&str, &PoolSpec)> {
        self.resources().filter_map(|r| match r.spec() {
            Spec::Pool(spec) => Some((r.name(), spec)),
            _ => None,
        })
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = (&str, &ServiceSpec)> {
        self.resources().filter_map(|r| match r.spec() {
            Spec::Service(spec) => Some((r.name(), spec)),
            _ => None,
        })
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&Resource, &JobSpec)> {
        self.resources().filter_map(|r| match r.spec() {
            Spec::Job(spec) => Some((r, spec)),
            _ => None,
        })
    }

    /// Returns all availability budgets.
    pub fn budgets(
        &self,
    ) -> impl Iterator<Item = (&str, &AvailabilityBudgetSpec)> {
        self.resources().filter_map(|r| match r.spec() {
            Spec::AvailabilityBudget(spec) => Some((r.name(), spec)),
            _ => None,
        })
    }

    /// Returns all maintenance waves.
    pub fn waves(
        &self,
    ) -> impl Iterator<Item = (&Resource, &MaintenanceWaveSpec)> {
        self.resources().filter_map(|r| match r.spec() {
            Spec::MaintenanceWave(spec) => Some((r, spec)),
            _ => None,
        })
    }

    /// Returns the partner that owns a resource; `None` if no single one does.
    ///
    /// Pools and waves belong to the consortium as a whole. A budget that
    /// counts a service's runners belongs to the partner that owns the
    /// service.
    pub fn owner(&self, resource: &Resource) -> Option<&str> {
        let team = match resource.spec() {
            Spec::Team(_) => resource.name(),
            Spec::Service(spec) => &spec.team,
            Spec::Job(spec) => &spec.team,
            Spec::AvailabilityBudget(spec) => {
                &self.service(spec.service.as_deref()?)?.team
            }
            Spec::Pool(_) | Spec::MaintenanceWave(_) => return None,
        };
        Some(&self.team(team)?.partner)
    }
}
