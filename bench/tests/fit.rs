//! Least-squares fit of a line, and its standard error.

use cuminspread_bench::slopes::fit::Fit;

const TOLERANCE: f64 = 1e-9;

struct Case {
    points: &'static [(f64, f64)],
    /// Base, slope and standard error of the slope; `None` if no line can be fitted.
    expected: Option<[f64; 3]>,
}

#[test]
fn fits_match_expected_lines() {
    let cases = [
        Case {
            points: &[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0), (3.0, 7.0)],
            expected: Some([1.0, 2.0, 0.0]),
        },
        Case {
            points: &[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)],
            expected: Some([0.3, 0.8, 0.3_f64.sqrt() * 0.6_f64.sqrt()]),
        },
        Case {
            points: &[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)],
            expected: None,
        },
        Case {
            points: &[(1.0, 1.0), (2.0, 2.0)],
            expected: None,
        },
    ];
    for case in cases {
        let fit = Fit::of(case.points).map(|f| [f.base, f.slope, f.slope_error]);
        match (fit, case.expected) {
            (Some(fit), Some(expected)) => {
                let equal = fit
                    .iter()
                    .zip(expected)
                    .all(|(a, b)| (a - b).abs() < TOLERANCE);
                assert!(equal, "fitted {fit:?}, expected {expected:?}");
            }
            (fit, expected) => assert_eq!(fit, expected),
        }
    }
}
