/*!
Stand-ins for the platform and the targets, as a process of their own.
*/

use {
    crate::exit::{Code, Error},
    clap::{Args, Subcommand},
    dewspar_standin::{
        certs::Authority,
        faults::Faults,
        fleet::{self, Fleet, VmSpec},
        kv::KvServer,
        recorder::Recorder,
        store::Store,
    },
    serde::Deserialize,
    std::{
        collections::BTreeSet,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
    tokio::signal::ctrl_c,
};

/// Run stand-ins for the platform and the targets.
#[derive(Args, Debug)]
pub struct Standin {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// The key-value service, the VM list, the workers and their runners.
    Platform {
        /// The settings file, in YAML.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Where to write what the runners ran, at the end.
        #[arg(long, value_name = "FILE")]
        history: Option<PathBuf>,
    },
    /// A certificate authority and a certificate for each node.
    Certs {
        /// The folder to write them into.
        #[arg(long, value_name = "DIR")]
        dir: PathBuf,
        /// The nodes' names.
        nodes: Vec<String>,
    },
}

/// Settings of the stand-ins.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    /// Where the key-value service listens.
    key_value_address: SocketAddr,
    /// Where the VM list listens.
    vm_list_address: SocketAddr,
    /// How long each call of the key-value service takes, in microseconds.
    #[serde(default = "two_thousand")]
    delay_us: u64,
    /// How long each request takes on a runner, in milliseconds.
    #[serde(default)]
    service_time_ms: u64,
    /// How long a reboot takes, in milliseconds.
    #[serde(default = "five_hundred")]
    reboot_ms: u64,
    /// By how much the VM list lags, in milliseconds.
    #[serde(default = "five_hundred")]
    lag_ms: u64,
    /// The VMs.
    vms: Vec<VmSpec>,
}

impl Settings {
    fn read(path: &Path) -> Result<Settings, Error> {
        let text = fs::read_to_string(path).map_err(|error| {
            Error::invalid(format!("{}: {error}", path.display()))
        })?;
        let settings: Settings =
            serde_norway::from_str(&text).map_err(|error| {
                Error::invalid(format!("{}: {error}", path.display()))
            })?;
        let mut names = BTreeSet::new();
        for (index, vm) in settings.vms.iter().enumerate() {
            if !names.insert(&vm.name) {
                let message = format!(
                    "field `vms[{index}].name`: there is a VM `{}` already",
                    vm.name,
                );
                return Err(Error::invalid(message));
            }
        }
        let (first, second) =
            (settings.key_value_address, settings.vm_list_address);
        if first == second && first.port() != 0 {
            let message = format!(
                "field `vm_list_address` is {}, which `key_value_address` \
                 has already",
                settings.vm_list_address,
            );
            return Err(Error::invalid(message));
        }
        Ok(settings)
    }
}

fn two_thousand() -> u64 {
    2_000
}

fn five_hundred() -> u64 {
    500
}

impl Standin {
    /// Runs the command; stand-ins run until they are interrupted.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the settings' field at fault.
    pub async fn run(self) -> Result<Code, Error> {
        match self.what {
            What::Certs { dir, nodes } => certs(&dir, &nodes),
            What::Platform { settings, history } => {
                platform(&Settings::read(&settings)?, history).await
            }
        }
    }
}

async fn platform(
    settings: &Settings,
    history: Option<PathBuf>,
) -> Result<Code, Error> {
    let faults = Faults::new(1);
    faults.set_delay_us(settings.delay_us);
    let store = Store::new(faults);
    let listen = |field: &str, error: &dyn std::fmt::Display| {
        Error::invalid(format!("field `{field}`: {error}"))
    };
    let kv = KvServer::start(settings.key_value_address, store)
        .await
        .map_err(|error| listen("key_value_address", &error))?;
    let recorder = Recorder::default();
    let options = fleet::Options::default()
        .lag(Duration::from_millis(settings.lag_ms))
        .service_time(Duration::from_millis(settings.service_time_ms))
        .reboot_time(Duration::from_millis(settings.reboot_ms))
        .recorder(recorder.clone());
    let vms = settings.vms.clone();
    let fleet = Fleet::start(settings.vm_list_address, vms, options)
        .await
        .map_err(|error| listen("vm_list_address", &error))?;
    println!("key-value service at {}", kv.url());
    println!("VM list at {}", fleet.url());
    ctrl_c().await.map_err(Error::failure)?;
    if let Some(path) = history {
        fs::write(path, recorder.to_text()).map_err(Error::failure)?;
    }
    Ok(Code::Success)
}

fn certs(dir: &Path, nodes: &[String]) -> Result<Code, Error> {
    fs::create_dir_all(dir).map_err(Error::failure)?;
    let authority = Authority::new().map_err(Error::failure)?;
    write(dir, "ca.pem", &authority.certificate_pem())?;
    for node in nodes {
        let identity = authority.issue(node).map_err(Error::failure)?;
        write(dir, &format!("{node}.pem"), identity.certificate_pem())?;
        write(dir, &format!("{node}.key"), identity.key_pem())?;
    }
    Ok(Code::Success)
}

fn write(dir: &Path, name: &str, text: &str) -> Result<(), Error> {
    let path = dir.join(name);
    fs::write(&path, text).map_err(|error| {
        Error::failure(format!("{}: {error}", path.display()))
    })?;
    println!("{}", path.display());
    Ok(())
}
