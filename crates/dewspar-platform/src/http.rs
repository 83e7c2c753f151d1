/*!
Adapters for the VM list and the workers, as JSON over HTTP.

The VM list is read with its entity tag, so an unchanged list costs a few
hundred bytes however large the fleet is. Workers take `POST /tasks`,
`DELETE /tasks/{task}?epoch=N`, `POST /reboot` and `GET /report`.
*/

use {
    crate::{
        Client, Error, TaskReport, TaskStart, UnreadableNotes, VmList,
        VmListing, WorkerReport, Workers,
        client::{empty_request, refusal},
        lenient::{Listing, Read, check_row, read_listing},
    },
    dewspar::fleet,
    hyper::{
        Method, StatusCode,
        header::{self, HeaderValue},
    },
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// The VM list at a URL.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: Client,
    url: String,
    unreadable: UnreadableNotes,
}

/// The list as it is on the wire.
#[derive(Deserialize)]
struct ListedVms(Vec<fleet::Listing>);

impl Listing for ListedVms {
    const LISTS: &'static [&'static str] = &[""];
    const ROW: &'static str = "VM";

    fn check(_: &str, row: &str) -> Result<(), serde_json::Error> {
        check_row::<fleet::Listing>(row)
    }

    fn name(row: &Value) -> Option<String> {
        row.get("name")?.as_str().map(str::to_owned)
    }
}

impl HttpVmList {
    /// Makes an adapter for the list at `url`.
    pub fn new(client: Client, url: &str) -> HttpVmList {
        let unreadable = UnreadableNotes::default();
        HttpVmList { client, url: url.to_owned(), unreadable }
    }

    /// Notes what can't be read here.
    pub fn with_unreadable(mut self, notes: &UnreadableNotes) -> HttpVmList {
        self.unreadable = notes.clone();
        self
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
        let Read { listing: ListedVms(vms), is_partial } =
            read_listing(call, &answer, &self.unreadable)?;
        let tag = answer.tag.unwrap_or_default();
        Ok(Some(VmListing { tag, vms, is_partial }))
    }
}

/// The workers, each at its own address.
#[derive(Clone, Debug)]
pub struct HttpWorkers {
    client: Client,
    unreadable: UnreadableNotes,
}

impl Listing for WorkerReport {
    const LISTS: &'static [&'static str] = &["tasks"];
    const ROW: &'static str = "task of a worker's report";

    fn check(_: &str, row: &str) -> Result<(), serde_json::Error> {
        check_row::<TaskReport>(row)
    }

    fn name(row: &Value) -> Option<String> {
        row.get("task")?.as_str().map(str::to_owned)
    }
}

impl HttpWorkers {
    /// Makes an adapter that calls workers through `client`.
    pub fn new(client: Client) -> HttpWorkers {
        HttpWorkers { client, unreadable: UnreadableNotes::default() }
    }

    /// Notes what can't be read here.
    pub fn with_unreadable(mut self, notes: &UnreadableNotes) -> HttpWorkers {
        self.unreadable = notes.clone();
        self
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
        let Read { listing, is_partial } =
            read_listing(call, &answer, &self.unreadable)?;
        Ok(WorkerReport { is_partial, ..listing })
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
