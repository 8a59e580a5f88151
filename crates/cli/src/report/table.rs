//! Text in columns and lists.

use havengate_core::world::{Address, ZoneName};

/// Rows under a header, each column as wide as its widest cell; two blanks between columns.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(|&title| title.to_owned()).collect();
    let all: Vec<&Vec<String>> = std::iter::once(&header).chain(rows).collect();
    let width = |column: usize| all.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let lines: Vec<String> = all.iter().map(|row| line(row, &widths)).collect();
    lines.join("\n")
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row.iter().zip(widths).map(|(cell, &width)| format!("{cell:<width$}")).collect();
    cells.join("  ").trim_end().to_owned()
}

/// A value, or `-` where none is known.
pub fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Members and zones that are missing, or what it means that none is: the store, or a whole zone, holds the change up.
pub fn missing_text(members: &[Address], zones: &[ZoneName]) -> String {
    if members.is_empty() && zones.is_empty() {
        return "the store or a zone without members in view".to_owned();
    }
    let members = members.iter().map(ToString::to_string);
    let zones = zones.iter().map(|zone| format!("zone {zone} (can't be reached)"));
    members.chain(zones).collect::<Vec<_>>().join(", ")
}
