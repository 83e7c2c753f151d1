use {
    crate::{
        schedule::{ColdTerms, QueueTerms},
        team::{Caller, KeyDigest, QueueAccess, Teams, UnknownKey},
    },
    std::collections::BTreeMap,
};

/// A queue to which callers submit jobs, with its terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The host name in requests for this queue.
    pub host: String,
    /// The prefix of the request paths that belong to this queue.
    pub path_prefix: String,
    /// The time limit of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Which callers the queue accepts.
    pub access: QueueAccess,
    /// The service levels and limits of the queue.
    pub terms: QueueTerms,
}

/// The queues defined by one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueSet {
    version: u64,
    queues: Vec<Queue>,
    free_pools: Vec<String>,
    pools_without_capacity_checks: Vec<String>,
    cold_terms: BTreeMap<String, ColdTerms>,
    teams: Teams,
}

impl QueueSet {
    /// Creates the set of queues of a configuration version.
    pub fn new(version: u64, queues: Vec<Queue>) -> QueueSet {
        QueueSet { version, queues, ..QueueSet::default() }
    }

    /// Sets the pools whose workers don't check their capacity: they start
    /// every task that they are ordered to, also without room for it.
    pub fn with_pools_without_capacity_checks(
        mut self,
        pools: Vec<String>,
    ) -> QueueSet {
        self.pools_without_capacity_checks = pools;
        self
    }

    /// Returns the pools whose workers don't check their capacity.
    pub fn pools_without_capacity_checks(&self) -> &[String] {
        &self.pools_without_capacity_checks
    }

    /// Sets the terms of the pools whose workers are slow after their start.
    ///
    /// ```
    /// use dewspar::{job::QueueSet, schedule::ColdTerms};
    ///
    /// let terms = ColdTerms { start_ms: 2_000, starts_per_s: 4 };
    /// let pools = [("registry".to_owned(), terms)].into();
    /// let queues = QueueSet::new(1, Vec::new()).with_cold_terms(pools);
    /// assert_eq!(queues.cold_terms()["registry"].starts_per_s, 4);
    /// ```
    pub fn with_cold_terms(
        mut self,
        pools: BTreeMap<String, ColdTerms>,
    ) -> QueueSet {
        self.cold_terms = pools;
        self
    }

    /// Returns the terms of the pools whose workers are slow after their
    /// start, by pool.
    pub fn cold_terms(&self) -> &BTreeMap<String, ColdTerms> {
        &self.cold_terms
    }

    /// Sets the pools whose VMs are switched off and cost nothing.
    pub fn with_free_pools(mut self, pools: Vec<String>) -> QueueSet {
        self.free_pools = pools;
        self
    }

    /// Sets the teams that may call queues that aren't public.
    pub fn with_teams(mut self, teams: Teams) -> QueueSet {
        self.teams = teams;
        self
    }

    /// Returns the teams.
    pub fn teams(&self) -> &Teams {
        &self.teams
    }

    /// Returns on whose behalf a call to a queue with this key is made. A key
    /// shown to a public queue is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownKey`] if the queue isn't public and no team holds the
    /// key, or there is none.
    ///
    /// ```
    /// use dewspar::{
    ///     job::{Queue, QueueSet},
    ///     team::{Caller, KeyDigest, QueueAccess, Team, Teams, UnknownKey},
    /// };
    ///
    /// let queue = Queue { access: QueueAccess::Teams, ..Queue::default() };
    /// let key = KeyDigest::of(b"k-17");
    /// let teams = Teams::default().with(Team::default(), [key]);
    /// let set = QueueSet::new(1, vec![queue.clone()]).with_teams(teams);
    /// assert!(matches!(set.access(&queue, Some(&key)), Ok(Caller::Team(_))));
    /// assert_eq!(set.access(&queue, None), Err(UnknownKey));
    /// ```
    pub fn access(
        &self,
        queue: &Queue,
        key: Option<&KeyDigest>,
    ) -> Result<Caller, UnknownKey> {
        match queue.access {
            QueueAccess::Public => Ok(Caller::Public),
            QueueAccess::Teams => key
                .and_then(|key| self.teams.holding(key))
                .map(|team| Caller::Team(team.clone()))
                .ok_or(UnknownKey),
        }
    }

    /// Returns the configuration version, which increases monotonically.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all queues.
    pub fn queues(&self) -> &[Queue] {
        &self.queues
    }

    /// Returns the pools whose VMs are switched off and cost nothing.
    pub fn free_pools(&self) -> &[String] {
        &self.free_pools
    }

    /// Returns the queue with this name.
    pub fn named(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns the queue that a request belongs to, and the rest of its path.
    ///
    /// Among the queues of the host, the longest matching prefix wins.
    ///
    /// ```
    /// use dewspar::job::{Queue, QueueSet};
    ///
    /// let queue = |name: &str, prefix: &str| Queue {
    ///     name: name.to_owned(),
    ///     host: "a.example".to_owned(),
    ///     path_prefix: prefix.to_owned(),
    ///     ..Queue::default()
    /// };
    /// let set = QueueSet::new(1, vec![queue("all", "/"), queue("x", "/x/")]);
    /// let (queue, rest) = set.route("a.example", "/x/17").unwrap();
    /// assert_eq!((queue.name.as_str(), rest), ("x", "17"));
    /// assert!(set.route("b.example", "/x/17").is_none());
    /// ```
    pub fn route<'a, 'p>(
        &'a self,
        host: &str,
        path: &'p str,
    ) -> Option<(&'a Queue, &'p str)> {
        self.queues
            .iter()
            .filter(|queue| queue.host == host)
            .filter_map(|queue| {
                let rest = path.strip_prefix(queue.path_prefix.as_str())?;
                Some((queue, rest))
            })
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }
}
