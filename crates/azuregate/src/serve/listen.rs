//! Binds the ports of an entry instance and accepts client connections.

use std::{net::SocketAddr, pin::pin, rc::Rc};

use azuregate_platform::settings::Settings;
use error_stack::{Report, ResultExt};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, UdpSocket},
    task::spawn_local,
};

use super::{
    ServeError, client_memory::Port, connection, shutdown, shutdown_phase::ShutdownPhase,
    state::State,
};
use crate::accept;

/// The metrics port of every instance, as `deploy/system.toml` declares it.
const METRICS_PORT: u16 = 9_464;

/// What a connection may receive before it is read.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// What a connection may hold of a response that its client does not read.
pub(super) const SEND_BUFFER_BYTES: usize = 32 << 10;

/// The bound sockets of an entry instance.
pub(super) struct Listeners {
    pub(super) traffic: TcpListener,
    pub(super) readiness: TcpListener,
    pub(super) lookups: TcpListener,
    pub(super) heartbeats: UdpSocket,
    /// Accepts instances that follow this one.
    pub(super) followers: TcpListener,
    /// Accepts requests that other instances forward; `None` if the settings have no port for it.
    pub(super) forwarded: Option<TcpListener>,
    /// `None` if the metrics port is unavailable; the instance serves without it.
    pub(super) metrics: Option<TcpListener>,
}

impl Listeners {
    pub(super) async fn open(settings: &Settings) -> Result<Listeners, Report<ServeError>> {
        let heartbeats_addr = SocketAddr::new(settings.ip, settings.peer_port);
        let heartbeats = UdpSocket::bind(heartbeats_addr)
            .await
            .change_context(ServeError)
            .attach_with(|| format!("cannot bind UDP {heartbeats_addr} for heartbeats"))?;
        let metrics_addr = SocketAddr::new(settings.ip, METRICS_PORT);
        let metrics = match TcpListener::bind(metrics_addr).await {
            Ok(listener) => Some(listener),
            Err(e) => {
                log::warn!(addr:% = metrics_addr, error:% = e; "cannot bind metrics port, serving without metrics");
                None
            }
        };
        Ok(Listeners {
            traffic: bind(settings.traffic_addr).await?,
            readiness: bind(settings.readiness_addr).await?,
            lookups: bind(settings.lookup_addr).await?,
            heartbeats,
            followers: bind(heartbeats_addr).await?,
            forwarded: match settings.forwarding_port() {
                Some(port) => Some(bind(SocketAddr::new(settings.ip, port)).await?),
                None => None,
            },
            metrics,
        })
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Report<ServeError>> {
    let listener = TcpListener::bind(addr)
        .await
        .change_context(ServeError)
        .attach_with(|| format!("cannot listen on {addr}"))?;
    // Accepted connections have these as well. Otherwise they grow to megabytes.
    let socket = SockRef::from(&listener);
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    Ok(listener)
}

/// Accepts client connections until the shutdown closes the listener.
pub(super) async fn serve(state: Rc<State>, listener: TcpListener) {
    let mut closed = pin!(shutdown::wait_for_phase(&state, ShutdownPhase::ListenerClosed));
    loop {
        let (stream, peer) = tokio::select! {
            accepted = accept::next(&listener) => accepted,
            () = &mut closed => return,
        };
        let Some(memory) = state.client_memory.open(Port::Traffic, peer.ip()) else { continue };
        let state = Rc::clone(&state);
        spawn_local(async move {
            state.connections.set(state.connections.get() + 1);
            connection::serve(Rc::clone(&state), stream, peer.ip(), memory).await;
            state.connections.set(state.connections.get() - 1);
        });
    }
}
