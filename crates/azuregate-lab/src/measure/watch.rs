//! An outage of the platform that starts just after a commit.

use std::{sync::Arc, time::Duration};

use azuregate::platform::Table;
use azuregate_core::names::ServiceName;
use tokio::time;

use crate::platform::Server;

/// How often the table is looked at.
const STEP: Duration = Duration::from_micros(500);
/// How long a commit is waited for.
const PATIENCE: Duration = Duration::from_secs(10);

/// Waits for the next change of a policy and takes the platform down at once.
pub(crate) fn down_after_commit(
    platform: &Arc<Server>,
    service: &ServiceName,
) -> impl Future<Output = ()> + use<> {
    let (platform, service) = (Arc::clone(platform), service.clone());
    let version = move |platform: &Server| {
        let row = platform.store().read(Table::Policy.as_str(), service.as_str());
        row.map_or(0, |row| row.version)
    };
    let before = version(&platform);
    async move {
        let waiting = async {
            while version(&platform) == before {
                time::sleep(STEP).await;
            }
        };
        if time::timeout(PATIENCE, waiting).await.is_ok() {
            platform.faults().down = true;
        }
    }
}
