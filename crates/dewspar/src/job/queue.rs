use crate::schedule::QueueTerms;

/// A queue: where callers hand jobs in, and on what terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What the path of a call begins with.
    pub path_prefix: String,
    /// How long a call may take, in milliseconds.
    pub timeout_ms: u64,
    /// What the queue promises and allows.
    pub terms: QueueTerms,
}

/// The queues of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueSet {
    version: u64,
    queues: Vec<Queue>,
    free_pools: Vec<String>,
    pools_without_capacity_checks: Vec<String>,
}

impl QueueSet {
    /// Makes the queues of a version.
    pub fn new(version: u64, queues: Vec<Queue>) -> QueueSet {
        QueueSet { version, queues, ..QueueSet::default() }
    }

    /// Sets the pools whose workers start whatever they are told, whether they
    /// have room for it or not.
    pub fn with_pools_without_capacity_checks(
        mut self,
        pools: Vec<String>,
    ) -> QueueSet {
        self.pools_without_capacity_checks = pools;
        self
    }

    /// Returns the pools whose workers start whatever they are told.
    pub fn pools_without_capacity_checks(&self) -> &[String] {
        &self.pools_without_capacity_checks
    }

    /// Sets the pools whose VMs are switched off and cost nothing.
    pub fn with_free_pools(mut self, pools: Vec<String>) -> QueueSet {
        self.free_pools = pools;
        self
    }

    /// Returns the version, which only rises.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns every queue.
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

    /// Returns the queue that a call belongs to, and the rest of its path.
    ///
    /// The longest prefix of the host's queues decides.
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
