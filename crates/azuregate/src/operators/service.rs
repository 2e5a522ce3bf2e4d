//! The calls of the schema, one by one.

use azuregate_core::{
    entries::{self, MAX_AGE_S},
    names::BackendId,
    policy::Cap,
};
use azuregate_schema::v1::{self, operators_server::Operators};
use tonic::{Request, Response, Status};

use super::{
    OperatorsService, convert, describe,
    edit::{ChangeRequest, Edit},
    effect, failure, parse_optional_service, parse_service_name,
};

type Answer<T> = Result<Response<T>, Status>;

/// The change that a request for a drain stands for.
fn drain_change(
    request: &v1::DrainRequest,
    edit: fn(Vec<BackendId>) -> Edit,
) -> Result<ChangeRequest, Status> {
    if request.backends.is_empty() {
        return Err(failure::usage("backends must not be empty"));
    }
    for id in &request.backends {
        convert::check_name("backends", id).map_err(|e| failure::usage(e.to_string()))?;
    }
    let mut ids: Vec<_> = request.backends.iter().map(|id| BackendId::new(id)).collect();
    ids.sort();
    ids.dedup();
    Ok(ChangeRequest {
        service: parse_service_name(&request.service)?,
        operation_id: request.operation_id.clone(),
        based_on_version: request.based_on_version,
        edit: edit(ids),
    })
}

#[tonic::async_trait]
impl Operators for OperatorsService {
    async fn status(&self, _request: Request<v1::StatusRequest>) -> Answer<v1::StatusResponse> {
        let snapshot = self.deps.snapshots.current();
        let stopping = self.deps.stop.is_stopping();
        let (ready, reason) = describe::readiness(&snapshot, stopping);
        let versions = snapshot.policies.iter();
        Ok(Response::new(v1::StatusResponse {
            instance: self.deps.instance.to_string(),
            start: self.deps.start.0,
            ready,
            stopping,
            policy_versions: versions.map(|(name, p)| (name.to_string(), p.version)).collect(),
            ready_reason: reason,
            build_version: env!("CARGO_PKG_VERSION").to_owned(),
            zone: self.deps.zone.to_string(),
            instances: describe::instances(&snapshot),
            backends: describe::backends(&snapshot, None),
            histograms: describe::histograms(self.deps.recorder.histograms().await, None),
        }))
    }

    async fn get_policy(
        &self,
        request: Request<v1::GetPolicyRequest>,
    ) -> Answer<v1::GetPolicyResponse> {
        let policy = self.policy_in_force(&request.into_inner().service)?;
        Ok(Response::new(v1::GetPolicyResponse { policy: Some(convert::to_proto(&policy)) }))
    }

    async fn list_policies(
        &self,
        _request: Request<v1::ListPoliciesRequest>,
    ) -> Answer<v1::ListPoliciesResponse> {
        let snapshot = self.deps.snapshots.current();
        let policies = snapshot.policies.values().map(|policy| convert::to_proto(policy)).collect();
        Ok(Response::new(v1::ListPoliciesResponse { policies }))
    }

    async fn policy_history(
        &self,
        request: Request<v1::PolicyHistoryRequest>,
    ) -> Answer<v1::PolicyHistoryResponse> {
        let request = request.into_inner();
        let history = self.history(&parse_service_name(&request.service)?, request.limit).await?;
        let policies = history.iter().map(convert::to_proto).collect();
        Ok(Response::new(v1::PolicyHistoryResponse { policies }))
    }

    async fn set_policy(
        &self,
        request: Request<v1::SetPolicyRequest>,
    ) -> Answer<v1::ChangeResponse> {
        let request = request.into_inner();
        let mut policy = convert::from_proto(request.policy.unwrap_or_default())
            .map_err(|e| failure::usage(e.to_string()))?;
        // What the file says of these is of the version that it was read from.
        policy.version = 0;
        policy.operation_id.clear();
        let change = ChangeRequest {
            service: policy.service.clone(),
            operation_id: request.operation_id,
            based_on_version: Some(request.based_on_version),
            edit: Edit::Set(Box::new(policy)),
        };
        Ok(Response::new(self.change(change, request.dry_run).await?))
    }

    async fn start_shift(
        &self,
        request: Request<v1::StartShiftRequest>,
    ) -> Answer<v1::ChangeResponse> {
        let request = request.into_inner();
        let to_share_ppm = convert::shares_from_proto("to_share_ppm", &request.to_share_ppm)
            .map_err(|e| failure::usage(e.to_string()))?;
        let cap = request.cap.map(|v1::Cap { share_ppm, window_ms }| Cap { share_ppm, window_ms });
        let change = ChangeRequest {
            service: parse_service_name(&request.service)?,
            operation_id: request.operation_id,
            based_on_version: request.based_on_version,
            edit: Edit::StartShift { to_share_ppm, cap },
        };
        Ok(Response::new(self.change(change, request.dry_run).await?))
    }

    async fn stop_shift(
        &self,
        request: Request<v1::StopShiftRequest>,
    ) -> Answer<v1::ChangeResponse> {
        let request = request.into_inner();
        let change = ChangeRequest {
            service: parse_service_name(&request.service)?,
            operation_id: request.operation_id,
            based_on_version: request.based_on_version,
            edit: Edit::StopShift,
        };
        Ok(Response::new(self.change(change, request.dry_run).await?))
    }

    async fn get_shift(
        &self,
        request: Request<v1::GetShiftRequest>,
    ) -> Answer<v1::GetShiftResponse> {
        let policy = self.policy_in_force(&request.into_inner().service)?;
        let now_ms = self.deps.clock.epoch();
        let shares = effect::shares_now(&policy, now_ms).unwrap_or_default();
        let shift = policy.with_ended_shift_applied(now_ms).shift;
        Ok(Response::new(v1::GetShiftResponse {
            progress_ppm: shift.as_ref().map_or(0, |shift| shift.progress_ppm(now_ms)),
            share_ppm: convert::shares_to_proto(&shares),
            end_at_ms: shift.as_ref().map_or(0, |shift| shift.end_at_ms().0),
            version: policy.version,
            now_ms: now_ms.0,
            shift: shift.as_ref().map(convert::shift_to_proto),
        }))
    }

    async fn start_drain(&self, request: Request<v1::DrainRequest>) -> Answer<v1::ChangeResponse> {
        let request = request.into_inner();
        let change = drain_change(&request, Edit::Drain)?;
        Ok(Response::new(self.change(change, request.dry_run).await?))
    }

    async fn stop_drain(&self, request: Request<v1::DrainRequest>) -> Answer<v1::ChangeResponse> {
        let request = request.into_inner();
        let change = drain_change(&request, Edit::Undrain)?;
        Ok(Response::new(self.change(change, request.dry_run).await?))
    }

    async fn list_drains(
        &self,
        request: Request<v1::ListDrainsRequest>,
    ) -> Answer<v1::ListDrainsResponse> {
        let service = parse_optional_service(&request.into_inner().service)?;
        let mut backends = describe::backends(&self.deps.snapshots.current(), service.as_ref());
        backends.retain(|backend| !backend.open);
        Ok(Response::new(v1::ListDrainsResponse { backends }))
    }

    async fn entries(&self, request: Request<v1::EntriesRequest>) -> Answer<v1::EntriesResponse> {
        let from = request.remote_addr().map(|addr| addr.ip().to_string());
        let request = request.into_inner();
        let policy = self.policy_in_force(&request.service)?;
        let caller = match request.caller.as_str() {
            "" => from.unwrap_or_default(),
            caller => caller.to_owned(),
        };
        let snapshot = self.deps.snapshots.current();
        let answer = entries::entries(&snapshot, &policy.service, &self.deps.zone, &caller);
        let entries = answer.entries.into_iter().map(|entry| v1::Entry {
            id: entry.id.to_string(),
            addr: entry.addr.to_string(),
            zone: entry.zone.to_string(),
        });
        Ok(Response::new(v1::EntriesResponse { entries: entries.collect(), max_age_s: MAX_AGE_S }))
    }

    async fn histograms(
        &self,
        request: Request<v1::HistogramsRequest>,
    ) -> Answer<v1::HistogramsResponse> {
        let service = parse_optional_service(&request.into_inner().service)?;
        let histograms = self.deps.recorder.histograms().await;
        Ok(Response::new(v1::HistogramsResponse {
            dropped: histograms.dropped,
            histograms: describe::histograms(histograms, service.as_ref()),
        }))
    }
}
