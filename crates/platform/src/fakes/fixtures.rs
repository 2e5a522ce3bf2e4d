//! Rows and settings in the formats of the platform.

use std::{collections::BTreeMap, net::SocketAddr};

use serde_json::{Value, json};

/// A configuration that tests can change.
#[derive(Clone, Debug)]
pub struct ConfigDocument {
    /// The version.
    pub version: u64,
    /// The service of `/read/`, `/write/` and `/upload/`.
    pub service: String,
    /// The timeout of all routes without one of their own.
    pub timeout_ms: u64,
    /// Timeouts of single routes, by path prefix.
    pub timeouts_ms: BTreeMap<String, u64>,
    /// The number of servers to which one request may be sent.
    pub attempts: u32,
    /// The longest body of a request.
    pub max_body_bytes: usize,
    /// Path prefixes of further routes to the same service.
    pub extra_prefixes: Vec<String>,
    /// Path prefixes of further routes to the same service, of requests that must run at most once.
    pub extra_write_prefixes: Vec<String>,
}

impl ConfigDocument {
    /// Returns version 1, with a route to `service` for each kind of request.
    pub fn new(service: &str) -> ConfigDocument {
        ConfigDocument {
            version: 1,
            service: service.to_owned(),
            timeout_ms: 1_000,
            timeouts_ms: BTreeMap::new(),
            attempts: 2,
            max_body_bytes: 1 << 20,
            extra_prefixes: Vec::new(),
            extra_write_prefixes: Vec::new(),
        }
    }

    fn rule(&self, prefix: &str, kind: &str) -> Value {
        let timeout_ms = self.timeouts_ms.get(prefix).copied().unwrap_or(self.timeout_ms);
        json!({
            "name": format!("r{}", prefix.replace('/', "-")), "type": kind,
            "targetLatencyS": 0.25, "priority": 1, "sessionAffinity": true,
            "match": { "prefix": prefix },
            "action": {
                "backend": self.service, "timeoutS": timeout_ms as f64 / 1e3,
                "attempts": self.attempts, "homeRegions": [],
            },
        })
    }

    /// Returns the JSON document.
    pub fn json(&self) -> Value {
        let mut rules = vec![
            self.rule("/read/", "idempotent"),
            self.rule("/write/", "non_idempotent"),
            self.rule("/upload/", "upload"),
        ];
        rules.extend(self.extra_prefixes.iter().map(|prefix| self.rule(prefix, "idempotent")));
        let writes = self.extra_write_prefixes.iter();
        rules.extend(writes.map(|prefix| self.rule(prefix, "non_idempotent")));
        json!({
            "configVersion": format!("{:08x}", self.version),
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": self.max_body_bytes,
                "headerTimeoutS": 3, "idleTimeoutS": 15,
            },
            "listeners": [{ "host": "shop.example", "rules": rules }],
            "clusters": [{
                "name": self.service, "healthPath": "/healthz", "maxConns": 330,
                "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 9.0,
            }],
        })
    }
}

/// Returns the value of the operator's row that holds a configuration.
pub fn config_row(config: &ConfigDocument) -> Vec<u8> {
    config.json().to_string().into_bytes()
}

/// Returns the value of a backend server's row.
pub fn backend_row(service: &str, addr: SocketAddr, zone: &str, state: &str) -> Vec<u8> {
    let row = json!({
        "backend": service, "address": addr, "zone": zone, "configVersion": "v1",
        "capacity": 3, "state": state, "warmupLeftS": 0, "sequence": 1, "born": 1,
    });
    row.to_string().into_bytes()
}

/// Returns the settings file of an instance at `ip` in zone `zone-a` of `region-1`.
/// Its listeners use three ports starting at `first_port`, and peers use `peer_port`
/// and the next one.
pub fn settings_text(
    name: &str,
    ip: &str,
    first_port: u16,
    peer_port: u16,
    store: SocketAddr,
) -> String {
    let [traffic, ready, lookups] = [0, 1, 2].map(|offset| first_port + offset);
    let last_peer_port = peer_port + 1;
    format!(
        "self.nodeName={name}\nself.ip={ip}\nself.zone=zone-a\nself.region=region-1\n\
         network.listen.frontend={ip}:{traffic}\nnetwork.listen.readiness={ip}:{ready}\n\
         network.listen.directory={ip}:{lookups}\nnetwork.internalPorts={peer_port},{last_peer_port}\n\
         network.zones.zone-a=region-1\nnetwork.zones.zone-b=region-1\nnetwork.zones.zone-c=region-2\n\
         provider.provider.address={store}\nprovider.heartbeatS=1.5\n\
         terms.bounds.contactS=1\nterms.bounds.graceS=6\nterms.bounds.retryBudgetRatio=1000\n\
         terms.bounds.retryWindowS=10\nterms.bounds.retryBurst=58\n"
    )
}
