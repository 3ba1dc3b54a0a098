//! Fits each measured figure of a role over the size of the fleet, from the tables of all sizes.

use super::table::{rounded, Change, Load, ROLES, START};
use crate::fit::Fit;
use serde::Serialize;
use std::path::Path;

/// A row of the table: a figure of a role over the size of the fleet, as a straight line fitted by least squares.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// See [`Load::event`].
    pub event: String,
    /// See [`Load::role`].
    pub role: String,
    /// See [`Load::of`].
    pub of: String,
    /// The figure, by the name of its column in the table of loads.
    pub figure: String,
    /// Number of sizes at which it was measured.
    pub sizes: usize,
    /// The curve that describes the figure: `linear`, `quadratic` or `unknown`; see [`crate::fit::Shape`].
    pub shape: String,
    /// Increase of the figure per gateway.
    pub per_gateway: f64,
    /// The standard error of `per_gateway`.
    pub error: f64,
    /// The line's value at 0 gateways.
    pub at_zero: f64,
    /// The residual standard error of the line, in the figure's unit.
    pub residual: f64,
    /// The share of the figure's variance that the line explains, up to 1; also 1 for a constant figure.
    pub r_squared: f64,
}

/// The column name of a figure, and its value in a row.
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

/// Fits each figure of each role in an event over the size of the fleet, and writes the table `slopes`, unless there
/// are no rows. Uses only the sizes at which, by the table `changes`, all gateways acted on a first version.
///
/// # Errors
///
/// A table could not be read or written.
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

/// The slope of a figure over the rows of one role; none if fewer than two sizes have the figure.
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
        per_gateway: rounded_to_millionths(fit.line.slope),
        error: rounded_to_millionths(fit.line.slope_error),
        at_zero: rounded(fit.line.intercept),
        residual: rounded(fit.line.residual),
        r_squared: rounded(r_squared(&points, &fit)),
    })
}

/// The coefficient of determination of the line.
fn r_squared(points: &[(f64, f64)], fit: &Fit) -> f64 {
    let mean = points.iter().map(|point| point.1).sum::<f64>() / points.len() as f64;
    let total_squares: f64 = points.iter().map(|point| (point.1 - mean).powi(2)).sum();
    let residual_squares: f64 = points
        .iter()
        .map(|point| (point.1 - fit.line.at(point.0)).powi(2))
        .sum();
    if total_squares > 0.0 {
        1.0 - residual_squares / total_squares
    } else {
        1.0
    }
}

/// Rounds to six decimals, as the increase per gateway may be small.
fn rounded_to_millionths(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}
