//! Changes that an operator makes while something is measured.

use std::{net::SocketAddr, time::Duration};

use azuregate_core::names::ServiceName;
use azuregate_schema::v1::{
    GetPolicyRequest, Policy, SetPolicyRequest, StatusRequest, operators_client::OperatorsClient,
};
use tokio::time;
use tonic::transport::Channel;

use crate::client::ClientError;

/// How long an instance may take to answer a call.
const TIMEOUT: Duration = Duration::from_secs(5);

/// How often it is asked whether a version is in force: the grain of what is
/// measured by it.
const GRAIN: Duration = Duration::from_millis(2);

/// An operator with a connection to one entry instance.
#[derive(Clone, Debug)]
pub(crate) struct Operator {
    client: OperatorsClient<Channel>,
}

impl Operator {
    pub(crate) async fn connect(at: SocketAddr) -> Result<Operator, ClientError> {
        let channel =
            Channel::from_shared(format!("http://{at}"))?.timeout(TIMEOUT).connect().await?;
        Ok(Operator { client: OperatorsClient::new(channel) })
    }

    /// Changes the policy in force and returns the accepted version.
    pub(crate) async fn change(
        &mut self,
        service: &ServiceName,
        change: impl FnOnce(&mut Policy),
    ) -> Result<u64, ClientError> {
        let request = GetPolicyRequest { service: service.to_string() };
        let answer = self.client.get_policy(request).await?.into_inner();
        let mut policy = answer.policy.ok_or("the answer holds no policy")?;
        let based_on_version = policy.version;
        change(&mut policy);
        let request = SetPolicyRequest {
            policy: Some(policy),
            based_on_version,
            operation_id: format!("lab-{:016x}", fastrand::u64(..)),
            dry_run: false,
        };
        let answer = self.client.set_policy(request).await?.into_inner();
        if !answer.accepted {
            return Err("another change came first".into());
        }
        Ok(based_on_version + 1)
    }

    /// Waits until a version is in force at this instance.
    pub(crate) async fn wait_in_force(
        &mut self,
        service: &ServiceName,
        version: u64,
    ) -> Result<(), ClientError> {
        loop {
            let status = self.client.status(StatusRequest {}).await?.into_inner();
            if status.policy_versions.get(service.as_str()).is_some_and(|v| *v >= version) {
                return Ok(());
            }
            time::sleep(GRAIN).await;
        }
    }
}
