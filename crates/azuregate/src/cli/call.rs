//! Calls to instances, with failover and classification of failures.

use std::{net::SocketAddr, time::Duration};

use azuregate_schema::v1::{ChangeResponse, operators_client::OperatorsClient};
use futures_util::future::BoxFuture;
use tokio::time;
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint},
};

use super::{
    Exit,
    options::{CallArgs, ChangeArgs, OutputFormat},
};
use crate::{cli::print_line, operators::FailureClass};

/// The environment variable with the instances to call if `--at` is not given.
const ADDRESSES_VARIABLE: &str = "AZUREGATE_AT";

/// Upper bound of `--timeout-ms`.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// A failed command.
#[derive(Debug, Eq, PartialEq)]
pub(super) struct Failure {
    pub(super) exit: Exit,
    pub(super) message: String,
}

impl Failure {
    pub(super) fn new(exit: Exit, message: impl Into<String>) -> Failure {
        Failure { exit, message: message.into() }
    }

    pub(super) fn usage(message: impl Into<String>) -> Failure {
        Failure::new(Exit::Usage, message)
    }

    /// Prints the failure and returns its exit status.
    pub(super) fn report(&self, output: OutputFormat) -> Exit {
        eprintln!("{}", self.message);
        // For a conflict, the response with the winning version was printed already.
        if output == OutputFormat::Json && self.exit != Exit::Conflict {
            let class = self.exit.as_str();
            print_line(format_args!(
                "{}",
                serde_json::json!({ "class": class, "message": self.message })
            ));
        }
        self.exit
    }
}

type Client = OperatorsClient<Channel>;
type ResponseFuture<'a, T> = BoxFuture<'a, Result<Response<T>, Status>>;

/// A call that can be sent to several instances in turn.
pub(super) struct Call<'a, Q, T> {
    pub(super) args: &'a CallArgs,
    pub(super) request: Q,
    pub(super) send: for<'b> fn(&'b mut Client, Request<Q>) -> ResponseFuture<'b, T>,
}

/// A failed call to one instance.
enum CallError {
    /// Connecting failed, so the request was not sent.
    NotSent(String),
    /// The request was sent. The class is `None` if no instance reported one.
    Sent(Option<FailureClass>, String),
}

impl<Q: Clone, T> Call<'_, Q, T> {
    /// Sends a read call to each instance in turn, until one answers.
    pub(super) async fn read(self) -> Result<T, Failure> {
        let mut messages = Vec::new();
        for addr in addresses(self.args)? {
            let (class, message) = match self.attempt(addr).await {
                Ok(response) => return Ok(response),
                Err(CallError::NotSent(message)) => (None, message),
                Err(CallError::Sent(class, message)) => (class, message),
            };
            match class.map(exit_for) {
                Some(exit @ (Exit::Usage | Exit::Refused | Exit::Failed)) => {
                    return Err(Failure::new(exit, message));
                }
                _ => messages.push(message),
            }
        }
        Err(Failure::new(Exit::Unreachable, messages.join("\n")))
    }

    async fn attempt(&self, addr: SocketAddr) -> Result<T, CallError> {
        let timeout = Duration::from_millis(self.args.timeout_ms);
        let connected = time::timeout(timeout, connect(addr, timeout)).await;
        let mut client = match connected {
            Ok(Ok(client)) => client,
            Ok(Err(e)) => {
                return Err(CallError::NotSent(format!("{addr}: cannot be reached: {e}")));
            }
            Err(_) => return Err(CallError::NotSent(format!("{addr}: no connection in time"))),
        };
        let mut request = Request::new(self.request.clone());
        request.set_timeout(timeout);
        match time::timeout(timeout, (self.send)(&mut client, request)).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => {
                let message = format!("{addr}: {}", status.message());
                Err(CallError::Sent(FailureClass::from_status(&status), message))
            }
            Err(_) => {
                let message = format!("{addr}: no answer within {} ms", self.args.timeout_ms);
                Err(CallError::Sent(None, message))
            }
        }
    }
}

impl<Q: Clone> Call<'_, Q, ChangeResponse> {
    /// Sends a change to each instance in turn, until one reports a definite outcome.
    ///
    /// The request has an operation id, so it can safely be sent to another instance
    /// after a lost response: the change is applied at most once. After a lost response
    /// only an acceptance is definite. A refusal or a conflict is not, because the
    /// earlier instance may still apply the change.
    pub(super) async fn change(self) -> Result<ChangeResponse, Failure> {
        let mut messages = Vec::new();
        let mut unknown = false;
        for addr in addresses(self.args)? {
            let (class, message) = match self.attempt(addr).await {
                Ok(response) if response.accepted || !unknown => return Ok(response),
                Ok(_) => (None, format!("{addr}: another change came first")),
                Err(CallError::NotSent(message)) => {
                    messages.push(message);
                    continue;
                }
                Err(CallError::Sent(class, message)) => (class, message),
            };
            match class.map_or(Exit::Unknown, exit_for) {
                Exit::Unknown => unknown = true,
                Exit::Unreachable => {}
                exit if !unknown => return Err(Failure::new(exit, message)),
                _ => {}
            }
            messages.push(message);
        }
        let exit = if unknown { Exit::Unknown } else { Exit::Unreachable };
        Err(Failure::new(exit, messages.join("\n")))
    }
}

fn exit_for(class: FailureClass) -> Exit {
    match class {
        FailureClass::Usage => Exit::Usage,
        FailureClass::Refused => Exit::Refused,
        FailureClass::Unreachable => Exit::Unreachable,
        FailureClass::Unknown => Exit::Unknown,
        FailureClass::Failed => Exit::Failed,
    }
}

async fn connect(addr: SocketAddr, timeout: Duration) -> Result<Client, String> {
    let endpoint = Endpoint::from_shared(format!("http://{addr}")).map_err(|e| e.to_string())?;
    let channel = endpoint.connect_timeout(timeout).connect().await.map_err(|e| root_cause(&e))?;
    Ok(OperatorsClient::new(channel))
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut source = error.source();
    let mut text = error.to_string();
    while let Some(error) = source {
        text = error.to_string();
        source = error.source();
    }
    text
}

fn addresses(args: &CallArgs) -> Result<Vec<SocketAddr>, Failure> {
    if !(1..=MAX_TIMEOUT_MS).contains(&args.timeout_ms) {
        return Err(Failure::usage(format!("--timeout-ms must be 1 to {MAX_TIMEOUT_MS}")));
    }
    let mut addrs = args.at.clone();
    if addrs.is_empty() {
        let variable = std::env::var(ADDRESSES_VARIABLE).unwrap_or_default();
        addrs = variable.split(',').map(|addr| addr.trim().to_owned()).collect();
        addrs.retain(|addr| !addr.is_empty());
    }
    if addrs.is_empty() {
        return Err(Failure::usage(format!("no instance given: use --at or {ADDRESSES_VARIABLE}")));
    }
    let parse = |text: &String| {
        text.parse().map_err(|_| {
            Failure::usage(format!("an address must be an IP number and a port, not {text:?}"))
        })
    };
    addrs.iter().map(parse).collect()
}

/// Returns the operation id of a change. A generated id is printed, so that the call
/// can be retried if its response is lost.
pub(super) fn operation_id(args: &ChangeArgs) -> String {
    args.operation_id.clone().unwrap_or_else(|| {
        let id = format!("{:016x}", fastrand::u64(..));
        if !args.dry_run {
            eprintln!("operation {id}");
        }
        id
    })
}
