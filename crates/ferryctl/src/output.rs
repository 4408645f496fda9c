//! Prints results as tables for people or as JSON for programs.

use serde_json::Value;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    Table,
    Json,
}

impl Format {
    pub fn new(json: bool) -> Format {
        if json { Format::Json } else { Format::Table }
    }
}

/// Prints a value as indented JSON.
pub fn print_json(value: &Value) -> Result<(), serde_json::Error> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Prints a table; each column is as wide as its longest cell.
pub fn print_table(titles: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|it| it.get(column)).map(String::len);
        cells.chain([titles[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..titles.len()).map(width).collect();
    let print = |cells: Vec<&str>| {
        let line: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}", width = *width))
            .collect();
        println!("{}", line.join("  ").trim_end());
    };
    print(titles.to_vec());
    for row in rows {
        print(row.iter().map(String::as_str).collect());
    }
}

/// Returns the text of a cell: strings without quotes, anything else as JSON.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Compares two values line by line; returns no lines if they are equal.
pub fn diff(old: Option<&Value>, new: Option<&Value>) -> Result<Vec<String>, serde_json::Error> {
    let lines = |value: Option<&Value>| -> Result<Vec<String>, serde_json::Error> {
        let Some(value) = value else { return Ok(Vec::new()) };
        Ok(serde_json::to_string_pretty(value)?.lines().map(str::to_owned).collect())
    };
    let (old, new) = (lines(old)?, lines(new)?);
    if old == new {
        return Ok(Vec::new());
    }
    Ok(merge(&old, &new))
}

/// Merges both texts along their longest common subsequence.
fn merge(old: &[String], new: &[String]) -> Vec<String> {
    let mut lengths = vec![vec![0_u32; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i][j] = match old[i] == new[j] {
                true => lengths[i + 1][j + 1] + 1,
                false => lengths[i + 1][j].max(lengths[i][j + 1]),
            };
        }
    }
    let (mut i, mut j) = (0, 0);
    let mut merged = Vec::new();
    while i < old.len() || j < new.len() {
        if i < old.len() && j < new.len() && old[i] == new[j] {
            merged.push(format!("  {}", old[i]));
            (i, j) = (i + 1, j + 1);
        } else if j == new.len() || (i < old.len() && lengths[i][j + 1] <= lengths[i + 1][j]) {
            merged.push(format!("- {}", old[i]));
            i += 1;
        } else {
            merged.push(format!("+ {}", new[j]));
            j += 1;
        }
    }
    merged
}
