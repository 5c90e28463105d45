//! Short runs of both shops under random faults violate no invariant.

use std::time::Duration;

use cuminspread_bench::shop::{CASCADE, Shop, VESTFJORD};
use cuminspread_bench::soak::{SoakSettings, soak};
use futures_util::future::join_all;

struct Case {
    shop: Shop,
    seed: u64,
}

#[tokio::test(flavor = "multi_thread")]
async fn short_runs_violate_no_invariant() {
    let cases = [
        Case {
            shop: VESTFJORD,
            seed: 4,
        },
        Case {
            shop: CASCADE,
            seed: 8,
        },
    ];
    let runs = cases.map(|case| async move {
        let settings = SoakSettings {
            shop: case.shop,
            seed: case.seed,
            duration: Duration::from_secs(4),
            rate: 100.0,
        };
        let report = soak(&settings).await.expect("deployment starts").report;
        assert!(report.passed(), "{:?}", report.details);
        assert!(report.calls > 0 && !report.faults.is_empty());
    });
    join_all(runs).await;
}
