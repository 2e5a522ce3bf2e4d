//! The ports of an entry instance, and the loop that accepts clients.

use std::{net::SocketAddr, pin::pin, rc::Rc};

use azuregate_platform::settings::Settings;
use error_stack::{Report, ResultExt};
use tokio::{
    net::{TcpListener, UdpSocket},
    task::spawn_local,
};

use super::{ServeError, connection, phase::Phase, state::State, stop};
use crate::accept;

/// Where metrics are served, on every machine.
const METRICS_PORT: u16 = 9_464;

/// Open ports that nobody serves yet.
pub(super) struct Listeners {
    pub(super) traffic: TcpListener,
    pub(super) ready: TcpListener,
    pub(super) lookups: TcpListener,
    pub(super) heartbeats: UdpSocket,
    /// For instances that follow this one.
    pub(super) followers: TcpListener,
    /// An instance without metrics still serves.
    pub(super) metrics: Option<TcpListener>,
}

impl Listeners {
    pub(super) async fn open(settings: &Settings) -> Result<Listeners, Report<ServeError>> {
        let heartbeats_addr = SocketAddr::new(settings.ip, settings.peer_port);
        let heartbeats = UdpSocket::bind(heartbeats_addr)
            .await
            .change_context(ServeError)
            .attach_with(|| format!("cannot use {heartbeats_addr} for heartbeats"))?;
        let metrics_addr = SocketAddr::new(settings.ip, METRICS_PORT);
        let metrics = match TcpListener::bind(metrics_addr).await {
            Ok(listener) => Some(listener),
            Err(e) => {
                log::warn!(addr:% = metrics_addr, error:% = e; "no metrics");
                None
            }
        };
        Ok(Listeners {
            traffic: bind(settings.traffic_addr).await?,
            ready: bind(settings.readiness_addr).await?,
            lookups: bind(settings.lookup_addr).await?,
            heartbeats,
            followers: bind(heartbeats_addr).await?,
            metrics,
        })
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Report<ServeError>> {
    TcpListener::bind(addr)
        .await
        .change_context(ServeError)
        .attach_with(|| format!("cannot listen on {addr}"))
}

/// Accepts connections until the planned stop says that no more are taken.
pub(super) async fn serve(state: Rc<State>, listener: TcpListener) {
    let mut closed = pin!(stop::reached(&state, Phase::Closed));
    loop {
        let (stream, _) = tokio::select! {
            accepted = accept::next(&listener) => accepted,
            () = &mut closed => return,
        };
        let state = Rc::clone(&state);
        spawn_local(async move {
            state.connections.set(state.connections.get() + 1);
            connection::serve(Rc::clone(&state), stream).await;
            state.connections.set(state.connections.get() - 1);
        });
    }
}
