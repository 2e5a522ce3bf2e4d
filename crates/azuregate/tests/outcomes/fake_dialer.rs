//! A fake backend adapter without sockets that follows a script.

use std::{future, io, net::SocketAddr, time::Duration};

use async_trait::async_trait;
use azuregate::{
    backend::{BackendConn, BackendDialer, SendCause, SendError},
    body::{self, Body},
};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, Response, body::Frame};
use tokio::time;

use crate::script::{Script, Step};

pub(crate) struct FakeDialer(pub(crate) Script);

struct FakeConn {
    script: Script,
    idle: bool,
}

#[async_trait]
impl BackendDialer for FakeDialer {
    async fn dial(&self, _addr: SocketAddr) -> io::Result<Box<dyn BackendConn>> {
        let mut state = self.0.state();
        if state.down {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        state.opened += 1;
        if let Some(in_dial) = &state.in_dial {
            in_dial();
        }
        Ok(Box::new(FakeConn { script: self.0.clone(), idle: true }))
    }
}

#[async_trait]
impl BackendConn for FakeConn {
    async fn send(&mut self, request: Request<Body>) -> Result<Response<Body>, SendError> {
        self.idle = false;
        let step = self.script.begin();
        let lost = || SendError { cause: SendCause::Lost, detail: "cut".to_owned() };
        if matches!(step, Step::CutInHead | Step::CutInBody) {
            return Err(lost());
        }
        if step == Step::Early {
            self.script.ran();
            return Ok(Response::new(body::full("early")));
        }
        request.into_body().collect().await.map_err(|_| lost())?;
        if step == Step::Refused {
            self.idle = true;
            return Ok(response_with_header(
                "503",
                "backend-outcome",
                "not-run",
                body::full("busy"),
            ));
        }
        self.script.ran();
        let whole = body::full(self.script.answer());
        let in_answer = self.script.state().in_answer.take();
        if let Some(in_answer) = in_answer {
            in_answer();
        }
        match step {
            Step::CutBeforeAnswer => return Err(lost()),
            Step::Garbage => {
                return Err(SendError { cause: SendCause::Invalid, detail: "garbage".to_owned() });
            }
            Step::Silent => future::pending::<()>().await,
            Step::Slow => time::sleep(Duration::from_millis(30)).await,
            Step::CutInAnswer => return Ok(Response::new(partial_body(false))),
            Step::StallInAnswer => return Ok(Response::new(partial_body(true))),
            Step::Close => return Ok(response_with_header("200", "connection", "close", whole)),
            _ => {}
        }
        self.idle = true;
        Ok(Response::new(whole))
    }

    fn is_idle(&self) -> bool {
        self.idle
    }
}

impl Drop for FakeConn {
    fn drop(&mut self) {
        self.script.state().cancelled += usize::from(!self.idle);
    }
}

fn response_with_header(status: &str, name: &str, value: &str, body: Body) -> Response<Body> {
    Response::builder().status(status).header(name, value).body(body).unwrap()
}

fn partial_body(stalls: bool) -> Body {
    let first = stream::once(async { Ok(Frame::data(Bytes::from_static(b"part"))) });
    let rest = stream::once(async move {
        if stalls {
            future::pending::<()>().await;
        }
        Err("cut".into())
    });
    BodyExt::boxed_unsync(StreamBody::new(futures_util::StreamExt::chain(first, rest)))
}
