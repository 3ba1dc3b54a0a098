//! Fits a line or a parabola to measured points.
//!
//! Least squares of degree one and of degree two. The residuals of a parabola are never larger than those of a line, so
//! it is chosen only if an F test at the 1% level says that noise does not explain the difference. Points that neither
//! curve describes, or too few points, are `Unknown`: nothing is extrapolated from them.

use std::fmt;

/// The number of distinct sizes below which the shape is `Unknown`. A parabola passes through any three points, so at
/// least four are needed to contradict one.
pub const MIN_SIZES: usize = 4;
/// The largest residual standard error, as a share of the largest value, at which a curve describes its points.
pub const MAX_RESIDUAL_SHARE: f64 = 0.10;
/// The smallest quadratic term at the largest size, as a share of the largest value, that counts as a parabola; a
/// smaller one makes no difference to capacity planning.
const MIN_QUADRATIC_SHARE: f64 = 0.03;
/// The 99% quantiles of the F distribution with 1 and `index + 1` degrees of freedom. The last is also used for more
/// degrees of freedom, where the true quantile is smaller; this favours the line.
const F_99: [f64; 10] = [4052.0, 98.5, 34.1, 21.2, 16.3, 13.7, 12.2, 11.3, 10.6, 10.0];

/// Which curve describes the points.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A line describes the points.
    Linear,
    /// A parabola that opens upwards describes the points.
    Quadratic,
    /// Neither curve describes the points, there are too few, or the parabola opens downwards, which can't be
    /// extrapolated.
    Unknown,
}

impl fmt::Display for Shape {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            Shape::Linear => "linear",
            Shape::Quadratic => "quadratic",
            Shape::Unknown => "unknown",
        })
    }
}

/// A fitted line with its standard errors.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// The value at size 0.
    pub intercept: f64,
    /// The increase of the value per unit of size.
    pub slope: f64,
    /// The slope's standard error.
    pub slope_error: f64,
    /// The residual standard error, in the values' unit.
    pub residual: f64,
    count: f64,
    mean: f64,
    spread: f64,
}

/// A fitted parabola: `constant + linear x + square x^2`.
#[derive(Clone, Copy, Debug)]
pub struct Parabola {
    /// The value at size 0.
    pub constant: f64,
    /// The coefficient of the size.
    pub linear: f64,
    /// The coefficient of the size's square.
    pub square: f64,
    /// The residual standard error, in the values' unit.
    pub residual: f64,
}

/// Both fitted curves, and which of them describes the points.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// The curve that describes the points.
    pub shape: Shape,
    /// The line fitted by least squares.
    pub line: Line,
    /// The fitted parabola; none for fewer than three distinct sizes, or if the equations have no stable solution.
    pub parabola: Option<Parabola>,
}

impl Fit {
    /// Fits points of (size, value). Returns none for fewer than two distinct sizes, or if a number is not finite.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        if points
            .iter()
            .any(|(size, value)| !size.is_finite() || !value.is_finite())
        {
            return None;
        }
        let line = Line::through(points)?;
        let mut sizes: Vec<f64> = points.iter().map(|point| point.0).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        let parabola = if sizes.len() >= 3 {
            Parabola::through(points)
        } else {
            None
        };
        let shape = match parabola {
            Some(parabola) if sizes.len() >= MIN_SIZES => choose_shape(points, &line, &parabola),
            _ => Shape::Unknown,
        };
        Some(Fit {
            shape,
            line,
            parabola,
        })
    }

    /// The value at a size by the chosen curve, and its standard error; none if the shape is `Unknown`.
    ///
    /// The error covers only the fit. It does not cover other effects outside the measured sizes, and it is somewhat
    /// too small if the noise grows with the size.
    pub fn at(&self, size: f64) -> Option<(f64, f64)> {
        match (self.shape, self.parabola) {
            (Shape::Linear, _) => Some((self.line.at(size), self.line.error_at(size))),
            (Shape::Quadratic, Some(parabola)) => Some((parabola.at(size), parabola.residual)),
            _ => None,
        }
    }
}

fn choose_shape(points: &[(f64, f64)], line: &Line, parabola: &Parabola) -> Shape {
    let count = points.len();
    let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
    let largest_size = points.iter().map(|point| point.0.abs()).fold(0.0, f64::max);
    let describes = |residual: f64| residual <= MAX_RESIDUAL_SHARE * largest;
    let freedom = (count - 3) as f64;
    let (squares_line, squares_parabola) = (
        line.residual.powi(2) * (freedom + 1.0),
        parabola.residual.powi(2) * freedom,
    );
    // The lower bound avoids a division by almost zero when only rounding errors separate the points from a parabola.
    let f_statistic = (squares_line - squares_parabola)
        / (squares_parabola / freedom).max((1e-9 * largest).powi(2));
    let bends = f_statistic > F_99[(count - 4).min(F_99.len() - 1)]
        && (parabola.square * largest_size.powi(2)).abs() > MIN_QUADRATIC_SHARE * largest;
    match bends {
        true if parabola.square > 0.0 && describes(parabola.residual) => Shape::Quadratic,
        false if describes(line.residual) => Shape::Linear,
        _ => Shape::Unknown,
    }
}

impl Line {
    fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let slope = points
            .iter()
            .map(|point| (point.0 - mean) * (point.1 - mean_value))
            .sum::<f64>()
            / spread;
        let intercept = mean_value - slope * mean;
        let squares: f64 = points
            .iter()
            .map(|point| (point.1 - intercept - slope * point.0).powi(2))
            .sum();
        // The residual error of a line through two points is undefined.
        let residual = if points.len() > 2 {
            (squares / (count - 2.0)).sqrt()
        } else {
            f64::NAN
        };
        let slope_error = residual / spread.sqrt();
        Some(Line {
            intercept,
            slope,
            slope_error,
            residual,
            count,
            mean,
            spread,
        })
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// The standard error of that value.
    pub fn error_at(&self, size: f64) -> f64 {
        self.residual * (1.0 / self.count + (size - self.mean).powi(2) / self.spread).sqrt()
    }
}

impl Parabola {
    /// Solves the normal equations with sizes scaled to at most 1, as fourth powers of unscaled sizes lose precision.
    fn through(points: &[(f64, f64)]) -> Option<Parabola> {
        let scale = points.iter().map(|point| point.0.abs()).fold(0.0, f64::max);
        if scale <= 0.0 {
            return None;
        }
        let (mut powers, mut values) = ([0.0; 5], [0.0; 3]);
        for (size, value) in points {
            let mut power = 1.0;
            for exponent in 0..5 {
                powers[exponent] += power;
                if exponent < 3 {
                    values[exponent] += power * value;
                }
                power *= size / scale;
            }
        }
        let rows: [[f64; 3]; 3] =
            std::array::from_fn(|row| std::array::from_fn(|column| powers[row + column]));
        let denominator = determinant(&rows);
        if denominator.abs() < 1e-12 {
            return None;
        }
        // Cramer's rule is precise enough for three unknowns.
        let solved: [f64; 3] = std::array::from_fn(|unknown| {
            let mut replaced = rows;
            for (row, value) in replaced.iter_mut().zip(values) {
                row[unknown] = value;
            }
            determinant(&replaced) / denominator
        });
        let mut parabola = Parabola {
            constant: solved[0],
            linear: solved[1] / scale,
            square: solved[2] / scale.powi(2),
            residual: f64::NAN,
        };
        if points.len() > 3 {
            let squares: f64 = points
                .iter()
                .map(|point| (point.1 - parabola.at(point.0)).powi(2))
                .sum();
            parabola.residual = (squares / (points.len() - 3) as f64).sqrt();
        }
        Some(parabola)
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.constant + self.linear * size + self.square * size * size
    }
}

fn determinant(of: &[[f64; 3]; 3]) -> f64 {
    let [a, b, c] = of;
    a[0] * (b[1] * c[2] - b[2] * c[1]) - a[1] * (b[0] * c[2] - b[2] * c[0])
        + a[2] * (b[0] * c[1] - b[1] * c[0])
}
