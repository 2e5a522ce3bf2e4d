//! A simulated network: the host at each address and the requests that it received.

use std::{
    collections::HashMap,
    future, io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use async_trait::async_trait;
use azuregate::{
    backend::{BackendConn, BackendDialer, SendCause, SendError},
    body::{self, Body},
};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{HeaderMap, Request, Response, body::Frame};

/// The behaviour of the host at an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Host {
    /// Responds to every request.
    Responds,
    /// Refuses requests like a dispatcher whose queue is full.
    NotRun,
    /// Responds like a dispatcher that cannot tell whether the request ran.
    Unknown,
    /// Refuses connections.
    Dead,
    /// Accepts requests and never responds.
    Frozen,
    /// Accepts a request and closes the connection.
    Cut,
    /// Closes the connection in the middle of the response body.
    CutsResponses,
}

/// A simulated network; cheap to clone.
#[derive(Clone, Default)]
pub(crate) struct Net {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) hosts: HashMap<SocketAddr, Host>,
    /// The requests received, with the address of the receiver.
    pub(crate) calls: Vec<(SocketAddr, HeaderMap)>,
}

impl Net {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub(crate) fn set(&self, addr: SocketAddr, host: Host) {
        self.state().hosts.insert(addr, host);
    }

    /// Returns the number of requests that the host at `addr` received.
    pub(crate) fn calls(&self, addr: SocketAddr) -> usize {
        self.state().calls.iter().filter(|(called, _)| *called == addr).count()
    }
}

struct Conn {
    net: Net,
    addr: SocketAddr,
}

#[async_trait]
impl BackendDialer for Net {
    async fn dial(&self, addr: SocketAddr) -> io::Result<Box<dyn BackendConn>> {
        match self.state().hosts.get(&addr) {
            None | Some(Host::Dead) => Err(io::ErrorKind::ConnectionRefused.into()),
            Some(_) => Ok(Box::new(Conn { net: self.clone(), addr })),
        }
    }
}

#[async_trait]
impl BackendConn for Conn {
    async fn send(&mut self, request: Request<Body>) -> Result<Response<Body>, SendError> {
        let (head, body) = request.into_parts();
        let lost = |_| SendError { cause: SendCause::Lost, detail: "cut".to_owned() };
        body.collect().await.map_err(lost)?;
        let host = {
            let mut state = self.net.state();
            state.calls.push((self.addr, head.headers));
            state.hosts[&self.addr]
        };
        match host {
            Host::Responds => Ok(answer(200, None)),
            Host::NotRun => Ok(answer(503, Some("not-run"))),
            Host::Unknown => Ok(answer(504, Some("unknown"))),
            Host::CutsResponses => {
                let cut = stream::iter([Err::<Frame<Bytes>, _>(body::BodyError::from("cut"))]);
                Ok(Response::new(StreamBody::new(cut).boxed_unsync()))
            }
            Host::Frozen => future::pending().await,
            Host::Dead | Host::Cut => Err(lost(body::BodyError::from("cut"))),
        }
    }

    fn is_idle(&self) -> bool {
        true
    }
}

fn answer(status: u16, outcome: Option<&str>) -> Response<Body> {
    let mut builder = Response::builder().status(status);
    if let Some(outcome) = outcome {
        builder = builder.header("azuregate-outcome", outcome);
    }
    builder.body(body::full("done")).unwrap()
}
