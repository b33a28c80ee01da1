//! Control port of a fleet: HTTP calls that apply faults and read the records of the fleet.
//!
//! | request | body | answer |
//! | --- | --- | --- |
//! | `POST /faults` | `FaultCommand` | `{}`; 400 with the error |
//! | `GET /addresses` | | addresses of the platform and of all endpoints |
//! | `GET /executions` | | every execution of the services |
//! | `GET /orders` | | every order sent to an engine |
//! | `GET /conflicts` | | conflicts among the accepted orders |

use crate::fault::FaultCommand;
use crate::fleet::Fleet;
use crate::reply::{self, Reply};
use crate::server::StandinServer;
use catalogue::id::EndpointId;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use indexmap::IndexMap;
use smol_str::SmolStr;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Listening addresses of a fleet
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct FleetAddresses {
    pub log: SocketAddr,
    pub instances: SocketAddr,
    pub weights: SocketAddr,
    /// Engines and services
    pub endpoints: IndexMap<EndpointId, SocketAddr>,
}

#[derive(serde::Serialize)]
struct ControlError {
    error: SmolStr,
}

impl Fleet {
    pub fn addresses(&self) -> FleetAddresses {
        let engines = self.engines.values().map(|it| (it.id().clone(), it.address()));
        let services = self.services.values().map(|it| (it.id().clone(), it.address()));
        FleetAddresses {
            log: self.log_address(),
            instances: self.list.address(),
            weights: self.weights.address(),
            endpoints: engines.chain(services).collect(),
        }
    }

    /// Opens the control port, which is closed when the returned server is dropped
    ///
    /// # Errors
    /// Any error of listening.
    pub fn serve_control(&self, address: SocketAddr) -> io::Result<StandinServer> {
        let fleet = self.clone();
        StandinServer::http_at(
            address,
            Arc::new(move |request| {
                let fleet = fleet.clone();
                Box::pin(async move { Ok(answer(fleet, request).await) })
            }),
        )
    }
}

async fn answer(fleet: Fleet, request: Request<Incoming>) -> Reply {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/faults") => apply_fault(&fleet, request).await,
        (&Method::GET, "/addresses") => reply::json(StatusCode::OK, &fleet.addresses()),
        (&Method::GET, "/executions") => reply::json(StatusCode::OK, &fleet.service_executions()),
        (&Method::GET, "/orders") => reply::json(StatusCode::OK, &fleet.orders()),
        (&Method::GET, "/conflicts") => reply::json(StatusCode::OK, &fleet.conflicts()),
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

async fn apply_fault(fleet: &Fleet, request: Request<Incoming>) -> Reply {
    let command = match reply::read_json::<FaultCommand>(request).await {
        Ok(command) => command,
        Err(error) => return refuse(&error),
    };
    match fleet.apply(&command) {
        Ok(()) => reply::json_bytes(StatusCode::OK, "{}"),
        Err(error) => refuse(&error),
    }
}

fn refuse(error: &impl std::error::Error) -> Reply {
    let error = ControlError { error: SmolStr::new(error.to_string()) };
    reply::json(StatusCode::BAD_REQUEST, &error)
}
