//! A scripted backend server on a TCP socket.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

use crate::script::{Script, Step};

/// Starts a server for `script` on a free port.
pub(crate) async fn start(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    if script.state().down {
        return addr;
    }
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            script.state().opened += 1;
            tokio::spawn(serve(stream, script.clone()));
        }
    });
    addr
}

async fn serve(mut stream: TcpStream, script: Script) -> Option<()> {
    loop {
        let mut head = vec![stream.read_u8().await.ok()?];
        let step = script.begin();
        if step == Step::CutInHead {
            return None;
        }
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.ok()?);
        }
        if step == Step::CutInBody {
            return None;
        }
        if step == Step::Early {
            write(&mut stream, "200 OK", "", b"early").await?;
            time::sleep(Duration::from_millis(50)).await;
        }
        read_body(&mut stream, &head).await?;
        if step == Step::Refused {
            write(&mut stream, "503 Busy", "backend-outcome: not-run\r\n", b"busy").await?;
            continue;
        }
        script.ran();
        answer(&mut stream, &script, step).await?;
    }
}

async fn answer(stream: &mut TcpStream, script: &Script, step: Step) -> Option<()> {
    match step {
        Step::CutBeforeAnswer => None,
        Step::CutInAnswer => {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart").await.ok()?;
            None
        }
        Step::StallInAnswer => {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart").await.ok()?;
            wait_for_close(stream, script).await
        }
        Step::Silent => wait_for_close(stream, script).await,
        Step::Garbage => {
            stream.write_all(b"no such protocol\r\n\r\n").await.ok()?;
            None
        }
        Step::Close => {
            write(stream, "200 OK", "connection: close\r\n", &script.answer()).await?;
            None
        }
        Step::Slow => {
            time::sleep(Duration::from_millis(30)).await;
            write(stream, "200 OK", "", &script.answer()).await
        }
        Step::Early => Some(()),
        _ => write(stream, "200 OK", "", &script.answer()).await,
    }
}

async fn wait_for_close(stream: &mut TcpStream, script: &Script) -> Option<()> {
    let closed = !matches!(stream.read(&mut [0; 16]).await, Ok(1..));
    script.state().cancelled += usize::from(closed);
    None
}

async fn write(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> Option<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat()).await.ok()
}

async fn read_body(stream: &mut TcpStream, head: &[u8]) -> Option<()> {
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: u64 = length.map_or(0, |length| length.trim().parse().unwrap());
    let mut body = stream.take(length);
    let read = tokio::io::copy(&mut body, &mut tokio::io::sink()).await.ok()?;
    (read == length).then_some(())
}
