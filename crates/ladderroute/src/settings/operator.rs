//! Operators' own settings: protobuf text format, optional, all with defaults, all checked.

use super::error::SettingsError;
use super::source;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

/// The compiled `operator.proto`.
const DESCRIPTOR_SET: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));
/// The message of `operator.proto` that describes the file.
const MESSAGE_NAME: &str = "ladderroute.Operator";

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

/// A field of the operators' file and the values it may have.
struct Field {
    /// Its name in the file.
    name: &'static str,
    /// The least value.
    min: f64,
    /// The greatest value.
    max: f64,
    /// What it sets.
    target: fn(&mut Tuning) -> &mut f64,
}

/// The fields of the operators' file.
const FIELDS: [Field; 4] = [
    Field {
        name: "hold_s",
        min: 0.5,
        max: 600.0,
        target: |tuning| &mut tuning.reservation_s,
    },
    Field {
        name: "leader_lease_share",
        min: 0.05,
        max: 0.8,
        target: |tuning| &mut tuning.leader_lease_share,
    },
    Field {
        name: "keep_boots",
        min: 0.0,
        max: 1000.0,
        target: |tuning| &mut tuning.idle_retention_boots,
    },
    Field {
        name: "patience",
        min: 0.0,
        max: 1.0,
        target: |tuning| &mut tuning.max_wait_share,
    },
];

impl Tuning {
    /// Reads and checks the operators' file.
    pub fn load(file: &str) -> Result<Tuning, SettingsError> {
        Tuning::parse(&source::read(file)?, file)
    }

    /// Parses and checks the text of an operators' file; `file` names it in messages.
    pub fn parse(text: &str, file: &str) -> Result<Tuning, SettingsError> {
        let message = parse_message(text).map_err(|cause| SettingsError::Parse {
            file: file.into(),
            cause,
        })?;
        let mut tuning = Tuning::default();
        for field in &FIELDS {
            field.read(&message, &mut tuning)?;
        }
        Ok(tuning)
    }
}

impl Field {
    /// Takes the field's value, if the file has one.
    fn read(&self, message: &DynamicMessage, tuning: &mut Tuning) -> Result<(), SettingsError> {
        if !message.has_field_by_name(self.name) {
            return Ok(());
        }
        let value = message
            .get_field_by_name(self.name)
            .and_then(|value| value.as_f64())
            .unwrap_or(f64::NAN);
        let Field { min, max, .. } = *self;
        if !(min..=max).contains(&value) {
            let cause = format!("must lie between {min} and {max}");
            return Err(SettingsError::field(self.name, cause));
        }
        *(self.target)(tuning) = value;
        Ok(())
    }
}

fn parse_message(text: &str) -> Result<DynamicMessage, String> {
    let descriptor = descriptor()?;
    DynamicMessage::parse_text_format(descriptor, text).map_err(|cause| cause.to_string())
}

fn descriptor() -> Result<MessageDescriptor, String> {
    let pool = DescriptorPool::decode(DESCRIPTOR_SET).map_err(|cause| cause.to_string())?;
    pool.get_message_by_name(MESSAGE_NAME)
        .ok_or_else(|| "no description of the settings".into())
}
