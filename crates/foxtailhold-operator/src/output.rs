//! Output formats: tables and JSON.

use serde::Serialize;

/// A text table. Each column is as wide as its widest cell.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header row.
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(ToString::to_string).collect();
        Table { rows: vec![head] }
    }

    /// Adds a row.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Formats the table, with one line per row.
    pub fn render(&self) -> String {
        let columns = self.rows.first().map_or(0, Vec::len);
        let mut widths = vec![0; columns];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (width, cell) in widths.iter().zip(row) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

/// Formats a value as indented JSON with a final newline.
pub fn json<T: Serialize>(value: &T) -> String {
    let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
    text.push('\n');
    text
}
