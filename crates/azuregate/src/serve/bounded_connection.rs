//! Serves a connection on a port that has no pipeline and no timeouts of its own.

use std::{convert::Infallible, error::Error, pin::pin, rc::Rc, time::Duration};

use azuregate_core::client_memory::Activity;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    server::conn::http1,
    service::Service,
};
use tokio::{net::TcpStream, time};

use super::{client_memory::ConnectionMemory, client_stream, connection::LINGER_MS};

/// Serves a connection whose heads have at most `head_bytes`, until either side closes it. The service begins
/// each request with [`ConnectionMemory::begin_request`].
pub(super) async fn serve<S, B>(
    stream: TcpStream,
    memory: Rc<ConnectionMemory>,
    head_bytes: usize,
    service: S,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (client_stream, read_ahead) = client_stream::split(stream, Rc::clone(&memory));
    let on_bytes = |_: &[u8]| {
        memory.set_active(true);
        if !memory.is_working() {
            memory.set_activity(Activity::Receiving);
            if !memory.has_memory() {
                memory.close();
            }
        }
    };
    let mut read_ahead = pin!(read_ahead.run(on_bytes, || false));
    let mut server = http1::Builder::new();
    server.header_read_timeout(None).max_buf_size(head_bytes);
    let mut connection = pin!(server.serve_connection(client_stream, service));
    tokio::select! {
        // The last response may have been sent before the whole request was received.
        _ = &mut connection => {
            let _ = time::timeout(Duration::from_millis(LINGER_MS), read_ahead).await;
        }
        () = &mut read_ahead => {}
        () = memory.closed() => {}
    }
}
