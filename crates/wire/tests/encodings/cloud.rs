//! Samples of the cloud's messages.

use crate::sample::{body, body_with_mutations, Sample};
use wire::cloud::{
    Catalog, Listed, ListedMachine, MachineList, MachineType, Names, ProvisionRequest,
};

/// Returns a machine type in which no two fields have the same value.
pub fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.5,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.25,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn listed(state: Listed) -> ListedMachine {
    ListedMachine {
        name: "host-000001".into(),
        kind: "g8".into(),
        zone: "a".into(),
        spot: true,
        state,
        age_s: 18.5,
    }
}

pub fn samples() -> Vec<Sample> {
    let names = Names {
        machines: vec!["host-000001".into(), "host-000002".into()],
    };
    let provision_request = ProvisionRequest {
        name: "rung-1-41-7".into(),
        kind: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 300,
    };
    let list = MachineList {
        machines: vec![listed(Listed::Booting), listed(Listed::Running)],
        more: true,
    };
    let types = vec![machine_type()];
    vec![
        body_with_mutations("cloud_machine_type", &machine_type()),
        body_with_mutations("cloud_catalog", &Catalog { types }),
        body_with_mutations("cloud_hire", &provision_request),
        body_with_mutations("cloud_names", &names),
        body_with_mutations("cloud_listed_booting", &listed(Listed::Booting)),
        body("cloud_listed_running", &listed(Listed::Running)),
        body("cloud_listed_failed", &listed(Listed::Failed)),
        body_with_mutations("cloud_machine_list", &list),
    ]
}
