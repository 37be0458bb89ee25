//! Locations of guaranteed blocks.

mod guarantee_plan;

pub(crate) use guarantee_plan::Block;
pub(crate) use guarantee_plan::GuaranteePlan;
