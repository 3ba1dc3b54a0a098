//! Fits of known curves: which shape is found, and with which error.

use asterreel_testbench::fit::{Fit, Shape, MIN_SIZES};

const SIZES: [f64; 7] = [0.0, 500.0, 1_000.0, 2_000.0, 3_000.0, 4_000.0, 4_800.0];

fn points(mut of: impl FnMut(f64) -> f64) -> Vec<(f64, f64)> {
    SIZES.iter().map(|size| (*size, of(*size))).collect()
}

/// Points with uniform noise of up to `share` of each value, from a seed.
fn noisy(share: f64, seed: u64, of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    let mut random = fastrand::Rng::with_seed(seed);
    points(|size| of(size) * (1.0 + share * (2.0 * random.f64() - 1.0)))
}

fn fit(points: &[(f64, f64)]) -> Fit {
    Fit::of(points).expect("these points can be fitted")
}

#[test]
fn line_is_found_exactly() {
    let fit = fit(&points(|size| 1_000.0 + 12.5 * size));
    assert_eq!(fit.shape, Shape::Linear);
    assert!((fit.line.slope - 12.5).abs() < 1e-9, "{fit:?}");
    assert!((fit.line.intercept - 1_000.0).abs() < 1e-6, "{fit:?}");
    let (value, error) = fit.at(8_300.0).expect("a line can be extrapolated");
    assert!(
        (value - 104_750.0).abs() < 1e-5 && error < 1e-5,
        "{value} {error}"
    );
}

#[test]
fn parabola_is_found_exactly() {
    let fit = fit(&points(|size| 40.0 + 0.5 * size + 0.002 * size * size));
    assert_eq!(fit.shape, Shape::Quadratic);
    let parabola = fit.parabola.expect("there are enough sizes");
    assert!((parabola.square - 0.002).abs() < 1e-9, "{fit:?}");
    assert!((parabola.linear - 0.5).abs() < 1e-6, "{fit:?}");
    let (value, _) = fit.at(8_300.0).expect("a parabola can be extrapolated");
    assert!((value - 141_970.0).abs() < 1e-3, "{value}");
}

#[test]
fn noisy_line_is_not_taken_for_a_parabola() {
    let wrong = (0..500).filter(|seed| {
        fit(&noisy(0.04, *seed, |size| 1_000.0 + 12.5 * size)).shape != Shape::Linear
    });
    // The F test is wrong in 1% of cases by its level, and slightly more often if the noise grows with the value.
    let wrong = wrong.count();
    assert!(wrong <= 15, "{wrong} of 500");
}

#[test]
fn noisy_parabola_is_found() {
    let of = |size: f64| 40.0 + 0.5 * size + 0.002 * size * size;
    let missed = (0..500)
        .filter(|seed| fit(&noisy(0.04, *seed, of)).shape != Shape::Quadratic)
        .count();
    assert!(missed <= 15, "{missed} of 500");
}

/// The number of 500 fits to a line whose value at the planned size is within 2.57 standard errors of the true one.
/// With five degrees of freedom, Student's t distribution puts 95% of them there.
fn covered(noise: impl Fn(f64, &mut fastrand::Rng) -> f64) -> usize {
    let truth = 1_000.0 + 12.5 * 8_300.0;
    let near = |seed: &u64| {
        let mut random = fastrand::Rng::with_seed(*seed);
        let fit = fit(&points(|size| {
            let value = 1_000.0 + 12.5 * size;
            value + noise(value, &mut random)
        }));
        (fit.line.at(8_300.0) - truth).abs() <= 2.57 * fit.line.error_at(8_300.0)
    };
    (0..500).filter(near).count()
}

#[test]
fn errors_cover_the_true_value_if_noise_is_constant() {
    let near = covered(|_, random| 1_000.0 * (2.0 * random.f64() - 1.0));
    assert!((460..=490).contains(&near), "{near} of 500");
}

#[test]
fn errors_are_too_small_if_noise_grows_with_the_size() {
    let near = covered(|value, random| 0.04 * value * (2.0 * random.f64() - 1.0));
    assert!((400..475).contains(&near), "{near} of 500");
}

#[test]
fn constant_value_is_a_line_without_slope() {
    let fit = fit(&noisy(0.02, 7, |_| 160.0));
    assert_eq!(fit.shape, Shape::Linear);
    assert!(fit.line.slope.abs() < 3.0 * fit.line.slope_error, "{fit:?}");
}

#[test]
fn downward_bend_is_unknown() {
    let fit = fit(&points(|size| if size < 2_500.0 { size } else { 2_500.0 }));
    assert_eq!(fit.shape, Shape::Unknown);
    assert!(fit.at(8_300.0).is_none());
}

#[test]
fn random_values_are_unknown() {
    let mut random = fastrand::Rng::with_seed(3);
    let fit = fit(&points(|_| random.f64()));
    assert_eq!(fit.shape, Shape::Unknown);
}

#[test]
fn too_few_sizes_are_unknown() {
    for sizes in 2..MIN_SIZES {
        let few: Vec<(f64, f64)> = points(|size| 3.0 * size).into_iter().take(sizes).collect();
        assert_eq!(fit(&few).shape, Shape::Unknown, "{sizes} sizes");
        // Repeated measurements at the same sizes do not add distinct sizes.
        let repeated: Vec<(f64, f64)> = few.iter().chain(&few).chain(&few).copied().collect();
        assert_eq!(
            fit(&repeated).shape,
            Shape::Unknown,
            "{sizes} sizes, repeated"
        );
    }
    assert!(Fit::of(&[]).is_none());
    assert!(Fit::of(&[(1.0, 2.0)]).is_none());
    assert!(
        Fit::of(&[(1.0, 2.0), (1.0, 3.0)]).is_none(),
        "one size has no slope"
    );
}

#[test]
fn nan_values_are_not_fitted() {
    let mut with_nan = points(|size| size);
    with_nan[3].1 = f64::NAN;
    assert!(Fit::of(&with_nan).is_none());
}
