//! The operators' side: who may write what, conflicts, watches.

use {
    dewspar_cli::{
        client::Client,
        cluster::{Cluster, Options},
        deployment::Plan,
        exit::Code,
    },
    dewspard::logs,
    std::time::Duration,
};

const LIMIT: Duration = Duration::from_secs(30);

async fn cluster(options: Options) -> (Cluster, String) {
    let services = vec!["one".to_owned(), "two".to_owned()];
    let plan = Plan::new(1, services, 3);
    let cluster = Cluster::start(&plan, options).await.expect("a cluster");
    cluster.wait_until_ready(LIMIT).await.expect("ready");
    cluster.apply(plan.resources()).await.expect("a fleet");
    cluster.wait_until_serving(&plan, LIMIT).await.expect("serving");
    let node = cluster.nodes().next().expect("a node");
    let url = format!("http://{}", node.api_address());
    (cluster, url)
}

fn options() -> Options {
    Options::new(logs::discard()).nodes(1)
}

fn budget(service: &str, min: u32) -> String {
    format!(
        "kind: AvailabilityBudget\nname: {service}\n\
         spec: {{pool: {service}, service: {service}, \
         min_available: {min}}}\n",
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn partners_may_change_only_what_is_theirs() {
    let options = options()
        .operator("ann", "secret-1", Some("one-partner"))
        .operator("root", "secret-0", None);
    let (cluster, url) = cluster(options).await;
    let put = |token: Option<&'static str>, service: &'static str| {
        let client = Client::new(&url, token);
        let path = format!("/v1/AvailabilityBudget/{service}");
        async move { client.put(&path, budget(service, 2)).await }
    };
    assert!(put(Some("secret-1"), "one").await.is_ok());
    let error = put(Some("secret-1"), "two").await.expect_err("another's");
    assert_eq!(error.code(), Code::Forbidden);
    assert_eq!(
        error.to_string(),
        "operator `ann` of partner `one-partner` may not change \
         AvailabilityBudget `two`",
    );
    assert!(put(Some("secret-0"), "two").await.is_ok());
    for token in [None, Some("guess")] {
        let error = put(token, "one").await.expect_err("unknown");
        assert_eq!(error.code(), Code::Forbidden);
        assert!(!error.to_string().contains("guess"));
    }
    // Pools are everybody's.
    let client = Client::new(&url, Some("secret-1"));
    let pool = "kind: Pool\nname: one\nspec: {vms: []}\n".to_owned();
    let error = client.put("/v1/Pool/one", pool).await.expect_err("shared");
    assert_eq!(error.code(), Code::Forbidden);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_both_revisions() {
    let (cluster, url) = cluster(options()).await;
    let client = Client::new(&url, None);
    let path = "/v1/AvailabilityBudget/one";
    let read = client.get(path).await.expect("it is there");
    let revision = read["revision"].as_u64().expect("a revision");
    let with =
        |min: u32| format!("{}revision: {revision}\n", budget("one", min));
    client.put(path, with(2)).await.expect("the first is accepted");
    let error = client.put(path, with(0)).await.expect_err("the second");
    assert_eq!(error.code(), Code::Conflict);
    let expected = format!(
        "AvailabilityBudget `one` is at revision {}, but the change \
         expected {revision}",
        revision + 1,
    );
    assert_eq!(error.to_string(), expected);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_starts_at_a_revision_and_misses_nothing() {
    let (cluster, url) = cluster(options()).await;
    let client = Client::new(&url, None);
    let list = client.get("/v1/AvailabilityBudget").await.expect("a list");
    let from = list["revision"].as_u64().expect("a revision");
    // Written before the watch is opened, and after.
    let path = "/v1/AvailabilityBudget/one";
    client.put(path, budget("one", 2)).await.expect("accepted");
    let watch = format!("/v1/watch?from={from}&kind=AvailabilityBudget");
    let mut lines = client.stream(&watch).await.expect("a stream");
    client.put(path, budget("one", 0)).await.expect("accepted");
    client.delete(path).await.expect("accepted");
    let mut seen = Vec::new();
    while seen.len() < 3 {
        let line = lines.next().await.expect("a line").expect("no end");
        if line["event"] != "bookmark" {
            let revision = line["revision"].as_u64().expect("a revision");
            let event = line["event"].as_str().expect("an event").to_owned();
            seen.push((revision - from, event));
        }
    }
    let expected = [(1, "put"), (2, "put"), (3, "deleted")];
    assert_eq!(seen, expected.map(|(n, e)| (n, e.to_owned())));
    let error = client.stream("/v1/watch?from=0").await.expect_err("gone");
    assert!(error.to_string().contains("no longer kept"), "{error}");
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn read_only_kinds_and_mistakes_are_told() {
    let (cluster, url) = cluster(options()).await;
    let client = Client::new(&url, None);
    let vms = client.get("/v1/Vm").await.expect("a list");
    assert_eq!(vms["items"].as_array().map(Vec::len), Some(6));
    let tasks = client.get("/v1/Task").await.expect("a list");
    assert_eq!(tasks["items"].as_array().map(Vec::len), Some(6));
    let put = client.put("/v1/Vm/vm-000", String::new()).await;
    let error = put.expect_err("read only");
    assert!(error.to_string().contains("can only be read"), "{error}");
    let other = client.put("/v1/Pool/other", budget("one", 1)).await;
    let error = other.expect_err("another path");
    assert!(error.to_string().contains("fields `kind` and `name`"));
    let missing = client.get("/v1/Pool/sea").await.expect_err("none");
    assert_eq!(missing.code(), Code::NotFound);
    let document = client.get("/openapi.json").await.expect("a document");
    assert_eq!(document["openapi"], "3.1.0");
    let explained = client.get("/v1/explain/Vm/vm-000").await.expect("text");
    assert!(explained["explanation"].is_array());
    cluster.stop().await;
}
