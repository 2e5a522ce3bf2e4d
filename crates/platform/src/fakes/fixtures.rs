//! Rows and settings as the platform writes them.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// A configuration in the platform's form, to be changed by tests.
#[derive(Clone, Debug)]
pub struct ConfigDocument {
    /// The version.
    pub version: u64,
    /// The service of `/read/`, `/write/` and `/upload/`.
    pub service: String,
    /// The timeout of these routes.
    pub timeout_ms: u64,
    /// Paths of further routes to the same service.
    pub extra_prefixes: Vec<String>,
}

impl ConfigDocument {
    /// The first version, with routes for each kind of request to `service`.
    pub fn new(service: &str) -> ConfigDocument {
        ConfigDocument {
            version: 1,
            service: service.to_owned(),
            timeout_ms: 1_000,
            extra_prefixes: Vec::new(),
        }
    }

    fn rule(&self, prefix: &str, kind: &str) -> Value {
        json!({
            "name": format!("r{}", prefix.replace('/', "-")), "type": kind,
            "targetLatencyS": 0.25, "priority": 1, "sessionAffinity": true,
            "match": { "prefix": prefix },
            "action": {
                "backend": self.service, "timeoutS": self.timeout_ms as f64 / 1e3,
                "attempts": 2, "homeRegions": [],
            },
        })
    }

    /// The document.
    pub fn json(&self) -> Value {
        let mut rules = vec![
            self.rule("/read/", "idempotent"),
            self.rule("/write/", "non_idempotent"),
            self.rule("/upload/", "upload"),
        ];
        rules.extend(self.extra_prefixes.iter().map(|prefix| self.rule(prefix, "idempotent")));
        json!({
            "configVersion": format!("{:08x}", self.version),
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
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

/// The value of the operator's row that holds a configuration.
pub fn config_row(config: &ConfigDocument) -> Vec<u8> {
    config.json().to_string().into_bytes()
}

/// The value of a backend server's row.
pub fn backend_row(service: &str, addr: SocketAddr, zone: &str, state: &str) -> Vec<u8> {
    let row = json!({
        "backend": service, "address": addr, "zone": zone, "configVersion": "v1",
        "capacity": 3, "state": state, "warmupLeftS": 0, "sequence": 1, "born": 1,
    });
    row.to_string().into_bytes()
}

/// The settings file of an instance at `ip` in zone `zone-a` of `region-1`; its
/// ports are the four from `first_port`, and `peer_port` is for heartbeats.
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
