//! Text in columns.

/// Lines of text in columns that are as wide as their widest cell.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with a line of headings.
    pub(super) fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|heading| (*heading).to_owned()).collect();
        Self { rows: vec![headings] }
    }

    /// The same with one more line.
    pub(super) fn row(mut self, cells: impl IntoIterator<Item = String>) -> Self {
        self.rows.push(cells.into_iter().collect());
        self
    }

    /// The whole text.
    pub(super) fn text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let lines: Vec<_> = self.rows.iter().map(|row| line(row, &widths)).collect();
        lines.join("\n")
    }
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).map(|(cell, &width)| format!("{cell:<width$}"));
    padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
}
