//! A served operators' service, and the binary that calls it.

use std::{
    net::SocketAddr,
    process::{Command, Output},
};

use azuregate_schema::v1::operators_server::OperatorsServer;
use tokio::{net::TcpListener, task};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use crate::fake::Fixture;

/// Serves `fixture` on loopback until the test ends.
pub(crate) async fn serve(fixture: &Fixture) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let service = OperatorsServer::new(fixture.service.clone());
    let server = Server::builder().add_service(service);
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    addr
}

/// How a run of the binary ended.
pub(crate) struct Run {
    pub(crate) exit: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// Runs the binary with arguments that are separated by blanks.
pub(crate) async fn azuregate(line: &str) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_azuregate"));
    command.args(line.split_whitespace()).env_remove("AZUREGATE_AT");
    run(command).await
}

pub(crate) async fn run(mut command: Command) -> Run {
    let output: Output = task::spawn_blocking(move || command.output()).await.unwrap().unwrap();
    Run {
        exit: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

impl Run {
    /// All that the run told, for a snapshot; ports differ from run to run.
    pub(crate) fn told(&self, ports: &[SocketAddr]) -> String {
        let mut text = format!("exit {}\n--- stdout\n{}", self.exit, self.stdout);
        if !self.stderr.is_empty() {
            text.push_str(&format!("--- stderr\n{}", self.stderr));
        }
        for (index, addr) in ports.iter().enumerate() {
            text = text.replace(&addr.to_string(), &format!("[instance {}]", index + 1));
        }
        text
    }
}
