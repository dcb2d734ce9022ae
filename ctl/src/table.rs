//! Plain-text tables.

/// Formats rows below a header, with each column as wide as its widest cell.
pub fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let header = header.map(str::to_owned);
    let all = || core::iter::once(&header).chain(rows);
    let width = |column: usize| all().map(|row| row[column].chars().count()).max();
    let widths: Vec<_> = (0..N).map(|column| width(column).unwrap_or(0)).collect();
    let lines: Vec<_> = all().map(|row| format_row(row, &widths)).collect();
    lines.join("\n")
}

fn format_row<const N: usize>(row: &[String; N], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let cells: Vec<_> = cells
        .map(|(cell, &width)| format!("{cell:<width$}"))
        .collect();
    cells.join("  ").trim_end().to_owned()
}
