//! HTTP server of the traffic port, with graceful shutdown.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use azuregate_core::names::{InstanceId, StartNumber};
use futures_util::{FutureExt, future::BoxFuture};
use http_body_util::BodyExt;
use hyper::{
    Request, Response, body::Incoming, header, header::HeaderValue, server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

use crate::{
    accept,
    body::Body,
    client_limiter::{ClientBody, ClientLimiter, ClientStream},
    config::{Change, Config},
    gateway::Gateway,
    stop::StopSignal,
};

/// The longest head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// What the socket of a client may hold of its request, and of its response. Otherwise it grows to megabytes.
const SOCKET_BUFFER_BYTES: usize = 32 << 10;

/// The HTTP server for clients.
pub struct TrafficServer {
    /// Handles the requests.
    pub gateway: Arc<Gateway>,
    /// Announces to peers that the instance stops.
    pub config: Config,
    /// The name of this instance.
    pub instance: InstanceId,
    /// Its start number.
    pub start: StartNumber,
    /// Signals a planned stop.
    pub stop: StopSignal,
    /// Limits what clients make the instance hold.
    pub limiter: Arc<ClientLimiter>,
}

impl TrafficServer {
    /// Serves until a planned stop has completed.
    ///
    /// A planned stop first tells the peers, so that no instance directs clients
    /// here any more, and continues to serve for `stop_delay_ms`, because clients
    /// may still use cached entry look-ups. Then it closes the port and finishes
    /// the requests in progress.
    pub async fn serve(self, listener: TcpListener, stop_delay_ms: u64) {
        // Accepted connections have these as well.
        let socket = SockRef::from(&listener);
        let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
        let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
        let graceful = GracefulShutdown::new();
        let stopped = self.wait_for_stop(stop_delay_ms);
        tokio::pin!(stopped);
        loop {
            tokio::select! {
                (stream, caller) = accept::next(&listener) => {
                    self.spawn_connection(&graceful, stream, caller);
                }
                () = &mut stopped => break,
            }
        }
        // Dropping the listener would reset connections in its accept queue.
        while let Some(Ok((stream, caller))) = listener.accept().now_or_never() {
            self.spawn_connection(&graceful, stream, caller);
        }
        drop(listener);
        log::info!(instance:% = self.instance, in_progress = graceful.count(); "port closed");
        graceful.shutdown().await;
        self.gateway.finish().await;
    }

    async fn wait_for_stop(&self, stop_delay_ms: u64) {
        let mut stop = self.stop.clone();
        stop.wait().await;
        self.config.change(Change::Stopping(self.instance.clone(), self.start));
        time::sleep(Duration::from_millis(stop_delay_ms)).await;
    }

    fn spawn_connection(&self, graceful: &GracefulShutdown, stream: TcpStream, caller: SocketAddr) {
        let Some(connection) = self.limiter.open(caller) else { return };
        let _ = stream.set_nodelay(true);
        let (gateway, stop) = (Arc::clone(&self.gateway), self.stop.clone());
        let service = service_fn({
            let connection = Arc::clone(&connection);
            move |request: Request<Incoming>| {
                let request = request.map(|body| {
                    ClientBody::new(body, Arc::clone(&connection))
                        .map_err(Into::into)
                        .boxed_unsync()
                });
                connection.begin_request();
                let response = respond(Arc::clone(&gateway), stop.clone(), request, caller);
                let connection = Arc::clone(&connection);
                async move {
                    let response = response.await;
                    connection.end_request();
                    response
                }
            }
        });
        let stream = ClientStream::new(stream, Arc::clone(&connection));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let conn = graceful.watch(conn);
        tokio::spawn(async move {
            let result = tokio::select! {
                result = conn => result,
                () = connection.closed() => return,
            };
            if let Err(e) = result {
                log::debug!(caller:% = caller, error:% = e; "caller's connection ended");
            }
        });
    }
}

fn respond(
    gateway: Arc<Gateway>,
    stop: StopSignal,
    request: Request<Body>,
    caller: SocketAddr,
) -> BoxFuture<'static, Result<Response<Body>, Infallible>> {
    Box::pin(async move {
        let mut response = gateway.handle(request, caller).await;
        if stop.is_stopping() {
            // A connection that is kept alive would be closed later, possibly while
            // the client sends its next request.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    })
}
