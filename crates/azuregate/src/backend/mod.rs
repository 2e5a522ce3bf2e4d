/*!
The border to backend servers: connections that carry one request at a time.
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
    /// When the connection cannot be opened; no byte of a request has left.
    async fn dial(&self, addr: SocketAddr) -> io::Result<Box<dyn BackendConn>>;
}

/// One connection to a backend server.
#[async_trait]
pub trait BackendConn: Send {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Says whether any byte of the request may have left. The connection is of
    /// no more use.
    async fn send(&mut self, request: Request<Body>) -> Result<Response<Body>, SendError>;

    /// Whether another request may be sent: the last answer was read to its end
    /// and the backend server has not closed.
    fn is_idle(&self) -> bool;
}

/// A request that got no answer on its connection.
#[derive(Debug)]
pub struct SendError {
    /// What is known of the request.
    pub cause: SendCause,
    /// What happened.
    pub detail: String,
}

/// What is known of a request that got no answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SendCause {
    /// No byte of it left for the backend server.
    NotSent,
    /// Bytes of it may have left, and then the connection broke.
    Lost,
    /// Bytes of it may have left, and what came back is not HTTP.
    Invalid,
}
