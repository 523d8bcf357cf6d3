use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use crate::Fleet;
use crate::ProgramKind;
use crate::ProgramSpec;
use crate::ReadyCheck;
use crate::default_program_dir;
use crate::fleet_error::Result;
use crate::fleet_error::system;
use crate::free_addresses;

/// Describes a fleet: one key-value service, one host list, at most one weight store, backend
/// servers, and hosts with a control and an entry process each.
///
/// Names are `kv`, `hostlist`, `store`, `engine-1`, `service-1`, `control-1`, `entry-1` and so on;
/// hosts are `host-1` and so on. Hosts take the places in turn.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    hosts: usize,
    has_store: bool,
    engines: usize,
    services: usize,
    region: String,
    places: Vec<String>,
    program_dir: Option<PathBuf>,
    arguments: HashMap<ProgramKind, Vec<String>>,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            hosts: 1,
            has_store: false,
            engines: 0,
            services: 0,
            region: "region-1".to_owned(),
            places: vec!["place-1".to_owned()],
            program_dir: None,
            arguments: HashMap::new(),
        }
    }
}

impl FleetBuilder {
    /// A fleet of one host without backend servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of hosts.
    pub fn with_hosts(mut self, hosts: usize) -> Self {
        self.hosts = hosts;
        self
    }

    /// Sets the number of model engines.
    pub fn with_engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Adds a weight store, from which the engines load.
    pub fn with_store(mut self) -> Self {
        self.has_store = true;
        self
    }

    /// Sets the number of plain service servers.
    pub fn with_services(mut self, services: usize) -> Self {
        self.services = services;
        self
    }

    /// Sets the region and its data centres, of which there must be at least one.
    pub fn with_places(mut self, region: &str, places: &[&str]) -> Self {
        self.region = region.to_owned();
        self.places = places.iter().map(|place| (*place).to_owned()).collect();
        self
    }

    /// Takes the programs from `dir`.
    pub fn with_program_dir(mut self, dir: impl Into<PathBuf>) -> Self {
        self.program_dir = Some(dir.into());
        self
    }

    /// Adds arguments for all processes of a kind.
    pub fn with_arguments(mut self, kind: ProgramKind, arguments: &[&str]) -> Self {
        let list = self.arguments.entry(kind).or_default();
        list.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        self
    }

    /// Starts all processes, stand-ins first. Does not wait until they are ready.
    pub fn start(&self) -> Result<Fleet> {
        let mut fleet = Fleet::new()?;
        for spec in self.prepare(&fleet)? {
            fleet.start(spec)?;
        }
        Ok(fleet)
    }

    /// Writes the files that the processes share, and tells how to start the processes.
    pub(crate) fn prepare(&self, fleet: &Fleet) -> Result<Vec<ProgramSpec>> {
        let peer_keys = fleet.peer_keys();
        write_peer_keys(&peer_keys)?;
        self.specs(&peer_keys)
    }

    /// How [`Self::start`] would start the processes, on ports that are free now.
    pub fn specs(&self, peer_keys: &Path) -> Result<Vec<ProgramSpec>> {
        let dir = match &self.program_dir {
            Some(dir) => dir.clone(),
            None => default_program_dir()?,
        };
        let count = 2 + usize::from(self.has_store) + self.engines + self.services + 3 * self.hosts;
        let addresses = free_addresses(count)?;
        let plan = FleetPlan {
            builder: self,
            dir,
            peer_keys: peer_keys.display().to_string(),
        };
        Ok(plan.specs(addresses))
    }
}

/// Position of the weight store among the stand-ins, after the key-value service and the host list.
const STORE_INDEX: usize = 2;

/// Values that the processes of one fleet share.
struct FleetPlan<'a> {
    builder: &'a FleetBuilder,
    dir: PathBuf,
    peer_keys: String,
}

impl FleetPlan<'_> {
    fn specs(&self, addresses: Vec<SocketAddr>) -> Vec<ProgramSpec> {
        let mut specs = Vec::with_capacity(addresses.len());
        let (standins, hosts) = addresses.split_at(addresses.len() - 3 * self.builder.hosts);
        let engines = (1..=self.builder.engines)
            .map(|number| (ProgramKind::Engine, format!("engine-{number}")));
        let services = (1..=self.builder.services)
            .map(|number| (ProgramKind::Service, format!("service-{number}")));
        let kinds = [
            (ProgramKind::Kv, "kv".to_owned()),
            (ProgramKind::HostList, "hostlist".to_owned()),
        ];
        let store = self.builder.has_store;
        let store = store.then(|| (ProgramKind::Store, "store".to_owned()));
        let kinds = kinds.into_iter().chain(store);
        let kinds = kinds.chain(engines).chain(services);
        for ((kind, name), address) in kinds.zip(standins) {
            specs.push(self.standin(kind, name, *address, standins));
        }
        for (index, addresses) in hosts.chunks_exact(3).enumerate() {
            let control = self.control(index, addresses[0], standins[0], standins[1]);
            specs.push(control);
            specs.push(self.entry(index, addresses[0], addresses[1], addresses[2]));
        }
        specs
    }

    fn standin(
        &self,
        kind: ProgramKind,
        name: String,
        address: SocketAddr,
        standins: &[SocketAddr],
    ) -> ProgramSpec {
        let mut arguments = vec!["--listen".to_owned(), address.to_string()];
        if kind == ProgramKind::Engine && self.builder.has_store {
            arguments.extend(["--store".to_owned(), standins[STORE_INDEX].to_string()]);
        }
        let ready = ReadyCheck::Connect(address);
        self.spec(kind, name, arguments, address, address, ready)
    }

    fn control(
        &self,
        index: usize,
        address: SocketAddr,
        kv: SocketAddr,
        host_list: SocketAddr,
    ) -> ProgramSpec {
        let mut arguments = self.host_arguments(index, address);
        let urls = [("--kv", kv), ("--hostlist", host_list)];
        for (flag, address) in urls {
            arguments.extend([flag.to_owned(), format!("http://{address}")]);
        }
        let name = format!("control-{}", index + 1);
        let ready = ReadyCheck::Readyz(address);
        self.spec(
            ProgramKind::Control,
            name,
            arguments,
            address,
            address,
            ready,
        )
    }

    fn entry(
        &self,
        index: usize,
        control: SocketAddr,
        address: SocketAddr,
        admin: SocketAddr,
    ) -> ProgramSpec {
        let mut arguments = self.host_arguments(index, address);
        let addresses = [("--admin", admin), ("--control", control)];
        for (flag, address) in addresses {
            arguments.extend([flag.to_owned(), address.to_string()]);
        }
        let name = format!("entry-{}", index + 1);
        let ready = ReadyCheck::Readyz(admin);
        self.spec(ProgramKind::Entry, name, arguments, address, admin, ready)
    }

    fn host_arguments(&self, index: usize, listen: SocketAddr) -> Vec<String> {
        let places = &self.builder.places;
        let pairs = [
            ("--listen", listen.to_string()),
            ("--host", format!("host-{}", index + 1)),
            ("--place", places[index % places.len()].clone()),
            ("--region", self.builder.region.clone()),
            ("--peer-keys", self.peer_keys.clone()),
        ];
        let pairs = pairs.into_iter();
        pairs
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect()
    }

    fn spec(
        &self,
        kind: ProgramKind,
        name: String,
        mut arguments: Vec<String>,
        address: SocketAddr,
        admin: SocketAddr,
        ready: ReadyCheck,
    ) -> ProgramSpec {
        let more = self.builder.arguments.get(&kind);
        arguments.extend(more.into_iter().flatten().cloned());
        ProgramSpec {
            name,
            kind,
            program: self.dir.join(kind.program()),
            arguments,
            address,
            admin,
            ready,
        }
    }
}

/// A line for the file of peer keys: `id` and a random key.
pub fn peer_key_line(id: &str) -> String {
    let key: [u8; 32] = rand::random();
    let digits: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{id}:{digits}\n")
}

fn write_peer_keys(path: &Path) -> Result<()> {
    fs::write(path, peer_key_line("fleet-1")).map_err(system("write the peer keys"))
}
