//! Stand-in for the platform: table service, object store, weight store, and a fleet list whose
//! changes are visible after a delay.

pub mod faults;
pub mod fleet;
pub mod handler;
pub mod table;
pub mod weights;

pub use faults::PlatformFaults;
pub use handler::PlatformStandin;
