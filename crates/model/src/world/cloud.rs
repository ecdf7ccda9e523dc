//! The cloud: provisions machines within its capacity and takes back returned ones.

use super::*;

impl World {
    /// Provisions as many of the requested machines as the cloud has and returns their names.
    pub(super) fn provision(&mut self, request: &ProvisionRequest) -> Vec<String> {
        let offer = self.draw_offer(request);
        let available = offer.map_or(3, |(available, _)| available);
        let granted =
            (request.count as usize).min(available.saturating_sub(self.matching_machines(request)));
        self.count_cloud_event(
            CloudEvent::ProvisionRefused,
            request.count as usize - granted,
        );
        let mut machines = Vec::new();
        for _ in 0..granted {
            self.machines_provisioned += 1;
            let machine = format!("host-{:06}", self.machines_provisioned);
            let extra_boot_s = offer.map_or(0.0, |(_, boot_s)| (boot_s - 2.5).max(0.0));
            let up_at = self.now + 1.0 + self.rng.f64() * 3.0 + extra_boot_s;
            let up_at = up_at + self.draw_boot_delay_s();
            let target = self.rng.usize(0..CONTROLLERS);
            let worker = Worker::booting(request, up_at, target);
            self.workers.insert(machine.clone(), worker);
            machines.push(machine);
        }
        self.trace.provisioned(self.now, &machines);
        machines
    }

    /// Returns the number of existing machines of the requested type, zone and price class.
    fn matching_machines(&self, request: &ProvisionRequest) -> usize {
        let is_match = |worker: &&Worker| {
            !worker.gone
                && worker.kind == request.kind
                && worker.zone == request.zone
                && worker.spot == request.spot
        };
        self.workers.values().filter(is_match).count()
    }

    /// Removes returned machines.
    pub(super) fn deprovision(&mut self, machines: &[String]) {
        self.count_cloud_event(CloudEvent::Deprovision, machines.len());
        for machine in machines {
            self.workers.remove(machine);
        }
    }

    /// Returns the total number of machines provisioned so far.
    pub fn machines_provisioned(&self) -> u64 {
        self.machines_provisioned
    }
}
