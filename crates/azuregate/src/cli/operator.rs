//! The operators' commands.

use std::path::PathBuf;

use azuregate_core::policy::Policy;
use azuregate_schema::v1::{
    GetPolicyRequest, ListPoliciesRequest, SetPolicyRequest, StatusRequest,
    operators_client::OperatorsClient,
};
use gumdrop::Options;
use jsonc_parser::ParseOptions;
use tonic::{Code, Status, transport::Channel};

use crate::{
    cli::{Exit, read_file},
    operators::convert,
};

/// Arguments of `status`.
#[derive(Debug, Options)]
pub(crate) struct StatusArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "the operators' address of any entry instance")]
    at: String,
}

/// Arguments of `policy`.
#[derive(Debug, Options)]
pub(crate) struct PolicyArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(command, required)]
    command: Option<PolicyCommand>,
}

#[derive(Debug, Options)]
enum PolicyCommand {
    #[options(help = "show one policy")]
    Get(GetArgs),
    #[options(help = "show all policies")]
    List(ListArgs),
    #[options(help = "replace a policy")]
    Set(SetArgs),
}

#[derive(Debug, Options)]
struct GetArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "the operators' address of any entry instance")]
    at: String,
    #[options(required, help = "the service")]
    service: String,
}

#[derive(Debug, Options)]
struct ListArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "the operators' address of any entry instance")]
    at: String,
}

#[derive(Debug, Options)]
struct SetArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(required, help = "the operators' address of any entry instance")]
    at: String,
    #[options(required, help = "a file with the policy, in JSON with comments")]
    file: PathBuf,
    #[options(help = "the version that the change is based on; 0 creates the policy")]
    based_on: u64,
    #[options(help = "names the change, so that it can be repeated safely")]
    operation_id: Option<String>,
    #[options(help = "show what would be set, and change nothing")]
    dry_run: bool,
}

async fn connect(at: &str) -> Result<OperatorsClient<Channel>, Exit> {
    OperatorsClient::connect(format!("http://{at}")).await.map_err(|e| {
        eprintln!("{at}: cannot be reached: {e}");
        Exit::Unreachable
    })
}

fn failed(status: &Status) -> Exit {
    eprintln!("{}", status.message());
    match status.code() {
        Code::InvalidArgument => Exit::Usage,
        Code::Unavailable => Exit::Unreachable,
        Code::Unknown | Code::DeadlineExceeded | Code::Cancelled => Exit::Unknown,
        _ => Exit::Refused,
    }
}

fn print_policy(policy: Option<azuregate_schema::v1::Policy>) -> Result<(), Exit> {
    let policy = convert::from_proto(policy.unwrap_or_default()).map_err(|e| {
        eprintln!("the answer is not understood: {e}");
        Exit::Failed
    })?;
    println!("{}", serde_json::to_string_pretty(&policy).unwrap_or_default());
    Ok(())
}

/// Runs `status`.
pub(crate) async fn status(args: StatusArgs) -> Exit {
    let result = async {
        let mut client = connect(&args.at).await?;
        let status = client.status(StatusRequest {}).await.map_err(|e| failed(&e))?.into_inner();
        println!("instance  {}", status.instance);
        println!("start     {}", status.start);
        println!("ready     {}", status.ready);
        println!("stopping  {}", status.stopping);
        for (service, version) in status.policy_versions {
            println!("policy    {service} version {version}");
        }
        Ok(())
    };
    result.await.err().unwrap_or(Exit::Done)
}

/// Runs `policy`.
pub(crate) async fn policy(args: PolicyArgs) -> Exit {
    let result = match args.command {
        Some(PolicyCommand::Get(args)) => get(args).await,
        Some(PolicyCommand::List(args)) => list(args).await,
        Some(PolicyCommand::Set(args)) => set(args).await,
        None => Err(Exit::Usage),
    };
    result.err().unwrap_or(Exit::Done)
}

async fn get(args: GetArgs) -> Result<(), Exit> {
    let mut client = connect(&args.at).await?;
    let request = GetPolicyRequest { service: args.service };
    let answer = client.get_policy(request).await.map_err(|e| failed(&e))?;
    print_policy(answer.into_inner().policy)
}

async fn list(args: ListArgs) -> Result<(), Exit> {
    let mut client = connect(&args.at).await?;
    let answer = client.list_policies(ListPoliciesRequest {}).await.map_err(|e| failed(&e))?;
    for policy in answer.into_inner().policies {
        print_policy(Some(policy))?;
    }
    Ok(())
}

async fn set(args: SetArgs) -> Result<(), Exit> {
    let text = read_file(&args.file)?;
    let policy: Policy = jsonc_parser::parse_to_serde_value(&text, &ParseOptions::default())
        .map_err(|e| {
            eprintln!("{}: {e}", args.file.display());
            Exit::Usage
        })?;
    let operation_id = args.operation_id.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..)));
    println!("operation {operation_id}");
    let mut client = connect(&args.at).await?;
    let request = SetPolicyRequest {
        policy: Some(convert::to_proto(&policy)),
        based_on_version: args.based_on,
        operation_id,
        dry_run: args.dry_run,
    };
    let answer = client.set_policy(request).await.map_err(|e| failed(&e))?.into_inner();
    print_policy(answer.policy)?;
    if !answer.accepted && !args.dry_run {
        eprintln!("another change came first; the policy above won");
        return Err(Exit::Conflict);
    }
    Ok(())
}
