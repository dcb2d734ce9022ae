//! Tables for people.

/// Lays out rows under a head, with columns as wide as their widest cell.
pub fn table<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> String {
    let head = head.map(str::to_owned);
    let all = || core::iter::once(&head).chain(rows);
    let width = |column: usize| all().map(|row| row[column].chars().count()).max();
    let widths: Vec<_> = (0..N).map(|column| width(column).unwrap_or(0)).collect();
    let lines: Vec<_> = all().map(|row| line(row, &widths)).collect();
    lines.join("\n")
}

fn line<const N: usize>(row: &[String; N], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let cells: Vec<_> = cells
        .map(|(cell, &width)| format!("{cell:<width$}"))
        .collect();
    cells.join("  ").trim_end().to_owned()
}
