//! What must hold between several settings.

use std::{collections::BTreeMap, net::SocketAddr};

use jsonc_parser::{
    ast::{NumberLit, StringLit, Value},
    common::Ranged,
};

use crate::jsonc::{Problems, closest_match};

/// The ports that an instance opens on its IP number.
const PORT_KEYS: [&str; 4] = ["traffic_port", "peer_port", "operators_port", "status_port"];

/// Reports what does not fit together. Values of the wrong shape are passed
/// over, since they are reported elsewhere.
pub(super) fn cross_checks(root: &Value<'_>, problems: &mut Problems<'_>) {
    check_ports(root, problems);
    check_platform(root, problems);
    check_topology(root, problems);
    check_zone(root, problems);
}

/// The second listener on a port would fail, and the instance not start.
fn check_ports(root: &Value<'_>, problems: &mut Problems<'_>) {
    let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
    for key in PORT_KEYS {
        let Some(port) = number(root, &[key]) else { continue };
        if let Some(previous) = seen.get(port.value) {
            let message = format!("clashes with {previous}: both are {}", port.value);
            problems.add(port.range.start, key, message);
        } else {
            seen.insert(port.value, key);
        }
    }
}

/// An instance that takes itself for the platform waits for a configuration
/// for ever.
fn check_platform(root: &Value<'_>, problems: &mut Problems<'_>) {
    let (Some(ip), Some(addr)) = (text(root, &["ip"]), text(root, &["platform", "addr"])) else {
        return;
    };
    for key in PORT_KEYS {
        let Some(port) = number(root, &[key]) else { continue };
        let own: Option<SocketAddr> = format!("{}:{}", ip.value, port.value).parse().ok();
        if own.is_some() && own == addr.value.parse().ok() {
            problems.add(
                addr.range.start,
                "platform.addr",
                format!("is this instance's own {key}"),
            );
        }
    }
}

/// A zone's region must be plain, since distance and failing over follow it.
fn check_topology(root: &Value<'_>, problems: &mut Problems<'_>) {
    let mut regions = BTreeMap::new();
    let mut zones = BTreeMap::new();
    for (index, region) in elements(root, &["topology", "regions"]).iter().enumerate() {
        let path = format!("topology.regions[{index}]");
        if let Some(name) = text(region, &["name"]) {
            report_duplicate(&mut regions, name, &format!("{path}.name"), problems);
        }
        for zone in elements(region, &["zones"]).iter().filter_map(Value::as_string_lit) {
            report_duplicate(&mut zones, zone, &format!("{path}.zones"), problems);
        }
    }
}

fn report_duplicate<'a>(
    seen: &mut BTreeMap<&'a str, usize>,
    name: &'a StringLit<'_>,
    path: &str,
    problems: &mut Problems<'_>,
) {
    let offset = name.range.start;
    if let Some(&first) = seen.get(&*name.value) {
        let message =
            format!("{:?} is listed before, on line {}", name.value, problems.line(first));
        problems.add(offset, path, message);
        return;
    }
    seen.insert(&name.value, offset);
}

fn check_zone(root: &Value<'_>, problems: &mut Problems<'_>) {
    let Some(zone) = text(root, &["zone"]) else { return };
    let regions = elements(root, &["topology", "regions"]);
    let zones: Vec<&str> = regions
        .iter()
        .flat_map(|region| elements(region, &["zones"]))
        .filter_map(|zone| Some(&*zone.as_string_lit()?.value))
        .collect();
    if zones.is_empty() || zones.contains(&&*zone.value) {
        return;
    }
    let hint = closest_match(&zone.value, zones.into_iter())
        .map_or_else(String::new, |name| format!("; did you mean {name:?}?"));
    problems.add(
        zone.range().start,
        "zone",
        format!("no region has the availability zone {:?}{hint}", zone.value),
    );
}

fn find<'a, 'b>(root: &'a Value<'b>, path: &[&str]) -> Option<&'a Value<'b>> {
    path.iter().try_fold(root, |value, key| Some(&value.as_object()?.get(key)?.value))
}

fn text<'a, 'b>(root: &'a Value<'b>, path: &[&str]) -> Option<&'a StringLit<'b>> {
    find(root, path)?.as_string_lit()
}

fn number<'a, 'b>(root: &'a Value<'b>, path: &[&str]) -> Option<&'a NumberLit<'b>> {
    find(root, path)?.as_number_lit()
}

fn elements<'a, 'b>(root: &'a Value<'b>, path: &[&str]) -> &'a [Value<'b>] {
    find(root, path).and_then(Value::as_array).map_or(&[], |array| &array.elements)
}
