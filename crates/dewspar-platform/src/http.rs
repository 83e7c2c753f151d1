/*!
Adapters for the VM list and the workers, as JSON over HTTP.

The VM list is read with its entity tag, so an unchanged list costs a few
hundred bytes however large the fleet is. Workers take `POST /tasks`,
`DELETE /tasks/{task}?epoch=N`, `POST /reboot` and `GET /report`.
*/

use {
    crate::{
        Client, Error, TaskReport, TaskStart, VmList, VmListing, WorkerReport,
        Workers,
        client::{empty_request, read_json, refusal},
    },
    hyper::{
        Method, StatusCode,
        header::{self, HeaderValue},
    },
    serde::Serialize,
};

/// The VM list at a URL.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: Client,
    url: String,
}

impl HttpVmList {
    /// Makes an adapter for the list at `url`.
    pub fn new(client: Client, url: &str) -> HttpVmList {
        HttpVmList { client, url: url.to_owned() }
    }

    /// Returns the client, whose counters say what was called.
    pub fn client(&self) -> &Client {
        &self.client
    }
}

impl VmList for HttpVmList {
    async fn list(&self, tag: &str) -> Result<Option<VmListing>, Error> {
        let call = "list VMs";
        let mut request = empty_request(call, Method::GET, &self.url)?;
        if let Ok(tag) = HeaderValue::from_str(tag) {
            request.headers_mut().insert(header::IF_NONE_MATCH, tag);
        }
        let answer = self.client.send(call, request).await?;
        if answer.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let vms = read_json(call, &answer)?;
        let tag = answer.tag.unwrap_or_default();
        Ok(Some(VmListing { tag, vms }))
    }
}

/// The workers, each at its own address.
#[derive(Clone, Debug)]
pub struct HttpWorkers {
    client: Client,
}

impl HttpWorkers {
    /// Makes an adapter that calls workers through `client`.
    pub fn new(client: Client) -> HttpWorkers {
        HttpWorkers { client }
    }

    /// Returns the client, whose counters say what was called.
    pub fn client(&self) -> &Client {
        &self.client
    }
}

#[derive(Serialize)]
struct Reboot {
    epoch: u64,
}

impl Workers for HttpWorkers {
    async fn report(&self, address: &str) -> Result<WorkerReport, Error> {
        let call = "read worker report";
        let url = format!("http://{address}/report");
        let request = empty_request(call, Method::GET, &url)?;
        let answer = self.client.send(call, request).await?;
        read_json(call, &answer)
    }

    async fn start(
        &self,
        address: &str,
        start: &TaskStart,
    ) -> Result<TaskReport, Error> {
        let url = format!("http://{address}/tasks");
        self.client.post("start task", &url, start).await
    }

    async fn stop(
        &self,
        address: &str,
        task: &str,
        epoch: u64,
    ) -> Result<(), Error> {
        let call = "stop task";
        let url = format!("http://{address}/tasks/{task}?epoch={epoch}");
        let request = empty_request(call, Method::DELETE, &url)?;
        let answer = self.client.send(call, request).await?;
        match answer.status {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Ok(()),
            status => Err(refusal(call, status, status.to_string())),
        }
    }

    async fn reboot(&self, address: &str, epoch: u64) -> Result<(), Error> {
        let url = format!("http://{address}/reboot");
        let reboot = Reboot { epoch };
        let _: WorkerReport =
            self.client.post("reboot VM", &url, &reboot).await?;
        Ok(())
    }
}
