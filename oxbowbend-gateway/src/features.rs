//! Decisions under overload that an operator switches on.
//!
//! All instances of a fleet need the same ones: instances of a cell compute the same order, and
//! grants and offers pass between instances. None has an effect in a fleet of one cell.

use std::str::FromStr;

use thiserror::Error;

/// The features that are enabled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Features {
    /// Slots of services with few endpoints are leased from an owner.
    pub slot_leases: bool,
    /// Requests that find no free slot are offered to other cells.
    pub overflow: bool,
    /// Ranks below the first get a part of the slot time, and accounts over their fair share go last.
    pub rank_floor: bool,
    /// Refusals on arrival and retry delays depend on the expected wait.
    pub expected_wait: bool,
}

/// A name that is no feature.
#[derive(Debug, Error, Eq, PartialEq)]
#[error("{0:?} is none of slot-leases, overflow, rank-floor, expected-wait")]
pub struct UnknownFeature(pub String);

impl Features {
    /// No feature.
    pub const NONE: Features =
        Features { slot_leases: false, overflow: false, rank_floor: false, expected_wait: false };
}

impl FromStr for Features {
    type Err = UnknownFeature;

    /// Reads names separated by commas.
    ///
    /// ```
    /// use oxbowbend_gateway::features::Features;
    ///
    /// let features: Features = "overflow,rank-floor".parse().unwrap();
    /// assert!(features.overflow && features.rank_floor && !features.slot_leases);
    /// assert!("faster".parse::<Features>().is_err());
    /// ```
    fn from_str(names: &str) -> Result<Features, UnknownFeature> {
        let mut features = Features::default();
        for name in names.split(',').map(str::trim).filter(|name| !name.is_empty()) {
            let feature = match name {
                "slot-leases" => &mut features.slot_leases,
                "overflow" => &mut features.overflow,
                "rank-floor" => &mut features.rank_floor,
                "expected-wait" => &mut features.expected_wait,
                unknown => return Err(UnknownFeature(unknown.to_owned())),
            };
            *feature = true;
        }
        Ok(features)
    }
}
