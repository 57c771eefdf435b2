//! The `foxtail order` command, which sets and lists the desired states of engines.

use crate::client::OperatorClient;
use crate::error::Result;
use crate::options::OrderCommand;
use crate::output::{Table, json};
use crate::view::OrderView;

/// Runs the command and returns the text to print.
pub async fn run(client: &OperatorClient, order: &OrderCommand, as_json: bool) -> Result<String> {
    let views = match order {
        OrderCommand::Set(backend, setup) => vec![client.set_order(backend, setup).await?],
        OrderCommand::List => client.orders().await?,
    };
    Ok(if as_json { json(&views) } else { table(&views) })
}

fn table(views: &[OrderView]) -> String {
    let mut table = Table::new(&["BACKEND", "VERSION", "MODEL", "WEIGHTS", "ADAPTERS", "ROLE"]);
    for view in views {
        table.row([
            view.backend.to_string(),
            view.version.to_string(),
            view.setup.model.to_string(),
            view.setup.version.clone(),
            view.setup.adapters.join(","),
            format!("{:?}", view.setup.role).to_lowercase(),
        ]);
    }
    table.render()
}
