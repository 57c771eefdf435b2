//! Injection of faults, which last for one phase.

use nix::sys::signal::Signal;

use crate::deployment::Deployment;
use crate::error::Result;
use crate::load::scenario::Fault;
use crate::platform::PlatformFaults;

impl Fault {
    /// Injects the fault.
    pub async fn begin(self, deployment: &mut Deployment) -> Result<()> {
        match self {
            Fault::InstanceKilled => drop(deployment.instances.pop()),
            Fault::ReplicaFrozen => {
                if let Some(engine) = deployment.engines.first_mut() {
                    engine.signal(Signal::SIGSTOP)?;
                }
            }
            Fault::StoreDown => {
                let faults = PlatformFaults {
                    store_down: true,
                    ..PlatformFaults::default()
                };
                deployment.set_platform_faults(&faults).await?;
            }
            Fault::ZoneCut => {
                let zone = deployment.zones()[2];
                for process in deployment.in_zone(zone) {
                    process.signal(Signal::SIGSTOP)?;
                }
            }
        }
        Ok(())
    }

    /// Removes the fault; a killed instance is replaced by a new one.
    pub async fn end(self, deployment: &mut Deployment) -> Result<()> {
        match self {
            Fault::InstanceKilled => deployment.add_instance().await,
            Fault::ReplicaFrozen | Fault::ZoneCut => deployment.resume_all(),
            Fault::StoreDown => {
                let faults = PlatformFaults::default();
                deployment.set_platform_faults(&faults).await
            }
        }
    }
}
