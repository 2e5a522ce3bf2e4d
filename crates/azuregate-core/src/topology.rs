//! Regions, availability zones and the distances between them.

use serde::{Deserialize, Serialize};

use crate::names::{RegionName, ZoneName};

/// The regions of a deployment and the delays between them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// The regions.
    pub regions: Vec<Region>,
    /// One-way delay between availability zones of one region, in milliseconds.
    pub zone_delay_ms: u64,
    /// One-way delay between regions, in milliseconds.
    pub region_delay_ms: u64,
    /// Capacity of a link between two regions in each direction, in megabits per
    /// second, shared by all traffic.
    pub link_mbit_per_s: u64,
}

/// A region and its availability zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region's name.
    pub name: RegionName,
    /// Its availability zones.
    pub zones: Vec<ZoneName>,
}

/// The distance between two availability zones, nearest first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The same availability zone.
    SameZone,
    /// Different availability zones of the same region.
    SameRegion,
    /// Different regions, or a zone that is not part of the topology.
    OtherRegion,
}

impl Topology {
    /// Returns the region of `zone`, or `None` if the zone is unknown.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        let region = self.regions.iter().find(|region| region.zones.contains(zone))?;
        Some(&region.name)
    }

    /// Returns all availability zones, in the order of the settings.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.regions.iter().flat_map(|region| &region.zones)
    }

    /// Returns the distance between two availability zones.
    pub fn distance(&self, from: &ZoneName, to: &ZoneName) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        match (self.region_of(from), self.region_of(to)) {
            (Some(a), Some(b)) if a == b => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }

    /// Returns the one-way delay for a distance, in milliseconds.
    pub fn delay_ms(&self, distance: Distance) -> u64 {
        match distance {
            Distance::SameZone => 0,
            Distance::SameRegion => self.zone_delay_ms,
            Distance::OtherRegion => self.region_delay_ms,
        }
    }
}
