//! A short soak test of real hosts with fixed seeds; `platform/standin` has the long one.

use std::path::Path;

use platform_standin::{SoakPlan, soak};
use rstest::rstest;

/// What a soak test has in addition to the usual faults.
#[derive(Debug, PartialEq)]
enum Extra {
    None,
    Limits,
    UndisturbedHost,
    Crashes,
    Cuts,
    SpoiledAnswers,
}

/// Seeds that failed once are kept here, each with its cause.
#[rstest]
#[case::short(1, Extra::None)]
// The first fault keeps one host from writing its row in the store. This host counts itself and
// the others, which do not count it, so that the shares of an allowance add up to more than the
// whole.
#[case::a_host_that_is_not_listed(1023, Extra::None)]
#[case::limits(2, Extra::Limits)]
#[case::an_undisturbed_host(3, Extra::UndisturbedHost)]
#[case::crashing_requests(4, Extra::Crashes)]
#[case::hosts_cut_off_from_upstreams(5, Extra::Cuts)]
#[case::spoiled_answers(6, Extra::SpoiledAnswers)]
#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_faults(#[case] seed: u64, #[case] extra: Extra) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    std::fs::create_dir_all(&folder).unwrap();
    let plan = SoakPlan {
        stagedeck: env!("CARGO_BIN_EXE_stagedeck").into(),
        folder,
        seed,
        steps: 25,
        limits: extra == Extra::Limits,
        crashes: extra == Extra::Crashes,
        cuts: extra == Extra::Cuts,
        spoiled_answers: extra == Extra::SpoiledAnswers,
        undisturbed_host: extra == Extra::UndisturbedHost,
    };
    let report = soak(&plan).await.unwrap();
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.answered > 0, "{report:#?}");
}
