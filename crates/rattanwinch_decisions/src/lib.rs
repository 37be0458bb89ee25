//! The decisions of rattanwinch: pure functions of state, input and time.
//!
//! Nothing here does I/O, reads a clock or knows the encoding of a message; randomness comes
//! only from a seeded argument. Entries and agents feed in what they learn and carry out what
//! is decided, so that another front end can use the same code.
//!
//! Start reading at [`Gate`], which says what an agent may start now, and [`pick_target`], which
//! routes a plain request. [`apply`] changes the configuration, and
//! [`BurnWindows`] measures the service level.

mod burn;
mod config_changes;
mod gate;
mod routing;

pub use burn::BurnAlert;
pub use burn::BurnReport;
pub use burn::BurnWindow;
pub use burn::BurnWindows;
pub use burn::MAX_BURN_ORGANISATIONS;
pub use burn::OrganisationBurn;
pub use burn::RequestCount;
pub use config_changes::ChangeError;
pub use config_changes::ConfigChange;
pub use config_changes::DefaultKey;
pub use config_changes::MAX_AUTHOR_BYTES;
pub use config_changes::MAX_REASON_BYTES;
pub use config_changes::apply;
pub use config_changes::effect;
pub use gate::Gate;
pub use routing::TargetLoad;
pub use routing::pick_target;
