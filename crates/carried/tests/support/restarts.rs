//! A balancer that has received reports of agents whose processes have started recently.

use super::*;
use loftdrift_carried::{BackendCondition, FlowKnowledge};

pub const AGENTS: u8 = 20;

pub fn load(flow_knowledge: FlowKnowledge, uptime_ms: u32) -> LoadReport {
    LoadReport {
        service: SERVICE.to_owned(),
        condition: BackendCondition::Accepting,
        capacity: 4,
        flow_knowledge,
        uptime_ms: Some(uptime_ms),
        ..LoadReport::default()
    }
}

/// A balancer that has read the list of nodes and has received each agent's `report` at 100 ms.
pub fn balancer_with_reports(report: impl Fn(u8) -> LoadReport) -> CarriedBalancer {
    informed(new_balancer(1), report)
}

/// The same with a link that is narrower than those of the agents.
pub fn narrow_balancer_with_reports(report: impl Fn(u8) -> LoadReport) -> CarriedBalancer {
    let mut settings = balancer_settings(1);
    settings.node.link_mbps = 10;
    let mut balancer = CarriedBalancer::new(settings, PlainFormat);
    balancer.adopt(milliseconds(0), configuration(1, vec![route(service_address(), SERVICE)]));
    informed(balancer, report)
}

fn informed(mut balancer: CarriedBalancer, report: impl Fn(u8) -> LoadReport) -> CarriedBalancer {
    let list: Vec<_> = (1..=AGENTS).map(|agent| (agent_address(agent), NodeRole::Agent)).collect();
    balancer.learn_members(milliseconds(0), &list);
    run_timers(&mut balancer, 0, 100);
    for agent in 1..=AGENTS {
        send(&mut balancer, milliseconds(100), agent, report(agent));
    }
    outputs_of(&mut balancer);
    balancer
}

/// Runs timers every millisecond, so that none is late.
pub fn run_timers(balancer: &mut CarriedBalancer, from: u64, to: u64) {
    (from..=to).for_each(|at| balancer.handle_timeout(milliseconds(at)));
}

pub fn request(port: u16) -> Segment {
    data(port, 101, 501)
}
