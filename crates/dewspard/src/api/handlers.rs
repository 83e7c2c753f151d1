/*!
The handlers of the operators' calls.
*/

use {
    super::{
        access::{Caller, Refusal},
        changes::Since,
        explain, openapi,
        state::ApiState,
        status,
    },
    crate::config_store,
    dewspar::config::{self, Change, Kind, Resource},
    dewspar_platform::KeyValue,
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, async_trait,
        http::{HeaderValue, StatusCode, header},
    },
    serde_json::{Value, json},
    slog::info,
    std::{sync::Arc, time::Duration},
};

/// The largest document that is read, in bytes.
const MAX_DOCUMENT: usize = 4 * 1024 * 1024;

/// How often a quiet watch says that it is alive.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(10);

/// A call of the operators' side.
#[derive(Clone, Copy, Debug)]
pub(super) enum Call {
    List,
    Get,
    Put,
    Delete,
    Apply,
    Watch,
    Explain,
    Status,
    OpenApi,
    Live,
    Ready,
    Metrics,
}

impl Call {
    /// Returns whether the call is open to anyone, such as the balancer.
    fn is_open(self) -> bool {
        matches!(
            self,
            Call::OpenApi | Call::Live | Call::Ready | Call::Metrics
        )
    }
}

/// A handler for one call.
pub(super) struct Handle<K> {
    pub(super) call: Call,
    pub(super) state: Arc<ApiState<K>>,
}

/// An answer that isn't a success.
struct Problem {
    status: StatusCode,
    detail: String,
    extra: Value,
}

impl Problem {
    fn new(status: StatusCode, detail: impl ToString) -> Problem {
        let detail = detail.to_string();
        Problem { status, detail, extra: json!({}) }
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Problem {
        let status = match refusal {
            Refusal::Unknown => StatusCode::UNAUTHORIZED,
            Refusal::Forbidden { .. } => StatusCode::FORBIDDEN,
        };
        Problem::new(status, refusal)
    }
}

impl From<config::Error> for Problem {
    fn from(error: config::Error) -> Problem {
        let mut extra = json!({});
        let status = match &error {
            config::Error::Conflict { expected, current, .. } => {
                extra = json!({
                    "expected_revision": expected,
                    "current_revision": current,
                });
                StatusCode::CONFLICT
            }
            config::Error::InUse { .. } => StatusCode::CONFLICT,
            config::Error::NotFound { .. } => StatusCode::NOT_FOUND,
            config::Error::Field { field, .. } => {
                extra = json!({ "field": field });
                StatusCode::UNPROCESSABLE_ENTITY
            }
            _ => StatusCode::BAD_REQUEST,
        };
        Problem { status, detail: error.to_string(), extra }
    }
}

impl From<config_store::Error> for Problem {
    fn from(error: config_store::Error) -> Problem {
        match error {
            config_store::Error::Refused(error) => error.into(),
            config_store::Error::Unknown(_) => {
                Problem::new(StatusCode::GATEWAY_TIMEOUT, error)
            }
            _ => Problem::new(StatusCode::SERVICE_UNAVAILABLE, error),
        }
    }
}

type Answered = Result<Value, Problem>;

#[async_trait]
impl<K: KeyValue> Handler for Handle<K> {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let caller = Caller::of(&self.state.settings, request.headers());
        let caller = match caller {
            Err(refusal) if !self.call.is_open() => {
                return render(response, Err(refusal.into()));
            }
            caller => caller.ok(),
        };
        let state = &*self.state;
        let answered = match self.call {
            Call::Watch => return self.watch(request, response).await,
            Call::Metrics => return metrics(state, response),
            Call::Live => Ok(json!({ "live": true })),
            Call::Ready => ready(state),
            Call::OpenApi => Ok(openapi::document()),
            Call::List => list(state, request),
            Call::Get => get(state, request),
            Call::Explain => explain_one(state, request),
            Call::Status => Ok(state.nodes().await),
            Call::Put | Call::Delete | Call::Apply => match caller {
                Some(caller) => self.write(request, &caller).await,
                None => Err(Refusal::Unknown.into()),
            },
        };
        render(response, answered);
    }
}

impl<K: KeyValue> Handle<K> {
    async fn write(&self, request: &mut Request, caller: &Caller) -> Answered {
        let changes = match self.call {
            Call::Put => vec![put(request).await?],
            Call::Delete => vec![delete(request)?],
            _ => apply(request).await?,
        };
        let state = &*self.state;
        let config = state.view.borrow().config.value.clone();
        // What the documents make together is what they are checked
        // against: a team may come with its first service.
        let together = config.apply(&changes).unwrap_or((*config).clone());
        for change in &changes {
            caller.check(change, &config).or_else(|refusal| {
                let fresh = config.get(change.target().0, change.target().1);
                match fresh {
                    None => caller.check(change, &together),
                    Some(_) => Err(refusal),
                }
            })?;
        }
        let snapshot = state.write(&changes).await?;
        for change in &changes {
            let (kind, name) = change.target();
            info!(state.log, "api: configuration changed";
                "operator" => caller.name(), "kind" => kind.as_str(),
                "name" => name, "revision" => snapshot.revision());
        }
        let resources: Vec<Value> = changes
            .iter()
            .filter_map(|change| {
                let (kind, name) = change.target();
                snapshot.get(kind, name).map(Resource::to_value)
            })
            .collect();
        Ok(match (self.call, resources.into_iter().next()) {
            (Call::Put, Some(resource)) => resource,
            _ => json!({ "revision": snapshot.revision() }),
        })
    }

    async fn watch(&self, request: &mut Request, response: &mut Response) {
        let kind: Option<String> = request.query("kind");
        let kind = match kind.map(|kind| kind.parse::<Kind>()).transpose() {
            Ok(kind) => kind,
            Err(error) => return render(response, Err(error.into())),
        };
        let now = self.state.view.borrow().config.value.revision();
        let mut from: u64 = request.query("from").unwrap_or(now);
        let changes = self.state.changes.clone();
        if let Since::TooOld(oldest) = changes.since(from) {
            let detail = format!(
                "changes after revision {from} are no longer kept; list, \
                 then watch from {oldest} or later",
            );
            let gone = Problem::new(StatusCode::GONE, detail);
            return render(response, Err(gone));
        }
        let mut grown = changes.subscribe();
        let mut sender = response.channel();
        let json = HeaderValue::from_static("application/x-ndjson");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        tokio::spawn(async move {
            loop {
                let Since::Changes(upto, list) = changes.since(from) else {
                    return;
                };
                for changed in list {
                    if kind.is_some_and(|kind| kind != changed.kind) {
                        continue;
                    }
                    let line = format!("{}\n", changed.line);
                    if sender.send_data(line).await.is_err() {
                        return;
                    }
                }
                from = upto;
                let wait =
                    tokio::time::timeout(BOOKMARK_INTERVAL, grown.changed());
                match wait.await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return,
                    Err(_) => {
                        let mark =
                            json!({ "event": "bookmark", "revision": from });
                        let line = format!("{mark}\n");
                        if sender.send_data(line).await.is_err() {
                            return;
                        }
                    }
                }
            }
        });
    }
}

fn render(response: &mut Response, answered: Answered) {
    let (status, kind, body) = match answered {
        Ok(body) => (StatusCode::OK, "application/json", body),
        Err(problem) => {
            let mut body = json!({
                "type": "about:blank",
                "title": problem.status.canonical_reason(),
                "status": problem.status.as_u16(),
                "detail": problem.detail,
            });
            if let (Value::Object(body), Value::Object(extra)) =
                (&mut body, problem.extra)
            {
                body.extend(extra);
            }
            (problem.status, "application/problem+json", body)
        }
    };
    response.status_code(status);
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response.body(body.to_string());
}

fn metrics<K>(state: &ApiState<K>, response: &mut Response) {
    let text = state.metrics.as_ref().map(|metrics| metrics.render());
    response.body(text.unwrap_or_default());
}

fn ready<K>(state: &ApiState<K>) -> Answered {
    if *state.ready.borrow() {
        return Ok(json!({ "ready": true }));
    }
    let freshness = state.standing.borrow().freshness();
    let detail = format!("this node isn't ready: reach is {freshness:?}");
    Err(Problem::new(StatusCode::SERVICE_UNAVAILABLE, detail))
}

fn kind_of(request: &Request) -> String {
    request.param("kind").unwrap_or_default()
}

fn name_of(request: &Request) -> String {
    request.param("name").unwrap_or_default()
}

fn list<K>(state: &ApiState<K>, request: &Request) -> Answered {
    let view = state.view.borrow().clone();
    let kind = kind_of(request);
    let items: Vec<Value> = if kind.eq_ignore_ascii_case("vm") {
        view.rows().map(|(vm, row)| status::vm(&view, vm, row)).collect()
    } else if kind.eq_ignore_ascii_case("task") {
        let pools = view.pools.iter();
        pools
            .flat_map(|(pool, state)| {
                let tasks = state.value.tasks();
                tasks.map(|(name, task)| status::task(pool, name, task))
            })
            .collect()
    } else {
        let kind: Kind = kind.parse()?;
        let resources = view.config.value.resources();
        resources
            .filter(|resource| resource.kind() == kind)
            .map(|resource| status::with_status(&view, resource))
            .collect()
    };
    let revision = view.config.value.revision();
    Ok(json!({ "revision": revision, "items": items }))
}

fn get<K>(state: &ApiState<K>, request: &Request) -> Answered {
    let view = state.view.borrow().clone();
    let (kind, name) = (kind_of(request), name_of(request));
    let found = if kind.eq_ignore_ascii_case("vm") {
        view.row(&name).map(|row| status::vm(&view, &name, row))
    } else if kind.eq_ignore_ascii_case("task") {
        view.pools.iter().find_map(|(pool, state)| {
            let task = state.value.task(&name)?;
            Some(status::task(pool, &name, task))
        })
    } else {
        let kind: Kind = kind.parse()?;
        let resource = view.config.value.get(kind, &name);
        resource.map(|resource| status::with_status(&view, resource))
    };
    found.ok_or_else(|| {
        let detail = format!("{kind} `{name}` doesn't exist");
        Problem::new(StatusCode::NOT_FOUND, detail)
    })
}

fn explain_one<K>(state: &ApiState<K>, request: &Request) -> Answered {
    let view = state.view.borrow().clone();
    let (kind, name) = (kind_of(request), name_of(request));
    match explain::explain(&view, &kind, &name) {
        Some(lines) => Ok(json!({ "explanation": lines })),
        None => {
            let detail = format!("{kind} `{name}` doesn't exist");
            Err(Problem::new(StatusCode::NOT_FOUND, detail))
        }
    }
}

async fn text_of(request: &mut Request) -> Result<String, Problem> {
    let payload = request.payload_with_max_size(MAX_DOCUMENT).await;
    let bytes = payload
        .map_err(|error| Problem::new(StatusCode::BAD_REQUEST, error))?;
    String::from_utf8(bytes.to_vec())
        .map_err(|error| Problem::new(StatusCode::BAD_REQUEST, error))
}

async fn put(request: &mut Request) -> Result<Change, Problem> {
    let (kind, name) = (kind_of(request), name_of(request));
    let kind: Kind = match kind.parse() {
        Ok(kind) => kind,
        Err(_) if is_read_only(&kind) => return Err(read_only(&kind)),
        Err(error) => return Err(error.into()),
    };
    let resource = Resource::from_yaml(&text_of(request).await?)?;
    if resource.kind() != kind || resource.name() != name {
        let detail = format!(
            "fields `kind` and `name` say {} `{}`, but the path says \
             {kind} `{name}`",
            resource.kind(),
            resource.name(),
        );
        return Err(Problem::new(StatusCode::BAD_REQUEST, detail));
    }
    Ok(Change::put(resource))
}

fn is_read_only(kind: &str) -> bool {
    ["vm", "task"].iter().any(|known| kind.eq_ignore_ascii_case(known))
}

fn read_only(kind: &str) -> Problem {
    let detail = format!("kind `{kind}` can only be read");
    Problem::new(StatusCode::METHOD_NOT_ALLOWED, detail)
}

fn delete(request: &Request) -> Result<Change, Problem> {
    let kind = kind_of(request);
    if is_read_only(&kind) {
        return Err(read_only(&kind));
    }
    Ok(Change::Delete {
        kind: kind.parse()?,
        name: name_of(request),
        expected: request.query("revision"),
    })
}

async fn apply(request: &mut Request) -> Result<Vec<Change>, Problem> {
    let resources = Resource::all_from_yaml(&text_of(request).await?)?;
    if resources.is_empty() {
        let detail = "there is no document in it";
        return Err(Problem::new(StatusCode::BAD_REQUEST, detail));
    }
    Ok(resources.into_iter().map(Change::put).collect())
}
