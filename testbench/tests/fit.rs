//! Fits of known curves: what is called linear, quadratic and unknown, and with which error.

use asterreel_testbench::fit::{Fit, Shape, MIN_SIZES};

const SIZES: [f64; 7] = [0.0, 500.0, 1_000.0, 2_000.0, 3_000.0, 4_000.0, 4_800.0];

fn points(mut of: impl FnMut(f64) -> f64) -> Vec<(f64, f64)> {
    SIZES.iter().map(|size| (*size, of(*size))).collect()
}

/// Points with noise of this share of each value, drawn from a seed.
fn noisy(share: f64, seed: u64, of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    let mut random = fastrand::Rng::with_seed(seed);
    points(|size| of(size) * (1.0 + share * (2.0 * random.f64() - 1.0)))
}

fn fit(points: &[(f64, f64)]) -> Fit {
    Fit::of(points).expect("these points can be fitted")
}

#[test]
fn a_line_is_found_exactly() {
    let fit = fit(&points(|size| 1_000.0 + 12.5 * size));
    assert_eq!(fit.shape, Shape::Linear);
    assert!((fit.line.slope - 12.5).abs() < 1e-9, "{fit:?}");
    assert!((fit.line.intercept - 1_000.0).abs() < 1e-6, "{fit:?}");
    let (value, error) = fit.at(8_300.0).expect("a line can be carried on");
    assert!(
        (value - 104_750.0).abs() < 1e-5 && error < 1e-5,
        "{value} {error}"
    );
}

#[test]
fn a_parabola_is_found_exactly() {
    let fit = fit(&points(|size| 40.0 + 0.5 * size + 0.002 * size * size));
    assert_eq!(fit.shape, Shape::Quadratic);
    let parabola = fit.parabola.expect("there are enough sizes");
    assert!((parabola.square - 0.002).abs() < 1e-9, "{fit:?}");
    assert!((parabola.linear - 0.5).abs() < 1e-6, "{fit:?}");
    let (value, _) = fit.at(8_300.0).expect("a parabola can be carried on");
    assert!((value - 141_970.0).abs() < 1e-3, "{value}");
}

#[test]
fn noise_makes_no_parabola_of_a_line() {
    let wrong = (0..500).filter(|seed| {
        fit(&noisy(0.04, *seed, |size| 1_000.0 + 12.5 * size)).shape != Shape::Linear
    });
    // The test errs once in a hundred by its own choice; noise that grows with the value a little oftener.
    let wrong = wrong.count();
    assert!(wrong <= 15, "{wrong} of 500");
}

#[test]
fn noise_hides_no_parabola() {
    let of = |size: f64| 40.0 + 0.5 * size + 0.002 * size * size;
    let missed = (0..500)
        .filter(|seed| fit(&noisy(0.04, *seed, of)).shape != Shape::Quadratic)
        .count();
    assert!(missed <= 15, "{missed} of 500");
}

/// How many of 500 fits to a line have the truth at the planned size within 2.57 standard errors, which by Student's
/// distribution holds 95% with five degrees of freedom.
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
fn the_errors_cover_the_truth_where_noise_is_the_same_at_all_sizes() {
    let near = covered(|_, random| 1_000.0 * (2.0 * random.f64() - 1.0));
    assert!((460..=490).contains(&near), "{near} of 500");
}

#[test]
fn the_errors_are_somewhat_small_where_noise_grows_with_the_size() {
    let near = covered(|value, random| 0.04 * value * (2.0 * random.f64() - 1.0));
    assert!((400..475).contains(&near), "{near} of 500");
}

#[test]
fn a_value_that_stays_is_a_line_without_slope() {
    let fit = fit(&noisy(0.02, 7, |_| 160.0));
    assert_eq!(fit.shape, Shape::Linear);
    assert!(fit.line.slope.abs() < 3.0 * fit.line.slope_error, "{fit:?}");
}

#[test]
fn a_bend_downwards_is_unknown() {
    let fit = fit(&points(|size| if size < 2_500.0 { size } else { 2_500.0 }));
    assert_eq!(fit.shape, Shape::Unknown);
    assert!(fit.at(8_300.0).is_none());
}

#[test]
fn what_jumps_about_is_unknown() {
    let mut random = fastrand::Rng::with_seed(3);
    let fit = fit(&points(|_| random.f64()));
    assert_eq!(fit.shape, Shape::Unknown);
}

#[test]
fn too_few_sizes_are_unknown() {
    for sizes in 2..MIN_SIZES {
        let few: Vec<(f64, f64)> = points(|size| 3.0 * size).into_iter().take(sizes).collect();
        assert_eq!(fit(&few).shape, Shape::Unknown, "{sizes} sizes");
        // Runs repeated at the same sizes tell nothing of what lies between.
        let again: Vec<(f64, f64)> = few.iter().chain(&few).chain(&few).copied().collect();
        assert_eq!(fit(&again).shape, Shape::Unknown, "{sizes} sizes, repeated");
    }
    assert!(Fit::of(&[]).is_none());
    assert!(Fit::of(&[(1.0, 2.0)]).is_none());
    assert!(
        Fit::of(&[(1.0, 2.0), (1.0, 3.0)]).is_none(),
        "one size has no slope"
    );
}

#[test]
fn what_is_no_number_is_not_fitted() {
    let mut bad = points(|size| size);
    bad[3].1 = f64::NAN;
    assert!(Fit::of(&bad).is_none());
}
