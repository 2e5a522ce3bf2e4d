/*!
Connections to backend servers. A connection carries one request at a time.
*/

mod http;
mod pool;

use std::{io, net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use hyper::{Request, Response};

use crate::body::Body;

pub use http::HttpDialer;
pub use pool::{Pool, PooledConn};

/// A dialer that is shared between tasks.
pub type SharedDialer = Arc<dyn BackendDialer>;

/// Opens connections to backend servers.
#[async_trait]
pub trait BackendDialer: Send + Sync {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened; nothing has been sent.
    async fn dial(&self, addr: SocketAddr) -> io::Result<Box<dyn BackendConn>>;
}

/// One connection to a backend server.
#[async_trait]
pub trait BackendConn: Send {
    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// The cause states whether any byte of the request may have been sent. The
    /// connection must not be used again.
    async fn send(&mut self, request: Request<Body>) -> Result<Response<Body>, SendError>;

    /// Returns whether another request can be sent: the last response was read
    /// completely and the server has not closed the connection.
    fn is_idle(&self) -> bool;
}

/// A request that received no response.
#[derive(Debug)]
pub struct SendError {
    /// How far the request got.
    pub cause: SendCause,
    /// The error message.
    pub detail: String,
}

/// How far a request without a response got.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SendCause {
    /// No byte of it was sent.
    NotSent,
    /// The connection broke after bytes of it may have been sent.
    Lost,
    /// Bytes of it may have been sent, and the response is not valid HTTP.
    Invalid,
}
