//! Policies and splits as they are written on the command line.

use std::collections::BTreeMap;

use havengate_core::configuration::PolicyChoice;
use havengate_core::policy::RoleCounts;

/// Reads a policy such as `predictive`, or `predictive:dwell_seconds=20:margin=0.05`.
pub fn policy(text: &str) -> Result<PolicyChoice, String> {
    let mut parts = text.split(':');
    let name = parts.next().unwrap_or_default();
    let parameters: Result<BTreeMap<String, f64>, String> = parts.map(parameter).collect();
    Ok(PolicyChoice { name: name.into(), parameters: parameters? })
}

fn parameter(text: &str) -> Result<(String, f64), String> {
    let wrong = || format!("`{text}` is not a parameter such as dwell_seconds=20");
    let (name, value) = text.split_once('=').ok_or_else(wrong)?;
    Ok((name.to_owned(), value.parse().map_err(|_| wrong())?))
}

/// Reads role counts from a text such as `6,6,0`.
pub fn role_counts(text: &str) -> Result<RoleCounts, String> {
    let counts: Result<Vec<u16>, _> = text.split(',').map(str::parse).collect();
    match counts.as_deref() {
        Ok([prefill, decode, mixed]) => Ok(RoleCounts { prefill: *prefill, decode: *decode, mixed: *mixed }),
        _ => Err(format!("`{text}` is not three numbers of engines with commas, such as 6,6,0")),
    }
}
