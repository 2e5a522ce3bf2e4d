//! Request and response bodies: small, large, truncated and cancelled.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use azuregate::body::{self, Body};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::{io::AsyncReadExt, time};

use crate::{
    script::{Script, Step},
    world::{Adapter, World, eventually, get, order, post},
};

const FRAME_BYTES: usize = 64 << 10;
const UPLOAD_FRAMES: usize = 800;

/// Returns a body of `frames` frames that counts the frames read from it.
fn upload(frames: usize, taken: &Arc<AtomicUsize>) -> Body {
    let taken = Arc::clone(taken);
    let frames = stream::iter(0..frames).map(move |_| {
        taken.fetch_add(1, Ordering::SeqCst);
        Ok(Frame::data(Bytes::from(vec![0; FRAME_BYTES])))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

fn cut_after(first: Body, frames: usize) -> Body {
    let cut = stream::once(async { Err("the caller is gone".into()) });
    let frames = http_body_util::BodyStream::new(first).take(frames).chain(cut);
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Returns an upload with a known length, like a body received from a connection.
fn put(length: usize, inner: Body) -> hyper::Request<Body> {
    let body = Sized { inner, length: length as u64 }.boxed_unsync();
    let builder = post("/photos").header("content-length", length);
    builder.header("azuregate-timeout-ms", "20000").body(body).unwrap()
}

#[tokio::test]
async fn a_50_mb_upload_arrives_complete() {
    let world = World::start(Adapter::Real, Script::new(&[])).await;
    let taken = Arc::default();
    let seen = world.send(put(UPLOAD_FRAMES * FRAME_BYTES, upload(UPLOAD_FRAMES, &taken))).await;
    assert_eq!((seen.status, world.script.state().ran), (200, 1));
    assert_eq!(taken.load(Ordering::SeqCst), UPLOAD_FRAMES);
}

// Backpressure: while the backend server does not read, the instance must not read
// more of the body than fits the socket buffers. When the client disconnects, the
// connection to the backend server must close.
#[tokio::test]
async fn uploads_are_subject_to_backpressure() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let world = World::start_at(Adapter::Real, listener.local_addr().unwrap()).await;
    let taken = Arc::default();
    let request = put(UPLOAD_FRAMES * FRAME_BYTES, upload(UPLOAD_FRAMES, &taken));
    let sending = tokio::spawn(async move { world.send(request).await });
    let (mut stream, _) = listener.accept().await.unwrap();
    eventually("the upload begins", || taken.load(Ordering::SeqCst) > 0).await;
    time::sleep(Duration::from_millis(300)).await;
    let taken = taken.load(Ordering::SeqCst);
    assert!(taken < UPLOAD_FRAMES / 4, "{taken} frames of {UPLOAD_FRAMES} were taken");
    sending.abort();
    let mut received = 0;
    let rest = async {
        let mut buffer = vec![0; 1 << 20];
        while let Ok(read @ 1..) = stream.read(&mut buffer).await {
            received += read;
        }
    };
    time::timeout(Duration::from_secs(5), rest).await.expect("the connection never closed");
    assert!(received < UPLOAD_FRAMES * FRAME_BYTES / 4, "{received} bytes arrived");
}

// The client's connection breaks in the body. A small body was never sent to a
// backend server; a large one was sent in part.
#[tokio::test]
async fn an_incomplete_body_is_reported_by_whether_it_was_sent() {
    let world = World::start(Adapter::Real, Script::new(&[])).await;
    let taken = Arc::default();
    let small = cut_after(body::full(vec![0; 1_000]), 1);
    let seen = world.send(put(3_000, small)).await;
    assert_eq!((seen.code.as_str(), seen.outcome.as_str()), ("body-incomplete", "not-run"));
    let of_unknown_length = cut_after(body::full(vec![0; 1_000]), 1);
    let seen = world.send(post("/photos").body(of_unknown_length).unwrap()).await;
    assert_eq!((seen.code.as_str(), seen.outcome.as_str()), ("caller-lost", "unknown"));
    let large = cut_after(upload(4, &taken), 3);
    let seen = world.send(put(4 * FRAME_BYTES, large)).await;
    assert_eq!((seen.code.as_str(), seen.outcome.as_str()), ("caller-lost", "unknown"));
    assert_eq!(world.script.state().ran, 0);
}

struct Sized {
    inner: Body,
    length: u64,
}

impl hyper::body::Body for Sized {
    type Data = Bytes;
    type Error = body::BodyError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, body::BodyError>>> {
        std::pin::Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        hyper::body::SizeHint::with_exact(self.length)
    }
}

// A refused write with a buffered body is retried; a streamed upload cannot be, and
// its client is told when to retry.
#[tokio::test]
async fn a_refused_write_is_retried_if_its_body_is_buffered() {
    let world = World::start(Adapter::Real, Script::new(&[Step::Refused])).await;
    let seen = world.send(put(64 << 10, body::full(vec![0; 64 << 10]))).await;
    assert_eq!((seen.status, world.script.state().tried), (200, 2));
    let world = World::start(Adapter::Real, Script::new(&[Step::Refused])).await;
    let seen = world.send(put(4 * FRAME_BYTES, upload(4, &Arc::default()))).await;
    assert_eq!((seen.code.as_str(), seen.outcome.as_str()), ("backend-refused", "not-run"));
    assert_eq!((seen.retry_after.as_str(), world.script.state().ran), ("1", 0));
}

// When the client disconnects, the connection to the backend server must close: it is
// the only cancellation that the server sees.
#[tokio::test]
async fn a_client_disconnect_cancels_the_request() {
    for adapter in [Adapter::Real, Adapter::Fake] {
        let world = World::start(adapter, Script::new(&[Step::Silent])).await;
        let request = get("/list").header("azuregate-timeout-ms", "20000");
        let request = request.body(body::empty()).unwrap();
        let leaving = time::timeout(Duration::from_millis(50), world.send(request)).await;
        assert!(leaving.is_err());
        let script = world.script.clone();
        eventually("cancelled", || script.state().cancelled == 1).await;
    }
}

// The client disconnects while the response streams. A reused connection would
// deliver the rest of that response to the next request.
#[tokio::test]
async fn a_client_disconnect_cancels_the_response() {
    let world = World::start(Adapter::Real, Script::new(&[Step::StallInAnswer])).await;
    let request = get("/list").body(body::empty()).unwrap();
    let answer = world.gateway.handle(request, world.addr).await;
    drop(answer);
    let script = world.script.clone();
    eventually("cancelled", || script.state().cancelled == 1).await;
    let seen = world.send(get("/list").body(body::empty()).unwrap()).await;
    assert_eq!(seen.body.as_deref(), Some(&b"xxxxx"[..]));
    assert_eq!(world.script.state().opened, 2);
}

// A keyed request must continue after its client disconnects, so that a retry finds
// the stored response.
#[tokio::test]
async fn a_keyed_request_continues_after_its_client_disconnects() {
    for home in [false, true] {
        let world = World::start(Adapter::Real, Script::new(&[Step::Slow])).await;
        let home = home.then(|| world.home());
        let first = world.send(order("k", home.as_ref()));
        assert!(time::timeout(Duration::from_millis(10), first).await.is_err());
        time::sleep(Duration::from_millis(100)).await;
        let seen = world.send(order("k", home.as_ref())).await;
        assert_eq!((seen.status, world.script.state().ran), (200, 1), "{seen:?}");
    }
}
