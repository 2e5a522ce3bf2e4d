//! The operators' remote procedure calls.

pub mod convert;

use azuregate_core::{
    names::{InstanceId, ServiceName, StartNumber},
    policy::Policy,
};
use azuregate_schema::v1::{
    GetPolicyRequest, GetPolicyResponse, ListPoliciesRequest, ListPoliciesResponse,
    SetPolicyRequest, SetPolicyResponse, StatusRequest, StatusResponse,
    operators_server::Operators,
};
use tonic::{Request, Response, Status};

use crate::{
    config::{Change, Config, Snapshots, Source},
    platform::{Commit, Effect, Expect, Row, SharedPlatform, Table, Write},
    stop::Stop,
};

/// How often a write with an unknown effect is asked after.
const SETTLE_ATTEMPTS: usize = 3;

/// Answers operators.
pub struct OperatorsService {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Its start number.
    pub start: StartNumber,
    /// Takes in accepted policies.
    pub config: Config,
    /// The configuration in force.
    pub snapshots: Snapshots,
    /// Keeps the policies.
    pub platform: SharedPlatform,
    /// Whether the instance is stopping.
    pub stop: Stop,
}

/// What the platform holds for a policy.
struct Held {
    row_version: u64,
    policy: Policy,
}

impl OperatorsService {
    async fn held(&self, service: &ServiceName) -> Result<Option<Held>, Status> {
        let row = self.platform.read(Table::Policy, service.as_str()).await.map_err(unavailable)?;
        row.map(held).transpose()
    }

    async fn set(&self, wanted: Policy, based_on: u64) -> Result<(bool, Policy), Status> {
        // A write whose answer was lost may have taken effect: the operation id
        // in the row tells, so that the change is never applied twice.
        let mut last = None;
        for _ in 0..SETTLE_ATTEMPTS {
            let held = self.held(&wanted.service).await?;
            if let Some(held) = &held
                && held.policy.operation_id == wanted.operation_id
            {
                return Ok((true, held.policy.clone()));
            }
            let version = held.as_ref().map_or(0, |held| held.policy.version);
            if version != based_on {
                let winner = held.map_or(wanted, |held| held.policy);
                return Ok((false, winner));
            }
            match self.commit(&wanted, held.as_ref()).await {
                Ok(Commit::Done(_)) => return Ok((true, wanted)),
                Ok(Commit::Conflict { row: Some(row), .. }) => {
                    let winner = self::held(row)?.policy;
                    return Ok((winner.operation_id == wanted.operation_id, winner));
                }
                Ok(Commit::Conflict { row: None, .. }) => continue,
                Err(e) if e.effect() == Effect::None => return Err(unavailable(e)),
                Err(e) => last = Some(e),
            }
        }
        let detail = last.map_or_else(String::new, |e| e.to_string());
        Err(Status::unknown(format!(
            "it is not known whether the change was made; repeat it with the same operation id: {detail}"
        )))
    }

    async fn commit(
        &self,
        wanted: &Policy,
        held: Option<&Held>,
    ) -> crate::platform::Result<Commit> {
        let value = serde_json::to_value(wanted)
            .map_err(|e| crate::platform::PlatformError::new(Effect::None, e.to_string()))?;
        let policy = Write {
            table: Table::Policy,
            key: wanted.service.to_string(),
            expect: held.map_or(Expect::Absent, |held| Expect::Version(held.row_version)),
            value: Some(value.clone()),
        };
        let history = Write {
            table: Table::PolicyHistory,
            key: format!("{}/{}", wanted.service, wanted.version),
            expect: Expect::Absent,
            value: Some(value),
        };
        self.platform.transact(&[policy, history]).await
    }
}

fn held(row: Row) -> Result<Held, Status> {
    let policy = serde_json::from_value(row.value)
        .map_err(|e| Status::internal(format!("the row of {} is not understood: {e}", row.key)))?;
    Ok(Held { row_version: row.version, policy })
}

fn unavailable(e: crate::platform::PlatformError) -> Status {
    Status::unavailable(e.to_string())
}

#[tonic::async_trait]
impl Operators for OperatorsService {
    async fn status(
        &self,
        _request: Request<StatusRequest>,
    ) -> Result<Response<StatusResponse>, Status> {
        let snapshot = self.snapshots.current();
        let policy_versions = snapshot
            .policies
            .iter()
            .map(|(service, policy)| (service.to_string(), policy.version))
            .collect();
        Ok(Response::new(StatusResponse {
            instance: self.instance.to_string(),
            start: self.start.0,
            ready: snapshot.ready,
            stopping: self.stop.is_stopping(),
            policy_versions,
        }))
    }

    async fn get_policy(
        &self,
        request: Request<GetPolicyRequest>,
    ) -> Result<Response<GetPolicyResponse>, Status> {
        let service = ServiceName::new(&request.into_inner().service);
        let snapshot = self.snapshots.current();
        let Some(policy) = snapshot.policies.get(&service) else {
            return Err(Status::not_found(format!("no policy names {service}")));
        };
        Ok(Response::new(GetPolicyResponse { policy: Some(convert::to_proto(policy)) }))
    }

    async fn list_policies(
        &self,
        _request: Request<ListPoliciesRequest>,
    ) -> Result<Response<ListPoliciesResponse>, Status> {
        let snapshot = self.snapshots.current();
        let policies = snapshot.policies.values().map(|policy| convert::to_proto(policy)).collect();
        Ok(Response::new(ListPoliciesResponse { policies }))
    }

    async fn set_policy(
        &self,
        request: Request<SetPolicyRequest>,
    ) -> Result<Response<SetPolicyResponse>, Status> {
        let request = request.into_inner();
        let mut policy = convert::from_proto(request.policy.unwrap_or_default())
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        if request.operation_id.is_empty() {
            return Err(Status::invalid_argument("operation_id must not be empty"));
        }
        policy.operation_id = request.operation_id;
        policy.version = request.based_on_version + 1;
        if request.dry_run {
            return Ok(Response::new(SetPolicyResponse {
                accepted: false,
                policy: Some(convert::to_proto(&policy)),
            }));
        }
        let (accepted, policy) = self.set(policy, request.based_on_version).await?;
        self.config.change(Change::Policy(Box::new(policy.clone()), Source::Platform));
        let policy = Some(convert::to_proto(&policy));
        Ok(Response::new(SetPolicyResponse { accepted, policy }))
    }
}
