//! Bytes sent between instances, as the kernel counts them for each TCP connection.

use std::collections::HashSet;
use std::process::Command;

use crate::error::Result;

fn port(address: &str) -> Option<u16> {
    address.rsplit(':').next()?.parse().ok()
}

/// Returns the bytes sent so far over all connections with one of these ports at either end, as
/// reported by `ss` (iproute2). Both ends of a connection are on this machine and each reports the
/// bytes that it sent, so that no byte is counted twice.
pub fn bytes_sent(ports: &HashSet<u16>) -> Result<u64> {
    let output = Command::new("ss").args(["-tniOH"]).output()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let mut total = 0;
    for line in text.lines() {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (Some(local), Some(remote)) = (fields.get(3), fields.get(4)) else {
            continue;
        };
        let ends = [port(local), port(remote)];
        if !ends.iter().flatten().any(|port| ports.contains(port)) {
            continue;
        }
        let sent = fields
            .iter()
            .find_map(|field| field.strip_prefix("bytes_sent:"));
        total += sent.and_then(|sent| sent.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(total)
}
