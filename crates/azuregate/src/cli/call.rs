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
    options::{CallArgs, ChangeArgs, Output},
};
use crate::{cli::print_line, operators::FailureClass};

/// Names the instances to ask when the command line does not.
const AT_VARIABLE: &str = "AZUREGATE_AT";

/// The longest time that a command waits, in milliseconds.
const TIMEOUT_LIMIT_MS: u64 = 600_000;

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
    pub(super) fn tell(&self, output: Output) -> Exit {
        eprintln!("{}", self.message);
        // A conflict has its own answer, which says who won.
        if output == Output::Json && self.exit != Exit::Conflict {
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
type Answer<'a, T> = BoxFuture<'a, Result<Response<T>, Status>>;

/// One call that may be sent to several instances.
pub(super) struct Call<'a, Q, T> {
    pub(super) args: &'a CallArgs,
    pub(super) request: Q,
    pub(super) send: for<'b> fn(&'b mut Client, Request<Q>) -> Answer<'b, T>,
}

/// How one instance failed.
enum Attempt {
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
                Ok(answer) => return Ok(answer),
                Err(Attempt::NotSent(message)) => (None, message),
                Err(Attempt::Sent(class, message)) => (class, message),
            };
            match class.map(exit_of) {
                Some(exit @ (Exit::Usage | Exit::Refused | Exit::Failed)) => {
                    return Err(Failure::new(exit, message));
                }
                _ => messages.push(message),
            }
        }
        Err(Failure::new(Exit::Unreachable, messages.join("\n")))
    }

    async fn attempt(&self, addr: SocketAddr) -> Result<T, Attempt> {
        let limit = Duration::from_millis(self.args.timeout_ms);
        let connected = time::timeout(limit, connect(addr, limit)).await;
        let mut client = match connected {
            Ok(Ok(client)) => client,
            Ok(Err(e)) => return Err(Attempt::NotSent(format!("{addr}: cannot be reached: {e}"))),
            Err(_) => return Err(Attempt::NotSent(format!("{addr}: no connection in time"))),
        };
        let mut request = Request::new(self.request.clone());
        request.set_timeout(limit);
        match time::timeout(limit, (self.send)(&mut client, request)).await {
            Ok(Ok(answer)) => Ok(answer.into_inner()),
            Ok(Err(status)) => {
                let message = format!("{addr}: {}", status.message());
                Err(Attempt::Sent(FailureClass::from_status(&status), message))
            }
            Err(_) => {
                let message = format!("{addr}: no answer within {} ms", self.args.timeout_ms);
                Err(Attempt::Sent(None, message))
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
                Ok(answer) if answer.accepted || !unknown => return Ok(answer),
                Ok(_) => (None, format!("{addr}: another change came first")),
                Err(Attempt::NotSent(message)) => {
                    messages.push(message);
                    continue;
                }
                Err(Attempt::Sent(class, message)) => (class, message),
            };
            match class.map_or(Exit::Unknown, exit_of) {
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

fn exit_of(class: FailureClass) -> Exit {
    match class {
        FailureClass::Usage => Exit::Usage,
        FailureClass::Refused => Exit::Refused,
        FailureClass::Unreachable => Exit::Unreachable,
        FailureClass::Unknown => Exit::Unknown,
        FailureClass::Failed => Exit::Failed,
    }
}

async fn connect(addr: SocketAddr, limit: Duration) -> Result<Client, String> {
    let endpoint = Endpoint::from_shared(format!("http://{addr}")).map_err(|e| e.to_string())?;
    let channel = endpoint.connect_timeout(limit).connect().await.map_err(|e| chain(&e))?;
    Ok(OperatorsClient::new(channel))
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut source = error.source();
    let mut text = error.to_string();
    while let Some(error) = source {
        text = error.to_string();
        source = error.source();
    }
    text
}

fn addresses(args: &CallArgs) -> Result<Vec<SocketAddr>, Failure> {
    if !(1..=TIMEOUT_LIMIT_MS).contains(&args.timeout_ms) {
        return Err(Failure::usage(format!("--timeout-ms must be 1 to {TIMEOUT_LIMIT_MS}")));
    }
    let mut texts = args.at.clone();
    if texts.is_empty() {
        let variable = std::env::var(AT_VARIABLE).unwrap_or_default();
        texts = variable.split(',').map(|addr| addr.trim().to_owned()).collect();
        texts.retain(|addr| !addr.is_empty());
    }
    if texts.is_empty() {
        return Err(Failure::usage(format!("say which instance by --at or {AT_VARIABLE}")));
    }
    let parse = |text: &String| {
        text.parse().map_err(|_| {
            Failure::usage(format!("an address must be an IP number and a port, not {text:?}"))
        })
    };
    texts.iter().map(parse).collect()
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
