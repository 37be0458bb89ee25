//! Search for accelerators of a given shape at the lowest cost.

pub(crate) mod solver;

pub(crate) use solver::CostModel;
pub(crate) use solver::PlacementRequest;
