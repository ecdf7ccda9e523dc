//! The operators' tuning file.

use ladderroute::settings::Tuning;

#[test]
fn operator_settings_are_merged_and_validated() {
    assert_eq!(Tuning::parse("", "f").unwrap(), Tuning::default());
    let tuning = Tuning::parse("# comment\nhold_s: 4.5\nkeep_boots: 3", "f").unwrap();
    assert_eq!(
        (tuning.reservation_s, tuning.idle_retention_boots),
        (4.5, 3.0)
    );
    assert_eq!(tuning.max_wait_share, Tuning::default().max_wait_share);
    let error = |text: &str| Tuning::parse(text, "f").unwrap_err().to_string();
    assert!(error("hold_s: 0").starts_with("hold_s: must lie between"));
    assert!(error("hold: 3").contains("hold"), "{}", error("hold: 3"));
    assert!(error("hold_s: \"x\"").contains("f:"));
}
