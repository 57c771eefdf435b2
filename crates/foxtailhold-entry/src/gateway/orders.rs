//! Desired setups of engines in the table service.

use foxtailhold::ids::BackendId;
use foxtailhold::orders::EngineSetup;
use foxtailhold_operator::error::{OperatorError, Result};
use foxtailhold_operator::view::OrderView;
use foxtailhold_platform::{Expect, Operation, Platform, PlatformError, Row, Transacted};

use crate::jobs::owner::scan_all;
use crate::shared::Shared;
use crate::tables;

/// Attempts to write a desired setup while other operators write the same row.
const MAX_ATTEMPTS: u32 = 4;

fn unavailable(error: &PlatformError) -> OperatorError {
    log::warn!("desired setup of an engine not read or written: {error}");
    OperatorError::StoreUnavailable
}

fn view(backend: &BackendId, row: &Row) -> Result<OrderView> {
    Ok(OrderView {
        backend: backend.clone(),
        version: row.version,
        setup: row.read().map_err(|error| unavailable(&error))?,
    })
}

/// Sets an engine's desired setup. If it is already the desired one, nothing is written, so a
/// repeat after a lost answer is safe.
pub async fn set<P: Platform>(
    shared: &Shared<P>,
    backend: &BackendId,
    setup: &EngineSetup,
) -> Result<OrderView> {
    let (table, key) = (tables::ORDER_WANTED, backend.as_str());
    for _ in 0..MAX_ATTEMPTS {
        let stored = shared.platform.get(table, key).await;
        let stored = stored.map_err(|error| unavailable(&error))?;
        if let Some(row) = &stored
            && row.read::<EngineSetup>().is_ok_and(|now| now == *setup)
        {
            return view(backend, row);
        }
        let version = stored.map_or(0, |row| row.version);
        let expect = match version {
            0 => Expect::Absent,
            version => Expect::Version(version),
        };
        let put = Operation::put(table, key, expect, setup);
        match shared.platform.transact(&[put]).await {
            Ok(Transacted::Committed) => {
                return Ok(OrderView {
                    backend: backend.clone(),
                    version: version + 1,
                    setup: setup.clone(),
                });
            }
            Ok(Transacted::Conflict { .. }) => continue,
            Err(error) if error.may_have_taken_effect() => {
                let change_id = format!("{backend} version {}", version + 1);
                return Err(OperatorError::EffectUnknown { change_id });
            }
            Err(error) => return Err(unavailable(&error)),
        }
    }
    Err(OperatorError::StoreUnavailable)
}

/// Lists all desired setups. Rows whose key is no valid backend id are skipped.
pub async fn list<P: Platform>(shared: &Shared<P>) -> Result<Vec<OrderView>> {
    let rows = scan_all(&shared.platform, tables::ORDER_WANTED, "").await;
    let mut views = Vec::new();
    for keyed in rows.map_err(|error| unavailable(&error))? {
        let Ok(backend) = BackendId::try_from(keyed.key.as_str()) else {
            continue;
        };
        views.push(view(&backend, &keyed.row)?);
    }
    Ok(views)
}
