//! What each further gateway adds to each figure of a role, from the tables of all sizes.

use super::table::{rounded, Change, Load, ROLES, START};
use crate::fit::Fit;
use serde::Serialize;
use std::path::Path;

/// A figure of a role as a straight line over the fleet's size, fitted by least squares.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// See [`Load`].
    pub event: String,
    /// See [`Load`].
    pub role: String,
    /// See [`Load`].
    pub of: String,
    /// Which figure, by its column's name.
    pub figure: String,
    /// Sizes that it was measured at.
    pub sizes: usize,
    /// `linear`, `quadratic` or `unknown`: what describes the figure, as [`crate::fit`] judges it.
    pub shape: String,
    /// What each further gateway adds.
    pub per_gateway: f64,
    /// The standard error of that.
    pub error: f64,
    /// What a fleet of no gateways would have.
    pub at_zero: f64,
    /// How far the figure lies from the line: the residual standard error, in the figure's unit.
    pub residual: f64,
    /// The share of the figure's variance that the line explains; 1 is all, also of a figure that never varies.
    pub r_squared: f64,
}

/// A figure of a row, by its column's name.
type Figure = (&'static str, fn(&Load) -> Option<f64>);

/// The figures that slopes are fitted to.
const FIGURES: [Figure; 13] = [
    ("cpu_percent", |row| Some(row.cpu_percent)),
    ("messages_in_s", |row| row.messages_in_s),
    ("messages_out_s", |row| row.messages_out_s),
    ("bytes_in_s", |row| row.bytes_in_s),
    ("bytes_out_s", |row| row.bytes_out_s),
    ("member_messages_in_s", |row| row.member_messages_in_s),
    ("member_messages_out_s", |row| row.member_messages_out_s),
    ("member_bytes_in_s", |row| row.member_bytes_in_s),
    ("member_bytes_out_s", |row| row.member_bytes_out_s),
    ("memory_kib", |row| Some(row.memory_kib)),
    ("descriptors", |row| Some(row.descriptors)),
    ("connections", |row| Some(row.connections)),
    ("disk_bytes_s", |row| Some(row.disk_bytes_s)),
];

/// Fits each figure of each role during an event over the sizes at which all gateways came to act, by the tables of loads
/// and changes, and writes what was found, if anything.
///
/// # Errors
///
/// Tables that can't be read or written.
pub fn write(loads: &Path, changes: &Path, slopes: &Path, event: &str) -> anyhow::Result<()> {
    let mut rows = csv::Reader::from_path(loads)?
        .into_deserialize()
        .collect::<Result<Vec<Load>, _>>()?;
    let started = csv::Reader::from_path(changes)?
        .into_deserialize()
        .collect::<Result<Vec<Change>, _>>()?;
    let agreed = |row: &&Change| row.event == START && row.reached == row.awaited;
    let agreed: Vec<u32> = started
        .iter()
        .filter(agreed)
        .map(|row| row.gateways)
        .collect();
    rows.retain(|row| agreed.contains(&row.gateways) && row.event == event);
    if rows.is_empty() {
        return Ok(());
    }
    let mut out = csv::Writer::from_path(slopes)?;
    for (role, of) in ROLES {
        let of_role: Vec<&Load> = rows
            .iter()
            .filter(|row| row.role == role && row.of == of)
            .collect();
        for figure in FIGURES {
            if let Some(slope) = slope(&of_role, figure) {
                out.serialize(slope)?;
            }
        }
    }
    Ok(out.flush()?)
}

/// The slope of a figure through the rows of one role; nothing for fewer than two sizes that have it.
fn slope(rows: &[&Load], (figure, value): Figure) -> Option<Slope> {
    let points = rows
        .iter()
        .filter_map(|row| Some((f64::from(row.gateways), value(row)?)));
    let points: Vec<(f64, f64)> = points.collect();
    let fit = Fit::of(&points)?;
    let first = rows.first()?;
    Some(Slope {
        event: first.event.clone(),
        role: first.role.clone(),
        of: first.of.clone(),
        figure: figure.to_owned(),
        sizes: points.len(),
        shape: fit.shape.to_string(),
        per_gateway: finely_rounded(fit.line.slope),
        error: finely_rounded(fit.line.slope_error),
        at_zero: rounded(fit.line.intercept),
        residual: rounded(fit.line.residual),
        r_squared: rounded(explained(&points, &fit)),
    })
}

/// The share of the values' variance that the line explains.
fn explained(points: &[(f64, f64)], fit: &Fit) -> f64 {
    let mean = points.iter().map(|point| point.1).sum::<f64>() / points.len() as f64;
    let all: f64 = points.iter().map(|point| (point.1 - mean).powi(2)).sum();
    let left: f64 = points
        .iter()
        .map(|point| (point.1 - fit.line.at(point.0)).powi(2))
        .sum();
    if all > 0.0 {
        1.0 - left / all
    } else {
        1.0
    }
}

/// What one gateway adds may be little.
fn finely_rounded(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}
