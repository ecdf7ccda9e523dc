//! Operators' own settings, in protobuf text format. All fields are optional with defaults, and all
//! values are checked.

use super::error::SettingsError;
use super::source;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

/// Compiled `operator.proto`, a serialized file descriptor set.
const DESCRIPTOR_SET: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));
/// Full name of the message in `operator.proto` that describes the file.
const MESSAGE_NAME: &str = "ladderroute.Operator";

/// Settings that operators may tune.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Time, in seconds, for which capacity stays reserved for a gang while the rest of what the
    /// gang needs is reserved (`hold_s`).
    pub reservation_s: f64,
    /// Duration of the leader's store lease, as a fraction of the workers' lease.
    pub leader_lease_share: f64,
    /// Time for which an idle on-demand machine is kept, as a multiple of its boot time
    /// (`keep_boots`); spot machines are kept longer.
    pub idle_retention_boots: f64,
    /// Time for which a gang may wait for machines in use, as a fraction of its wait objective
    /// (`patience`).
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

/// A field of the operators' file, with the range of its values.
struct Field {
    /// Name in the file.
    name: &'static str,
    /// Minimum value.
    min: f64,
    /// Maximum value.
    max: f64,
    /// Returns the member of `Tuning` that the field sets.
    target: fn(&mut Tuning) -> &mut f64,
}

/// All fields of the operators' file.
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

    /// Parses and checks the text of an operators' file. `file` is its path in error messages.
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
    /// Sets the field's value if the file contains one.
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
            let requirement = format!("must lie between {min} and {max}");
            return Err(SettingsError::field(self.name, requirement));
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
        .ok_or_else(|| "the compiled descriptors lack the message ladderroute.Operator".into())
}
