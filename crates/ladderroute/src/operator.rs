//! Operators' own settings: protobuf text format, optional, all with defaults, all checked.

use crate::settings::SettingsError;
use prost_reflect::{DescriptorPool, DynamicMessage};

const DESCRIPTION: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));

/// Values that operators may tune.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// How long reserved capacity waits for the rest of its gang, in seconds.
    pub reservation_s: f64,
    /// The leader's store lease as a part of the workers' lease.
    pub leader_lease_share: f64,
    /// How long an idle machine is kept, in boot times.
    pub idle_retention_boots: f64,
    /// Part of a gang's wait objective that it may wait for a machine in use.
    pub max_wait_share: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            reservation_s: 10.0,
            leader_lease_share: 0.36,
            idle_retention_boots: 0.8,
            max_wait_share: 0.3,
        }
    }
}

impl Tuning {
    pub fn load(file: &str) -> Result<Tuning, SettingsError> {
        let text = std::fs::read_to_string(file).map_err(|cause| SettingsError::Read {
            file: file.into(),
            cause,
        })?;
        Tuning::parse(&text, file)
    }

    pub fn parse(text: &str, file: &str) -> Result<Tuning, SettingsError> {
        let fail = |cause: String| SettingsError::Parse {
            file: file.into(),
            cause,
        };
        let pool = DescriptorPool::decode(DESCRIPTION).map_err(|e| fail(e.to_string()))?;
        let kind = pool
            .get_message_by_name("ladderroute.Operator")
            .ok_or_else(|| fail("no description of the settings".into()))?;
        let message =
            DynamicMessage::parse_text_format(kind, text).map_err(|e| fail(e.to_string()))?;
        let mut t = Tuning::default();
        for (name, value, low, high) in [
            ("hold_s", &mut t.reservation_s, 0.5, 600.0),
            ("leader_lease_share", &mut t.leader_lease_share, 0.05, 0.8),
            ("keep_boots", &mut t.idle_retention_boots, 0.0, 1000.0),
            ("patience", &mut t.max_wait_share, 0.0, 1.0),
        ] {
            if !message.has_field_by_name(name) {
                continue;
            }
            let parsed = message
                .get_field_by_name(name)
                .and_then(|v| v.as_f64())
                .unwrap_or(f64::NAN);
            if !(low..=high).contains(&parsed) {
                return Err(SettingsError::Field {
                    field: name.into(),
                    cause: format!("must lie between {low} and {high}"),
                });
            }
            *value = parsed;
        }
        Ok(t)
    }
}
