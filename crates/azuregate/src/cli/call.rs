//! Calls to instances: several are tried, and what a failure means is told.

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

/// Names the instances to ask when the command line does not.
const ADDRESSES_VARIABLE: &str = "AZUREGATE_AT";

/// The longest time that a command waits, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// A command that did not end well.
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

    /// Tells of the failure and gives its exit status.
    pub(super) fn report(&self, output: OutputFormat) -> Exit {
        eprintln!("{}", self.message);
        // A conflict has its own answer, which says who won.
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

/// One call that may be sent to several instances.
pub(super) struct Call<'a, Q, T> {
    pub(super) args: &'a CallArgs,
    pub(super) request: Q,
    pub(super) send: for<'b> fn(&'b mut Client, Request<Q>) -> ResponseFuture<'b, T>,
}

/// How one instance failed.
enum CallError {
    /// It was not reached, and the call did not leave.
    NotSent(String),
    /// The call left; an instance said how it failed, or nobody did.
    Sent(Option<FailureClass>, String),
}

impl<Q: Clone, T> Call<'_, Q, T> {
    /// Reads something from the first instance that answers.
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
    /// Changes something through the first instance that can tell how it ended.
    ///
    /// The request carries an operation id, so that it is safe to send it to
    /// another instance after an answer was lost: the change is made once at the
    /// most. Only what the other then says for certain is believed: while the
    /// first may still be at work, its refusal does not mean that nothing was
    /// changed.
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
        return Err(Failure::usage(format!("say which instance by --at or {ADDRESSES_VARIABLE}")));
    }
    let parse = |text: &String| {
        text.parse().map_err(|_| {
            Failure::usage(format!("an address must be an IP number and a port, not {text:?}"))
        })
    };
    addrs.iter().map(parse).collect()
}

/// The operation id of a change. One that is made up is told, so that the call
/// can be repeated when its answer is lost.
pub(super) fn operation_id(args: &ChangeArgs) -> String {
    args.operation_id.clone().unwrap_or_else(|| {
        let id = format!("{:016x}", fastrand::u64(..));
        if !args.dry_run {
            eprintln!("operation {id}");
        }
        id
    })
}
