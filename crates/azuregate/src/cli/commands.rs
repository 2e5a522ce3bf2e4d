//! The operators' commands.

use azuregate_schema::v1::{self, ChangeResponse};
use serde::Serialize;

use super::{
    Exit,
    args::{
        BackendsArgs, Command, DrainCommand, EntriesArgs, HistoryArgs, PolicyCommand, ReadArgs,
        ServiceArgs, ServiceChangeArgs, ServiceReadArgs, SetArgs, ShiftCommand, StartShiftArgs,
    },
    call::{Call, Failure, operation_id},
    options::{CallArgs, OutputFormat},
    policy_file, print, read_file, shares,
};
use crate::operators::convert;

type CommandResult = Result<(), Failure>;

/// Runs a command that calls an instance.
pub(super) async fn run(command: Command) -> Exit {
    let output = output_format(&command);
    let result = match command {
        Command::Status(args) => status(args).await,
        Command::Policy(args) => match args.command {
            Some(PolicyCommand::Get(args)) => get_policy(args).await,
            Some(PolicyCommand::List(args)) => list_policies(args).await,
            Some(PolicyCommand::Set(args)) => set_policy(args).await,
            Some(PolicyCommand::History(args)) => history(args).await,
            None => Err(Failure::usage("say which: get, list, set or history")),
        },
        Command::Shift(args) => match args.command {
            Some(ShiftCommand::Start(args)) => start_shift(args).await,
            Some(ShiftCommand::Stop(args)) => stop_shift(args).await,
            Some(ShiftCommand::Show(args)) => show_shift(args).await,
            None => Err(Failure::usage("say which: start, stop or show")),
        },
        Command::Drain(args) => match args.command {
            Some(DrainCommand::Start(args)) => start_drain(args).await,
            Some(DrainCommand::Stop(args)) => stop_drain(args).await,
            Some(DrainCommand::Show(args)) => show_drains(args).await,
            None => Err(Failure::usage("say which: start, stop or show")),
        },
        Command::Entries(args) => entries(args).await,
        Command::Histograms(args) => histograms(args).await,
        Command::Run(_) | Command::Serve(_) | Command::Check(_) => Ok(()),
    };
    result.err().map_or(Exit::Done, |failure| failure.report(output))
}

fn output_format(command: &Command) -> OutputFormat {
    let call = match command {
        Command::Status(args) => Some(args.call()),
        Command::Policy(args) => args.command.as_ref().map(|command| match command {
            PolicyCommand::Get(args) => args.call(),
            PolicyCommand::List(args) => args.call(),
            PolicyCommand::Set(args) => args.call(),
            PolicyCommand::History(args) => args.call(),
        }),
        Command::Shift(args) => args.command.as_ref().map(|command| match command {
            ShiftCommand::Start(args) => args.call(),
            ShiftCommand::Stop(args) => args.call(),
            ShiftCommand::Show(args) => args.call(),
        }),
        Command::Drain(args) => args.command.as_ref().map(|command| match command {
            DrainCommand::Start(args) | DrainCommand::Stop(args) => args.call(),
            DrainCommand::Show(args) => args.call(),
        }),
        Command::Entries(args) => Some(args.call()),
        Command::Histograms(args) => Some(args.call()),
        Command::Run(_) | Command::Serve(_) | Command::Check(_) => None,
    };
    call.map_or_else(OutputFormat::default, |call| call.output)
}

fn print_response<T: Serialize>(
    args: &CallArgs,
    response: &T,
    human: fn(&T) -> String,
) -> CommandResult {
    print::response(args.output, response, human);
    Ok(())
}

async fn status(args: ReadArgs) -> CommandResult {
    let args = args.call();
    let request = v1::StatusRequest {};
    let call = Call { args: &args, request, send: |c, q| Box::pin(c.status(q)) };
    print_response(&args, &call.read().await?, print::status)
}

async fn get_policy(args: ServiceArgs) -> CommandResult {
    let request = v1::GetPolicyRequest { service: args.service.clone() };
    let args = args.call();
    let call = Call { args: &args, request, send: |c, q| Box::pin(c.get_policy(q)) };
    print_response(&args, &call.read().await?.policy.unwrap_or_default(), policy_text)
}

async fn list_policies(args: ReadArgs) -> CommandResult {
    let args = args.call();
    let request = v1::ListPoliciesRequest {};
    let call = Call { args: &args, request, send: |c, q| Box::pin(c.list_policies(q)) };
    print_response(&args, &call.read().await?, |response| {
        response.policies.iter().map(|policy| policy_text(policy) + "\n").collect()
    })
}

/// A policy as `policy set` takes it.
fn policy_text(policy: &v1::Policy) -> String {
    match convert::from_proto(policy.clone()) {
        Ok(policy) => serde_json::to_string_pretty(&policy).unwrap_or_default(),
        Err(e) => format!("// {e}"),
    }
}

async fn history(args: HistoryArgs) -> CommandResult {
    let request = v1::PolicyHistoryRequest { service: args.service.clone(), limit: args.limit };
    let args = args.call();
    let call = Call { args: &args, request, send: |c, q| Box::pin(c.policy_history(q)) };
    print_response(&args, &call.read().await?, print::history)
}

async fn set_policy(args: SetArgs) -> CommandResult {
    let text = read_file(&args.file).map_err(Failure::usage)?;
    let policy = policy_file::parse(&args.file, &text).map_err(Failure::usage)?;
    let args = args.change();
    let based_on = args.based_on.or((policy.version > 0).then_some(policy.version));
    let Some(based_on_version) = based_on else {
        return Err(Failure::usage(
            "the file has no version: say --based-on N, with 0 to create the policy",
        ));
    };
    let request = v1::SetPolicyRequest {
        policy: Some(convert::to_proto(&policy)),
        based_on_version,
        operation_id: operation_id(&args),
        dry_run: args.dry_run,
    };
    let call = Call { args: &args.call, request, send: |c, q| Box::pin(c.set_policy(q)) };
    print_change(&args.call, call.change().await?)
}

async fn start_shift(args: StartShiftArgs) -> CommandResult {
    let to_share_ppm = shares::parse(&args.to_share_ppm).map_err(Failure::usage)?;
    let cap = match (args.cap_ppm, args.window_ms) {
        (Some(share_ppm), Some(window_ms)) => Some(v1::Cap { share_ppm, window_ms }),
        (None, None) => None,
        _ => return Err(Failure::usage("--cap-ppm and --window-ms belong together")),
    };
    let service = args.service.clone();
    let args = args.change();
    let request = v1::StartShiftRequest {
        service,
        to_share_ppm,
        cap,
        based_on_version: args.based_on,
        operation_id: operation_id(&args),
        dry_run: args.dry_run,
    };
    let call = Call { args: &args.call, request, send: |c, q| Box::pin(c.start_shift(q)) };
    print_change(&args.call, call.change().await?)
}

async fn stop_shift(args: ServiceChangeArgs) -> CommandResult {
    let service = args.service.clone();
    let args = args.change();
    let request = v1::StopShiftRequest {
        service,
        based_on_version: args.based_on,
        operation_id: operation_id(&args),
        dry_run: args.dry_run,
    };
    let call = Call { args: &args.call, request, send: |c, q| Box::pin(c.stop_shift(q)) };
    print_change(&args.call, call.change().await?)
}

async fn show_shift(args: ServiceArgs) -> CommandResult {
    let request = v1::GetShiftRequest { service: args.service.clone() };
    let args = args.call();
    let call = Call { args: &args, request, send: |c, q| Box::pin(c.get_shift(q)) };
    print_response(&args, &call.read().await?, print::shift)
}

fn drain_request(args: &BackendsArgs) -> v1::DrainRequest {
    let change = args.change();
    v1::DrainRequest {
        service: args.service.clone(),
        backends: args.backend.clone(),
        based_on_version: change.based_on,
        operation_id: operation_id(&change),
        dry_run: change.dry_run,
    }
}

async fn start_drain(args: BackendsArgs) -> CommandResult {
    let request = drain_request(&args);
    let args = args.call();
    let call = Call { args: &args, request, send: |c, q| Box::pin(c.start_drain(q)) };
    print_change(&args, call.change().await?)
}

async fn stop_drain(args: BackendsArgs) -> CommandResult {
    let request = drain_request(&args);
    let args = args.call();
    let call = Call { args: &args, request, send: |c, q| Box::pin(c.stop_drain(q)) };
    print_change(&args, call.change().await?)
}

async fn show_drains(args: ServiceReadArgs) -> CommandResult {
    let request = v1::ListDrainsRequest { service: args.service.clone() };
    let args = args.call();
    let call = Call { args: &args, request, send: |c, q| Box::pin(c.list_drains(q)) };
    print_response(&args, &call.read().await?, |response| {
        print::closed_backends(&response.backends)
    })
}

async fn entries(args: EntriesArgs) -> CommandResult {
    let request = v1::EntriesRequest { service: args.service.clone(), caller: args.caller.clone() };
    let args = args.call();
    let call = Call { args: &args, request, send: |c, q| Box::pin(c.entries(q)) };
    print_response(&args, &call.read().await?, print::entries)
}

async fn histograms(args: ServiceReadArgs) -> CommandResult {
    let request = v1::HistogramsRequest { service: args.service.clone() };
    let args = args.call();
    let call = Call { args: &args, request, send: |c, q| Box::pin(c.histograms(q)) };
    print_response(&args, &call.read().await?, |response| {
        let dropped = match response.dropped {
            0 => String::new(),
            count => format!("{count} samples were dropped, because the recorder was behind\n"),
        };
        print::histograms(&response.histograms) + &dropped
    })
}

fn print_change(args: &CallArgs, response: ChangeResponse) -> CommandResult {
    print::response(args.output, &response, print::change);
    if response.conflict {
        let message = "another change came first; nothing was changed: read the policy again";
        return Err(Failure::new(Exit::Conflict, message));
    }
    Ok(())
}
