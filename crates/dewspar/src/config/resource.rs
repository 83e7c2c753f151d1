use {
    crate::config::Error,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    std::{fmt, str::FromStr},
};

/// The kinds of resource that operators write.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub enum Kind {
    /// A partner's team and its quota.
    Team,
    /// A group of VMs that serve, drain and reboot together.
    Pool,
    /// A long-running service of one team, carried by a pool.
    Service,
    /// Work that runs to its end, carried by a pool.
    Job,
    /// How many VMs or runners must stay available.
    AvailabilityBudget,
    /// A round of maintenance over every VM of a pool.
    MaintenanceWave,
}

impl Kind {
    /// All kinds. Each kind refers only to kinds before it.
    pub const ALL: [Kind; 6] = [
        Kind::Team,
        Kind::Pool,
        Kind::Service,
        Kind::Job,
        Kind::AvailabilityBudget,
        Kind::MaintenanceWave,
    ];

    /// Returns the kind's name as used in documents and URLs.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Team => "Team",
            Kind::Pool => "Pool",
            Kind::Service => "Service",
            Kind::Job => "Job",
            Kind::AvailabilityBudget => "AvailabilityBudget",
            Kind::MaintenanceWave => "MaintenanceWave",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Kind, Error> {
        Kind::ALL
            .into_iter()
            .find(|kind| kind.as_str().eq_ignore_ascii_case(text))
            .ok_or_else(|| Error::Syntax {
                reason: format!(
                    "unknown kind `{text}`, expected one of {}",
                    Kind::ALL.map(Kind::as_str).join(", "),
                ),
            })
    }
}

/// A team's owner and quota.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// The partner that the team belongs to.
    pub partner: String,
    /// The team's weight when runners' slots are short.
    #[serde(default = "one")]
    pub weight: u32,
    /// The most processor time its tasks may reserve, in thousandths of a
    /// core.
    #[serde(default = "unlimited")]
    pub max_cpu_millis: u64,
    /// The most memory its tasks may reserve, in megabytes.
    #[serde(default = "unlimited")]
    pub max_memory_mb: u64,
}

/// The VMs that a pool should have.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// The names of the pool's VMs, as the platform lists them.
    pub vms: Vec<String>,
}

/// A service and the size of each of its runners.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The team that owns the service.
    pub team: String,
    /// The pool that carries it.
    pub pool: String,
    /// How many runners should run.
    pub runners: u32,
    /// How many requests one runner takes at a time.
    #[serde(default = "eight")]
    pub slots: u32,
    /// How many connections one runner takes.
    #[serde(default = "sixty_four")]
    pub connections: u32,
    /// A runner's declared processor time, in thousandths of a core.
    #[serde(default = "thousand")]
    pub cpu_millis: u64,
    /// A runner's declared memory, in megabytes.
    #[serde(default = "thousand")]
    pub memory_mb: u64,
}

/// A job and the size of each of its tasks.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team that owns the job.
    pub team: String,
    /// The pool that carries it.
    pub pool: String,
    /// How many tasks must run to their end.
    #[serde(default = "one")]
    pub tasks: u32,
    /// Whether it starts before all work that isn't urgent.
    #[serde(default)]
    pub urgent: bool,
    /// A task's declared run time, in milliseconds.
    #[serde(default = "minute_ms")]
    pub run_ms: u64,
    /// A task's declared processor time, in thousandths of a core.
    #[serde(default = "thousand")]
    pub cpu_millis: u64,
    /// A task's declared memory, in megabytes.
    #[serde(default = "thousand")]
    pub memory_mb: u64,
}

/// What must stay available while VMs move, fail and are maintained.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityBudgetSpec {
    /// The pool that the budget guards.
    pub pool: String,
    /// The service whose runners are counted; without it, VMs are counted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// How many must be available at every moment.
    pub min_available: u32,
    /// Whether that must still hold after the worst single rack is lost.
    #[serde(default)]
    pub survive_rack: bool,
}

/// A round of maintenance.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MaintenanceWaveSpec {
    /// The pool whose VMs are all drained and rebooted once.
    pub pool: String,
    /// How many VMs may be out for this wave at a time.
    #[serde(default = "one")]
    pub max_parallel: u32,
    /// Whether the wave holds where it stands.
    #[serde(default)]
    pub paused: bool,
}

/// The body of a resource, by kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Spec {
    /// See [`TeamSpec`].
    Team(TeamSpec),
    /// See [`PoolSpec`].
    Pool(PoolSpec),
    /// See [`ServiceSpec`].
    Service(ServiceSpec),
    /// See [`JobSpec`].
    Job(JobSpec),
    /// See [`AvailabilityBudgetSpec`].
    AvailabilityBudget(AvailabilityBudgetSpec),
    /// See [`MaintenanceWaveSpec`].
    MaintenanceWave(MaintenanceWaveSpec),
}

impl Spec {
    /// Returns the kind of resource that this body belongs to.
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Team(_) => Kind::Team,
            Spec::Pool(_) => Kind::Pool,
            Spec::Service(_) => Kind::Service,
            Spec::Job(_) => Kind::Job,
            Spec::AvailabilityBudget(_) => Kind::AvailabilityBudget,
            Spec::MaintenanceWave(_) => Kind::MaintenanceWave,
        }
    }

    /// Decodes the body of a resource of the given kind.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Field`] with the path of the first field that is
    /// missing, unknown or of the wrong type.
    pub fn from_value(
        kind: Kind,
        name: &str,
        value: Value,
    ) -> Result<Spec, Error> {
        Ok(match kind {
            Kind::Team => Spec::Team(decode_spec(kind, name, value)?),
            Kind::Pool => Spec::Pool(decode_spec(kind, name, value)?),
            Kind::Service => Spec::Service(decode_spec(kind, name, value)?),
            Kind::Job => Spec::Job(decode_spec(kind, name, value)?),
            Kind::AvailabilityBudget => {
                Spec::AvailabilityBudget(decode_spec(kind, name, value)?)
            }
            Kind::MaintenanceWave => {
                Spec::MaintenanceWave(decode_spec(kind, name, value)?)
            }
        })
    }

    /// Returns the body as a JSON value.
    pub fn to_value(&self) -> Value {
        let value = match self {
            Spec::Team(spec) => serde_json::to_value(spec),
            Spec::Pool(spec) => serde_json::to_value(spec),
            Spec::Service(spec) => serde_json::to_value(spec),
            Spec::Job(spec) => serde_json::to_value(spec),
            Spec::AvailabilityBudget(spec) => serde_json::to_value(spec),
            Spec::MaintenanceWave(spec) => serde_json::to_value(spec),
        };
        // OK because specs hold only strings, numbers, lists and booleans.
        value.expect("a spec is always representable as JSON")
    }
}

/// A named unit of desired state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resource {
    name: String,
    revision: u64,
    spec: Spec,
}

impl Resource {
    /// Creates a resource that has not been accepted yet, at revision 0.
    pub fn new(name: &str, spec: Spec) -> Resource {
        Resource { name: name.to_owned(), revision: 0, spec }
    }

    /// Decodes one resource from YAML, which includes JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Syntax`] when the text isn't a document with `kind`,
    /// `name` and `spec`, and [`Error::Field`] when its spec is invalid.
    pub fn from_yaml(text: &str) -> Result<Resource, Error> {
        let envelope: Envelope = serde_norway::from_str(text)
            .map_err(|e| Error::Syntax { reason: e.to_string() })?;
        envelope.into_resource()
    }

    /// Decodes all documents of a YAML stream.
    ///
    /// # Errors
    ///
    /// Returns the error of the first invalid document, and no resources then.
    pub fn all_from_yaml(text: &str) -> Result<Vec<Resource>, Error> {
        serde_norway::Deserializer::from_str(text)
            .filter_map(|document| {
                // A trailing separator yields a document without content.
                let envelope = Option::<Envelope>::deserialize(document)
                    .map_err(|e| Error::Syntax { reason: e.to_string() });
                let envelope = envelope.transpose()?;
                Some(envelope.and_then(Envelope::into_resource))
            })
            .collect()
    }

    /// Decodes one resource from a JSON value.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Resource::from_yaml`].
    pub fn from_value(value: Value) -> Result<Resource, Error> {
        let envelope: Envelope = serde_json::from_value(value)
            .map_err(|e| Error::Syntax { reason: e.to_string() })?;
        envelope.into_resource()
    }

    /// Returns the resource as `{kind, name, revision, spec}`.
    pub fn to_value(&self) -> Value {
        serde_json::json!({
            "kind": self.kind(),
            "name": self.name,
            "revision": self.revision,
            "spec": self.spec.to_value(),
        })
    }

    /// Returns the resource's kind.
    pub fn kind(&self) -> Kind {
        self.spec.kind()
    }

    /// Returns the resource's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the revision of the snapshot that last changed it.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the resource's body.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the same resource with another revision.
    pub(crate) fn with_revision(mut self, revision: u64) -> Resource {
        self.revision = revision;
        self
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope {
    kind: Kind,
    name: String,
    #[serde(default)]
    revision: u64,
    spec: Value,
    // Clients may send back a document as they received it, with its status.
    // The status is ignored.
    #[serde(default)]
    #[allow(dead_code)]
    status: Option<Value>,
}

impl Envelope {
    fn into_resource(self) -> Result<Resource, Error> {
        let spec = Spec::from_value(self.kind, &self.name, self.spec)?;
        Ok(Resource { name: self.name, revision: self.revision, spec })
    }
}

fn decode_spec<T: DeserializeOwned>(
    kind: Kind,
    name: &str,
    value: Value,
) -> Result<T, Error> {
    serde_path_to_error::deserialize(value).map_err(|e| {
        let path = e.path().to_string();
        let field = match path.as_str() {
            "." => "spec".to_owned(),
            path => format!("spec.{path}"),
        };
        let problem = format!("is refused: {}", e.inner());
        Error::Field { kind, name: name.to_owned(), field, problem }
    })
}

fn one() -> u32 {
    1
}

fn eight() -> u32 {
    8
}

fn sixty_four() -> u32 {
    64
}

fn thousand() -> u64 {
    1_000
}

fn minute_ms() -> u64 {
    60_000
}

fn unlimited() -> u64 {
    u64::MAX
}
