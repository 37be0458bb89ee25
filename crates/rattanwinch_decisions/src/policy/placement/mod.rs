//! The search for accelerators of a shape at the lowest cost.

pub(crate) mod solver;

pub(crate) use solver::Pricing;
pub(crate) use solver::Wanted;
