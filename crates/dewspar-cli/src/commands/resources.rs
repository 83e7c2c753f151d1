/*!
Reading and writing resources.
*/

use {
    super::{Api, read_file},
    crate::{
        client::Client,
        exit::{Code, Error},
        output::{self, Format},
    },
    clap::Args,
    dewspar::config::{Kind, Resource},
    serde_json::Value,
};

/// Create or replace the resources in a file, all or none.
#[derive(Args, Debug)]
pub struct Apply {
    /// The file with the documents; `-` is standard input.
    #[arg(short, long, value_name = "FILE")]
    file: String,
    #[command(flatten)]
    api: Api,
}

impl Apply {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the field at fault, or says whether
    /// the change may have been accepted.
    pub async fn run(self) -> Result<Code, Error> {
        let text = read_file(&self.file)?;
        // Read here too, so that a mistake is named without a node.
        let resources = documents(&text)?;
        let client = self.api.client()?;
        let answer = client.put("/v1/resources", text).await?;
        for resource in &resources {
            println!("{} `{}` accepted", resource.kind(), resource.name());
        }
        println!("revision {}", answer["revision"]);
        Ok(Code::Success)
    }
}

/// Show what `apply` would change.
#[derive(Args, Debug)]
pub struct Diff {
    /// The file with the documents; `-` is standard input.
    #[arg(short, long, value_name = "FILE")]
    file: String,
    #[command(flatten)]
    api: Api,
}

impl Diff {
    /// Runs the command; the code is 1 when something would change.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when a document isn't valid or the node can't be
    /// reached.
    pub async fn run(self) -> Result<Code, Error> {
        let resources = documents(&read_file(&self.file)?)?;
        let client = self.api.client()?;
        let mut code = Code::Success;
        for resource in &resources {
            if print_difference(&client, resource).await? {
                code = Code::Failure;
            }
        }
        Ok(code)
    }
}

async fn print_difference(
    client: &Client,
    wanted: &Resource,
) -> Result<bool, Error> {
    let (kind, name) = (wanted.kind(), wanted.name());
    let path = format!("/v1/{kind}/{name}");
    let current = match client.get(&path).await {
        Ok(current) => current["spec"].clone(),
        Err(error) if error.code() == Code::NotFound => Value::Null,
        Err(error) => return Err(error),
    };
    let wanted = wanted.spec().to_value();
    if current == wanted {
        return Ok(false);
    }
    println!("{kind} `{name}`");
    let fields = [&current, &wanted].map(|value| value.as_object());
    let mut names: Vec<&String> =
        fields.iter().flatten().flat_map(|fields| fields.keys()).collect();
    names.sort();
    names.dedup();
    for field in names {
        let (old, new) = (&current[field], &wanted[field]);
        if old != new && !old.is_null() {
            println!("- {field}: {old}");
        }
        if old != new && !new.is_null() {
            println!("+ {field}: {new}");
        }
    }
    Ok(true)
}

fn documents(text: &str) -> Result<Vec<Resource>, Error> {
    let resources = Resource::all_from_yaml(text).map_err(Error::invalid)?;
    if resources.is_empty() {
        return Err(Error::invalid("there is no document in the file"));
    }
    Ok(resources)
}

/// Read resources, VMs or tasks.
#[derive(Args, Debug)]
pub struct Get {
    /// The kind: Team, Pool, Service, Job, AvailabilityBudget,
    /// MaintenanceWave, Vm or Task.
    kind: String,
    /// The name; without one, all are listed.
    name: Option<String>,
    /// How to print.
    #[arg(short, long, value_enum, default_value_t)]
    output: Format,
    #[command(flatten)]
    api: Api,
}

impl Get {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when there is no such resource.
    pub async fn run(self) -> Result<Code, Error> {
        let client = self.api.client()?;
        let kind = canonical(&self.kind)?;
        let items = match &self.name {
            Some(name) => {
                vec![client.get(&format!("/v1/{kind}/{name}")).await?]
            }
            None => {
                let list = client.get(&format!("/v1/{kind}")).await?;
                list["items"].as_array().cloned().unwrap_or_default()
            }
        };
        print!("{}", output::resources(self.output, &items));
        Ok(Code::Success)
    }
}

/// Follow changes of the desired state.
#[derive(Args, Debug)]
pub struct Watch {
    /// Only this kind.
    kind: Option<String>,
    /// The revision after which to start; without one, the current.
    #[arg(long, value_name = "REVISION")]
    from: Option<u64>,
    /// Stop after so many changes.
    #[arg(long, value_name = "COUNT")]
    limit: Option<usize>,
    #[command(flatten)]
    api: Api,
}

impl Watch {
    /// Runs the command until the stream ends.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the revision is too long ago.
    pub async fn run(self) -> Result<Code, Error> {
        let client = self.api.client()?;
        let mut query = Vec::new();
        if let Some(from) = self.from {
            query.push(format!("from={from}"));
        }
        if let Some(kind) = &self.kind {
            query.push(format!("kind={}", canonical(kind)?));
        }
        let path = format!("/v1/watch?{}", query.join("&"));
        let mut lines = client.stream(&path).await?;
        let mut seen = 0;
        while self.limit.is_none_or(|limit| seen < limit) {
            let Some(line) = lines.next().await? else { break };
            if line["event"] != "bookmark" {
                println!("{line}");
                seen += 1;
            }
        }
        Ok(Code::Success)
    }
}

/// Remove a resource.
#[derive(Args, Debug)]
pub struct Delete {
    /// The kind.
    kind: String,
    /// The name.
    name: String,
    /// Only if the resource is still at this revision.
    #[arg(long, value_name = "REVISION")]
    revision: Option<u64>,
    #[command(flatten)]
    api: Api,
}

impl Delete {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the resource is still in use, or at another
    /// revision.
    pub async fn run(self) -> Result<Code, Error> {
        let client = self.api.client()?;
        let kind = canonical(&self.kind)?;
        let expected = self.revision.map(|r| format!("?revision={r}"));
        let query = expected.unwrap_or_default();
        let path = format!("/v1/{kind}/{}{query}", self.name);
        let answer = client.delete(&path).await?;
        println!("{kind} `{}` deleted", self.name);
        println!("revision {}", answer["revision"]);
        Ok(Code::Success)
    }
}

/// Returns a kind as the API spells it.
pub(super) fn canonical(kind: &str) -> Result<String, Error> {
    for read_only in ["Vm", "Task"] {
        if kind.eq_ignore_ascii_case(read_only) {
            return Ok(read_only.to_owned());
        }
    }
    match kind.parse::<Kind>() {
        Ok(kind) => Ok(kind.to_string()),
        Err(error) => Err(Error::invalid(format!("{error}, Vm, Task"))),
    }
}
