//! Serves a connection on a port that has no pipeline and no timeouts of its own.

use std::{cell::Cell, convert::Infallible, error::Error, pin::pin, rc::Rc};

use azuregate_core::client_memory::Activity;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    server::conn::http1,
    service::{Service, service_fn},
};
use tokio::net::TcpStream;

use super::{client_memory::ConnectionMemory, client_stream};

/// Serves a connection whose heads have at most `head_bytes`, until either side closes it.
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
    let is_working = Cell::new(false);
    let service = service_fn(|request| {
        is_working.set(true);
        memory.set_activity(Activity::Working);
        let response = service.call(request);
        let (memory, is_working) = (&memory, &is_working);
        async move {
            let response = response.await;
            is_working.set(false);
            memory.set_activity(Activity::Idle);
            memory.set_active(false);
            response
        }
    });
    let on_bytes = |_: &[u8]| {
        memory.set_active(true);
        if !is_working.get() {
            memory.set_activity(Activity::Receiving);
            if !memory.has_memory() {
                memory.close();
            }
        }
    };
    let read_ahead = pin!(read_ahead.run(on_bytes, || false));
    let mut server = http1::Builder::new();
    server.header_read_timeout(None).max_buf_size(head_bytes);
    tokio::select! {
        // An error means that the other side disconnected.
        _ = server.serve_connection(client_stream, service) => {}
        () = read_ahead => {}
        () = memory.closed() => {}
    }
}
