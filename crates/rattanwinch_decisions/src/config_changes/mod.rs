//! Changes of the configuration: their checks, their result and what they mean.

mod apply;
mod change_error;
mod config_change;
mod default_key;
mod effect;

pub use apply::MAX_AUTHOR_BYTES;
pub use apply::MAX_REASON_BYTES;
pub use apply::apply_change;
pub use change_error::ChangeError;
pub use config_change::ConfigChange;
pub use default_key::DefaultKey;
pub use effect::describe_effects;
