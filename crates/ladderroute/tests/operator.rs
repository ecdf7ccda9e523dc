//! Operators' own settings.

use ladderroute::settings::Tuning;

#[test]
fn settings_replace_the_defaults_and_are_checked() {
    assert_eq!(Tuning::parse("", "f").unwrap(), Tuning::default());
    let t = Tuning::parse("# comment\nhold_s: 4.5\nkeep_boots: 3", "f").unwrap();
    assert_eq!((t.reservation_s, t.idle_retention_boots), (4.5, 3.0));
    assert_eq!(t.max_wait_share, Tuning::default().max_wait_share);
    let error = |text: &str| Tuning::parse(text, "f").unwrap_err().to_string();
    assert!(error("hold_s: 0").starts_with("hold_s: must lie between"));
    assert!(error("hold: 3").contains("hold"), "{}", error("hold: 3"));
    assert!(error("hold_s: \"x\"").contains("f:"));
}
