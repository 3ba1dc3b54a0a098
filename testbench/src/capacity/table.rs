//! The table of an experiment: medians and ranges of repeated measurements, the fitted curves, and the files.

use super::Setting;
use crate::chart;
use crate::fit::{Fit, Shape};
use std::collections::BTreeMap;

/// A quantity that is measured at each size.
pub(super) struct Quantity {
    /// Its name with its unit, as in the column `quantity`.
    pub name: &'static str,
    /// Whether a curve is fitted to it; otherwise it is only in the table.
    pub fitted: bool,
}

/// A quantity to which a curve is fitted.
pub(super) const fn fitted(name: &'static str) -> Quantity {
    Quantity { name, fitted: true }
}

/// A quantity that is only in the table.
pub(super) const fn informational(name: &'static str) -> Quantity {
    Quantity {
        name,
        fitted: false,
    }
}

/// The measurements of an experiment.
pub(super) struct Table {
    name: &'static str,
    size: &'static str,
    quantities: &'static [Quantity],
    /// By size: the runs, each with one value per quantity.
    runs: BTreeMap<u64, Vec<Vec<f64>>>,
    /// Sizes that are excluded from the fits, with the reason.
    excluded: BTreeMap<u64, String>,
}

/// The median, the smallest and the largest value; NaN if there are none.
fn spread(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    let median = match values.len() % 2 {
        _ if values.is_empty() => f64::NAN,
        0 => (values[middle - 1] + values[middle]) / 2.0,
        _ => values[middle],
    };
    let ends = (values.first(), values.last());
    (
        median,
        *ends.0.unwrap_or(&f64::NAN),
        *ends.1.unwrap_or(&f64::NAN),
    )
}

impl Table {
    /// Creates a table: the name of the experiment, what its sizes count, and the quantities.
    pub(super) fn new(
        name: &'static str,
        size: &'static str,
        quantities: &'static [Quantity],
    ) -> Table {
        Table {
            name,
            size,
            quantities,
            runs: BTreeMap::new(),
            excluded: BTreeMap::new(),
        }
    }

    /// Measures all sizes one after another, and repeats that [`Setting::repeats`] times in total. `run` gets the size
    /// and a seed and returns one value per quantity.
    pub(super) fn measure(
        &mut self,
        setting: &Setting,
        sizes: &[u64],
        mut run: impl FnMut(&mut Table, u64, u64) -> anyhow::Result<Vec<f64>>,
    ) -> anyhow::Result<()> {
        for repeat in 0..setting.repeats {
            for size in sizes {
                let values = run(self, *size, setting.seed + u64::from(repeat))?;
                let values_text: Vec<String> = self
                    .quantities
                    .iter()
                    .zip(&values)
                    .map(|(quantity, value)| format!("{} {value:.1}", quantity.name))
                    .collect();
                println!(
                    "{} {size} ({}): {}",
                    self.size,
                    repeat + 1,
                    values_text.join(", ")
                );
                self.runs.entry(*size).or_default().push(values);
            }
        }
        Ok(())
    }

    /// Excludes a size from the fits; the reason is written to the table's column `remark`.
    pub(super) fn exclude(&mut self, size: u64, what: String) {
        self.excluded.insert(size, what);
    }

    fn medians(&self, quantity: usize) -> Vec<(f64, f64)> {
        let whole = self
            .runs
            .iter()
            .filter(|(size, _)| !self.excluded.contains_key(size));
        whole
            .map(|(size, runs)| {
                (
                    *size as f64,
                    spread(runs.iter().map(|run| run[quantity]).collect()).0,
                )
            })
            .collect()
    }

    /// Writes the measurements, the fits with their values at the planned size, and a chart of the first quantity.
    pub(super) fn write(&self, setting: &Setting, planned: f64) -> anyhow::Result<()> {
        let file = |ending: &str| setting.out.join(format!("capacity-{}{ending}", self.name));
        let mut table = csv::Writer::from_path(file(".csv"))?;
        table.write_record([
            self.size, "quantity", "median", "least", "most", "runs", "remark",
        ])?;
        for (size, runs) in &self.runs {
            for (number, quantity) in self.quantities.iter().enumerate() {
                let (median, least, most) = spread(runs.iter().map(|run| run[number]).collect());
                let [median, least, most] =
                    [median, least, most].map(|value| format!("{value:.2}"));
                let remark = self.excluded.get(size).map_or("", String::as_str);
                let (size, count) = (size.to_string(), runs.len().to_string());
                table.write_record([
                    &size,
                    quantity.name,
                    &median,
                    &least,
                    &most,
                    &count,
                    remark,
                ])?;
            }
        }
        table.flush()?;
        self.write_fits(setting, planned)?;
        let points = self.medians(0);
        chart::lines(
            &file(".svg"),
            &format!("{} against {}", self.quantities[0].name, self.size),
            (self.size, self.quantities[0].name),
            &[(self.name.to_owned(), points)],
        )
    }

    fn write_fits(&self, setting: &Setting, planned: f64) -> anyhow::Result<()> {
        let path = setting.out.join(format!("capacity-{}-fit.csv", self.name));
        let mut fits = csv::Writer::from_path(path)?;
        fits.write_record([
            "quantity",
            "from",
            "to",
            "shape",
            "intercept",
            "slope",
            "slope error",
            "residual",
            "quadratic constant",
            "quadratic linear",
            "quadratic square",
            "quadratic residual",
            "planned size",
            "there",
            "error there",
        ])?;
        let digits = |value: f64| {
            if value.is_finite() {
                format!("{value:.4e}")
            } else {
                String::new()
            }
        };
        for (number, quantity) in self
            .quantities
            .iter()
            .enumerate()
            .filter(|(_, quantity)| quantity.fitted)
        {
            let points = self.medians(number);
            let Some(fit) = Fit::of(&points) else {
                println!("{}: nothing can be fitted", quantity.name);
                continue;
            };
            let (line, there) = (fit.line, fit.at(planned));
            let parabola = fit.parabola.map_or([f64::NAN; 4], |parabola| {
                [
                    parabola.constant,
                    parabola.linear,
                    parabola.square,
                    parabola.residual,
                ]
            });
            let (from, to) = (
                points.first().map_or(0.0, |p| p.0),
                points.last().map_or(0.0, |p| p.0),
            );
            let mut row = vec![
                quantity.name.to_owned(),
                from.to_string(),
                to.to_string(),
                fit.shape.to_string(),
            ];
            row.extend([line.intercept, line.slope, line.slope_error, line.residual].map(digits));
            row.extend(parabola.map(digits));
            row.push(planned.to_string());
            let (value, error) = there.unwrap_or((f64::NAN, f64::NAN));
            row.extend([value, error].map(digits));
            fits.write_record(&row)?;
            let by = match (fit.shape, fit.parabola) {
                (Shape::Quadratic, Some(parabola)) => format!(
                    "{:.4} + {:.4} x + {:.3e} x^2, residual {:.3}",
                    parabola.constant, parabola.linear, parabola.square, parabola.residual
                ),
                _ => format!(
                    "{:.4} + {:.4} x (slope +- {:.4}), residual {:.3}",
                    line.intercept, line.slope, line.slope_error, line.residual
                ),
            };
            let there = there.map_or("not extrapolated".to_owned(), |(value, error)| {
                let beyond = if planned > to { ", extrapolated" } else { "" };
                format!("at {planned}: {value:.2} +- {error:.2}{beyond}")
            });
            println!(
                "fit {} [{from} to {to}]: {}: {by}; {there}",
                quantity.name, fit.shape
            );
        }
        fits.flush()?;
        Ok(())
    }
}
