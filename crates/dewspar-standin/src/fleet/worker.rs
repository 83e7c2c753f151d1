use {
    super::{Shared, Started, Work, any_port},
    crate::{
        runner,
        server::{self, Body},
    },
    dewspar::history::Event,
    dewspar_platform::TaskStart,
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde::Deserialize,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

#[derive(Deserialize)]
struct Reboot {
    epoch: u64,
}

/// Answers a call to one VM's worker; `None` cuts the connection.
pub(super) async fn answer_worker(
    shared: &Arc<Shared>,
    name: &str,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let method = request.method().clone();
    let uri = request.uri().clone();
    let body = server::body_of(request).await?;
    let bad = |reason: String| server::whole(StatusCode::BAD_REQUEST, reason);
    let response = match (method, uri.path()) {
        (Method::GET, "/report") => {
            let state = shared.lock();
            server::json(&state.vms.get(name)?.report())
        }
        (Method::POST, "/tasks") => match serde_json::from_slice(&body) {
            Ok(start) => start_task(shared, name, start).await?,
            Err(error) => bad(error.to_string()),
        },
        (Method::POST, "/reboot") => match serde_json::from_slice(&body) {
            Ok(reboot) => start_reboot(shared, name, reboot)?,
            Err(error) => bad(error.to_string()),
        },
        (Method::DELETE, path) => {
            let task = path.trim_start_matches("/tasks/");
            let epoch = uri.query().and_then(|q| q.strip_prefix("epoch="));
            match epoch.and_then(|epoch| epoch.parse().ok()) {
                Some(epoch) => stop_task(shared, name, task, epoch)?,
                None => bad("`epoch` is missing".to_owned()),
            }
        }
        _ => server::whole(StatusCode::NOT_FOUND, "no such call"),
    };
    Some(response)
}

async fn start_task(
    shared: &Arc<Shared>,
    name: &str,
    start: TaskStart,
) -> Option<Response<Body>> {
    let faults = {
        let mut state = shared.lock();
        let vm = state.vms.get_mut(name)?;
        if vm.is_rebooting() {
            let text = "the VM reboots";
            return Some(server::whole(StatusCode::SERVICE_UNAVAILABLE, text));
        }
        let known = vm.epochs.entry(start.task.clone()).or_default();
        if start.epoch < *known {
            let text = format!("epoch {known} has been seen");
            return Some(server::whole(StatusCode::CONFLICT, text));
        }
        *known = start.epoch;
        if let Some(started) = vm.tasks.get(&start.task)
            && started.epoch == start.epoch
        {
            return Some(server::json(&started.report(&start.task)));
        }
        vm.faults.clone()
    };
    let work = if start.slots == 0 {
        let until = Instant::now() + Duration::from_millis(start.run_ms);
        Work::Job { until }
    } else {
        let options = runner::Options::new(&start.task, name)
            .slots(start.slots)
            .service_time(shared.options.service_time)
            .faults(faults)
            .record_runs(shared.options.record_runs)
            .recorder(shared.options.recorder.clone());
        Work::Runner(options.start(any_port()).await.ok()?)
    };
    let started = Started { epoch: start.epoch, work };
    let report = started.report(&start.task);
    let mut state = shared.lock();
    state.vms.get_mut(name)?.tasks.insert(start.task, started);
    Some(server::json(&report))
}

fn stop_task(
    shared: &Arc<Shared>,
    name: &str,
    task: &str,
    epoch: u64,
) -> Option<Response<Body>> {
    let mut state = shared.lock();
    let vm = state.vms.get_mut(name)?;
    if vm.tasks.get(task).is_some_and(|started| started.epoch <= epoch)
        && let Some(started) = vm.tasks.remove(task)
    {
        record_cuts(shared, &started, "stop");
    }
    Some(server::whole(StatusCode::OK, "stopped"))
}

fn start_reboot(
    shared: &Arc<Shared>,
    name: &str,
    reboot: Reboot,
) -> Option<Response<Body>> {
    let mut state = shared.lock();
    let vm = state.vms.get_mut(name)?;
    if reboot.epoch > vm.rebooted_epoch {
        vm.rebooted_epoch = reboot.epoch;
        let until = Instant::now() + shared.options.reboot_time;
        vm.rebooting_until = Some(until);
        for started in std::mem::take(&mut vm.tasks).into_values() {
            record_cuts(shared, &started, "reboot");
        }
    }
    Some(server::json(&vm.report()))
}

/// Writes down what a planned stop has cut.
fn record_cuts(shared: &Shared, started: &Started, by: &str) {
    if let Work::Runner(runner) = &started.work {
        for request in runner.requests_in_flight() {
            let by = by.to_owned();
            shared.options.recorder.record(Event::Cut { request, by });
        }
    }
}
