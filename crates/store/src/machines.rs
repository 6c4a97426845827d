//! Client of the platform's list of machines, which lags behind the machines that actually run.

use hyper::Method;
use loftdrift_http::{HttpClient, HttpError};
use serde::{Deserialize, Serialize};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// What a machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineRole {
    /// Runs a balancer.
    Balancer,
    /// Runs a back end and its agent.
    Backend,
}

/// Whether a machine keeps running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// It is running, as far as the platform knows.
    Live,
    /// It will be removed soon.
    Leaving,
}

/// A machine in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// What it is for.
    pub role: MachineRole,
    /// UDP address of its loftdrift process.
    pub address: SocketAddrV4,
    /// Whether it keeps running.
    pub state: MachineState,
}

/// The list of machines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    pub machines: Vec<Machine>,
}

/// A client that reads and updates the list of machines.
#[derive(Clone, Debug)]
pub struct MachineListClient {
    http: HttpClient,
}

impl MachineListClient {
    /// A client of the platform at `server`.
    pub fn new(server: SocketAddr) -> Self {
        MachineListClient { http: HttpClient::new(server, REQUEST_TIMEOUT) }
    }

    /// Reads the platform's current list.
    pub async fn read(&self) -> Result<MachineList, HttpError> {
        self.http.send_json(Method::GET, "/machines", &()).await
    }

    /// Replaces a machine's entry, as the platform's own tools do when they start a machine.
    pub async fn put(&self, machine: &Machine) -> Result<(), HttpError> {
        self.http.send_json(Method::PUT, "/machines", machine).await
    }
}
