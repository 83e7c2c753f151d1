use {
    crate::{
        api::Changes,
        membership::StandingReader,
        peer::{Answer, Endpoint, Question},
        settings::Api,
        view::ViewReader,
    },
    dewspar::config::{Change, Snapshot},
    dewspar_platform::KeyValue,
    metrics_exporter_prometheus::PrometheusHandle,
    serde_json::{Value, json},
    slog::Logger,
    std::time::Duration,
    tokio::sync::watch,
};

/// How long a node may take to say which revision it has in force.
const ASK_LIMIT: Duration = Duration::from_millis(500);

/// What the operators' side works with.
#[derive(Clone)]
pub struct ApiState<K> {
    /// The key-value service.
    pub platform: K,
    /// The settings of the operators' side.
    pub settings: Api,
    /// The newest view.
    pub view: ViewReader,
    /// The newest standing of the roster.
    pub standing: StandingReader,
    /// The recent changes.
    pub changes: Changes,
    /// Whether the node accepts callers.
    pub ready: watch::Receiver<bool>,
    /// The way to peers.
    pub endpoint: Endpoint,
    /// What renders the metrics, if they are collected.
    pub metrics: Option<PrometheusHandle>,
    /// The logger.
    pub log: Logger,
}

impl<K: KeyValue> ApiState<K> {
    /// Writes changes; all are accepted, or none.
    pub(super) async fn write(
        &self,
        changes: &[Change],
    ) -> Result<Snapshot, crate::config_store::Error> {
        crate::config_store::write(&self.platform, changes).await
    }

    /// Returns the nodes with the revision that each has in force.
    pub(super) async fn nodes(&self) -> Value {
        let standing = self.standing.borrow().clone();
        let own_revision = self.view.borrow().config.value.revision();
        let live = standing.live();
        let mut nodes = Vec::new();
        for member in standing.members().values() {
            let revision = if member.name() == standing.own() {
                Some(own_revision)
            } else {
                self.revision_at(member).await
            };
            nodes.push(json!({
                "name": member.name(),
                "hall": member.hall(),
                "incarnation": member.incarnation(),
                "live": live.contains(&member.name()),
                "revision": revision,
            }));
        }
        let lowest = nodes.iter().map(|node| node["revision"].as_u64()).min();
        json!({
            "node": standing.own(),
            "freshness": format!("{:?}", standing.freshness()),
            "revision": own_revision,
            "in_force_everywhere": lowest.flatten(),
            "nodes": nodes,
        })
    }

    async fn revision_at(
        &self,
        member: &dewspar::member::Member,
    ) -> Option<u64> {
        let question = Question::Revision;
        let asked = self.endpoint.ask(member, &question, ASK_LIMIT).await;
        match asked {
            Ok(Answer::Revision(revision)) => Some(revision),
            _ => None,
        }
    }
}
