//! Points that were measured several times: their medians and spread, the curve through them, the files.

use super::Setting;
use crate::chart;
use crate::fit::{Fit, Shape};
use std::collections::BTreeMap;

/// A quantity that is measured at each size, and what becomes of it at the planned size.
pub(super) struct Quantity {
    /// Its name with its unit, as the table's column.
    pub name: &'static str,
    /// Whether a curve is fitted; otherwise it only explains the point.
    pub fitted: bool,
}

/// A fitted quantity.
pub(super) const fn fitted(name: &'static str) -> Quantity {
    Quantity { name, fitted: true }
}

/// One that only explains its point.
pub(super) const fn told(name: &'static str) -> Quantity {
    Quantity {
        name,
        fitted: false,
    }
}

/// The points of an experiment.
pub(super) struct Table {
    name: &'static str,
    size: &'static str,
    quantities: &'static [Quantity],
    /// By size: the runs, each with a value for every quantity.
    runs: BTreeMap<u64, Vec<Vec<f64>>>,
    /// Sizes that stay out of the fit, and why.
    aside: BTreeMap<u64, String>,
}

/// The middle value of several, the least and the greatest.
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
    /// An experiment's table: what its sizes are, and what is measured.
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
            aside: BTreeMap::new(),
        }
    }

    /// Measures all sizes in turn, as often as the setting says.
    pub(super) fn measure(
        &mut self,
        setting: &Setting,
        sizes: &[u64],
        mut run: impl FnMut(&mut Table, u64, u64) -> anyhow::Result<Vec<f64>>,
    ) -> anyhow::Result<()> {
        for repeat in 0..setting.repeats {
            for size in sizes {
                let values = run(self, *size, setting.seed + u64::from(repeat))?;
                let told: Vec<String> = self
                    .quantities
                    .iter()
                    .zip(&values)
                    .map(|(quantity, value)| format!("{} {value:.1}", quantity.name))
                    .collect();
                println!("{} {size} ({}): {}", self.size, repeat + 1, told.join(", "));
                self.runs.entry(*size).or_default().push(values);
            }
        }
        Ok(())
    }

    /// Something is different at this size, or broke there: the table says so, and no curve goes through the point.
    pub(super) fn aside(&mut self, size: u64, what: String) {
        self.aside.insert(size, what);
    }

    fn medians(&self, quantity: usize) -> Vec<(f64, f64)> {
        let whole = self
            .runs
            .iter()
            .filter(|(size, _)| !self.aside.contains_key(size));
        whole
            .map(|(size, runs)| {
                (
                    *size as f64,
                    spread(runs.iter().map(|run| run[quantity]).collect()).0,
                )
            })
            .collect()
    }

    /// Writes the points, the fits with their values at the planned size, and a chart of the first quantity.
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
                let remark = self.aside.get(size).map_or("", String::as_str);
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
            let bent = fit.parabola.map_or([f64::NAN; 4], |bent| {
                [bent.constant, bent.linear, bent.square, bent.residual]
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
            row.extend(bent.map(digits));
            row.push(planned.to_string());
            let (value, error) = there.unwrap_or((f64::NAN, f64::NAN));
            row.extend([value, error].map(digits));
            fits.write_record(&row)?;
            let by = match (fit.shape, fit.parabola) {
                (Shape::Quadratic, Some(bent)) => format!(
                    "{:.4} + {:.4} x + {:.3e} x^2, residual {:.3}",
                    bent.constant, bent.linear, bent.square, bent.residual
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
