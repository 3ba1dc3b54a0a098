//! What curve goes through measured points: a line, a parabola, or nothing that may be said.
//!
//! Least squares, first of degree one, then of degree two. A parabola always lies closer to the points than a line; it is
//! believed only where an F test says, at one in a hundred, that noise would not explain how much closer. Points that
//! neither describes, or too few of them, are `Unknown`: nothing may be extrapolated from them.

use std::fmt;

/// Distinct sizes below which nothing is said: a parabola goes through any three points, so that four are the fewest
/// that can contradict one.
pub const FEWEST_SIZES: usize = 4;
/// The largest residual error, as a share of the largest value, at which a curve still describes its points.
pub const WIDEST: f64 = 0.10;
/// How much of the largest value a parabola's bend must make up: less is a line to whoever plans by it.
const SLIGHTEST_BEND: f64 = 0.03;
/// The F distribution's 99% quantiles with 1 and `index + 1` degrees of freedom, from common tables; the last holds for
/// all that follow, which errs on the side of the line.
const F_99: [f64; 10] = [4052.0, 98.5, 34.1, 21.2, 16.3, 13.7, 12.2, 11.3, 10.6, 10.0];

/// Which curve describes the points.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A line.
    Linear,
    /// A parabola that bends upwards.
    Quadratic,
    /// Neither, or too few points, or a bend downwards, which may not be carried on.
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

/// A line through points, with its errors.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// The value at size 0.
    pub intercept: f64,
    /// What one more costs.
    pub slope: f64,
    /// The slope's standard error.
    pub slope_error: f64,
    /// The residual standard error, in the values' unit.
    pub residual: f64,
    count: f64,
    mean: f64,
    spread: f64,
}

/// A parabola through points: `constant + linear x + square x^2`.
#[derive(Clone, Copy, Debug)]
pub struct Parabola {
    /// The value at size 0.
    pub constant: f64,
    /// The coefficient of the size.
    pub linear: f64,
    /// The coefficient of its square.
    pub square: f64,
    /// The residual standard error, in the values' unit.
    pub residual: f64,
}

/// Both curves through the points, and which of them describes these.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// What may be said.
    pub shape: Shape,
    /// The line.
    pub line: Line,
    /// The parabola, where there are enough points for one.
    pub parabola: Option<Parabola>,
}

impl Fit {
    /// Fits points of (size, value); nothing for fewer than two sizes, or values that are no numbers.
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
            Some(parabola) if sizes.len() >= FEWEST_SIZES => judge(points, &line, &parabola),
            _ => Shape::Unknown,
        };
        Some(Fit {
            shape,
            line,
            parabola,
        })
    }

    /// The value at a size by the curve that was chosen, and its standard error; nothing where none was.
    ///
    /// The error is that of the fit alone: it knows nothing of what may happen beyond the sizes measured, and is somewhat
    /// too small where noise grows with the size.
    pub fn at(&self, size: f64) -> Option<(f64, f64)> {
        match (self.shape, self.parabola) {
            (Shape::Linear, _) => Some((self.line.at(size), self.line.error_at(size))),
            (Shape::Quadratic, Some(parabola)) => Some((parabola.at(size), parabola.residual)),
            _ => None,
        }
    }
}

fn judge(points: &[(f64, f64)], line: &Line, parabola: &Parabola) -> Shape {
    let count = points.len();
    let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
    let furthest = points.iter().map(|point| point.0.abs()).fold(0.0, f64::max);
    let describes = |residual: f64| residual <= WIDEST * largest;
    let freedom = (count - 3) as f64;
    let (squares_line, squares_bent) = (
        line.residual.powi(2) * (freedom + 1.0),
        parabola.residual.powi(2) * freedom,
    );
    // Points that lie on a parabola but for rounding leave nothing to divide by.
    let gained =
        (squares_line - squares_bent) / (squares_bent / freedom).max((1e-9 * largest).powi(2));
    let bends = gained > F_99[(count - 4).min(F_99.len() - 1)]
        && (parabola.square * furthest.powi(2)).abs() > SLIGHTEST_BEND * largest;
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
        let level = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let slope = points
            .iter()
            .map(|point| (point.0 - mean) * (point.1 - level))
            .sum::<f64>()
            / spread;
        let intercept = level - slope * mean;
        let squares: f64 = points
            .iter()
            .map(|point| (point.1 - intercept - slope * point.0).powi(2))
            .sum();
        // A line through two points has no error that could be known.
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
    /// Solves the normal equations in sizes scaled to 1, so that their fourth powers stay within a float's digits.
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
        let whole = determinant(&rows);
        if whole.abs() < 1e-12 {
            return None;
        }
        // Cramer's rule: three unknowns are few enough.
        let solved: [f64; 3] = std::array::from_fn(|unknown| {
            let mut replaced = rows;
            for (row, value) in replaced.iter_mut().zip(values) {
                row[unknown] = value;
            }
            determinant(&replaced) / whole
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
