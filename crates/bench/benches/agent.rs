//! Benchmarks the agent's time per packet with few and with many open flows.

use loftdrift_agent::{Agent, Output};
use loftdrift_bench::{
    agent_settings, caller_address, configuration, median, nanoseconds_per_item, service_address,
};
use loftdrift_flow::{Endpoint, EndpointSettings, FlowId, SocketCommand, SocketEvent, Timestamps};
use loftdrift_wire::{
    BackendId, Candidate, CandidateList, FlowKey, GenevePacket, SteeringMode, SteeringOption,
    Transport, encode_packet,
};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

const FEW_FLOWS: u64 = 20;
const MANY_FLOWS: u64 = 2_000;
const ROUNDS: usize = 9;
const PACKETS: usize = 20_000;
const PAYLOAD: [u8; 1_000] = [7; 1_000];
const VNI: u32 = 1;

fn option(mode: SteeringMode, agent: SocketAddrV4) -> SteeringOption {
    let mut candidates = CandidateList::new();
    candidates.push(Candidate { backend: BackendId(1), agent });
    SteeringOption {
        mode,
        cursor: 0,
        hops_left: 16,
        page: 0,
        eligible_count: 1,
        least_loaded: None,
        epoch: 1,
        candidates,
    }
}

/// Callers with open flows through one agent, whose back end reads every byte and never answers.
struct Bench {
    agent: Agent,
    address: SocketAddrV4,
    callers: Vec<Endpoint>,
    now: Duration,
    /// Total time spent in the agent.
    agent_time: Duration,
}

impl Bench {
    fn new(flows: u64) -> Self {
        let configuration = configuration(1, 1);
        let address = configuration.services["s0"].backends["b0"].agent;
        let mut agent = Agent::new(agent_settings()).expect("invalid chart");
        agent.adopt(Duration::ZERO, &configuration);
        agent.handle_health_check(Duration::ZERO, true);
        let mut bench = Bench {
            agent,
            address,
            callers: Vec::new(),
            now: Duration::ZERO,
            agent_time: Duration::ZERO,
        };
        (0..flows).for_each(|flow| bench.open(flow));
        assert_eq!(bench.agent.flow_count() as u64, flows);
        bench
    }

    fn open(&mut self, flow: u64) {
        let key = FlowKey {
            caller: caller_address(flow),
            service: service_address(0),
            transport: Transport::Tcp,
        };
        let settings = EndpointSettings {
            buffer_bytes: 16 * 1024,
            timestamps: Timestamps::Clock,
            sequence_seed: flow,
        };
        self.callers.push(Endpoint::connect(self.now, &key, &settings));
        let caller = self.callers.len() - 1;
        for _ in 0..4 {
            self.exchange(caller);
        }
    }

    /// Delivers a caller's packets to the agent, then the agent's packets to the caller.
    fn exchange(&mut self, caller: usize) {
        self.callers[caller].poll(self.now);
        while let Some(packet) = self.callers[caller].take_packet() {
            let syn = packet[20 + 13] & 0x02 != 0;
            let mode = if syn { SteeringMode::Select } else { SteeringMode::Locate };
            let datagram = encode_packet(VNI, Some(&option(mode, self.address)), &packet);
            let start = Instant::now();
            self.agent.handle_datagram(self.now, self.address, &datagram);
            self.agent_time += start.elapsed();
        }
        self.handle_outputs(caller);
        self.callers[caller].poll(self.now);
    }

    fn handle_outputs(&mut self, caller: usize) {
        while let Some(output) = self.agent.take_output() {
            match output {
                Output::Transmit { datagram, .. } => {
                    let packet = GenevePacket::parse(&datagram).expect("invalid packet");
                    self.callers[caller].receive(self.now, packet.inner);
                }
                Output::Socket { flow, command } => self.handle_command(flow, &command),
                _ => {}
            }
        }
    }

    fn handle_command(&mut self, flow: FlowId, command: &SocketCommand) {
        match command {
            SocketCommand::Open => {
                self.agent.handle_socket(self.now, flow, SocketEvent::Opened);
            }
            SocketCommand::Write(bytes) => {
                let event = SocketEvent::Written(bytes.len());
                let start = Instant::now();
                self.agent.handle_socket(self.now, flow, event);
                self.agent_time += start.elapsed();
            }
            _ => {}
        }
    }

    /// Sends data packets on all flows round robin, `burst` per flow at a time. Returns the time
    /// spent in the agent.
    fn run(&mut self, burst: usize) -> Duration {
        let before = self.agent.counters.delivered;
        self.agent_time = Duration::ZERO;
        for packet in 0..PACKETS {
            self.now += Duration::from_micros(20);
            let caller = packet / burst % self.callers.len();
            assert_eq!(self.callers[caller].write(&PAYLOAD), PAYLOAD.len());
            self.exchange(caller);
        }
        assert!(self.agent.counters.delivered >= before + PACKETS as u64);
        self.agent_time
    }
}

fn compare(few: &mut Bench, many: &mut Bench, burst: usize) {
    let mut times = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        times.0.push(many.run(burst));
        times.1.push(few.run(burst));
    }
    let (many_time, few_time) = (median(times.0), median(times.1));
    println!(
        "agent, packets of 1,000 bytes in bursts of {burst}: {:.0} ns at {MANY_FLOWS} flows, \
         {:.0} ns at {FEW_FLOWS} flows, ratio {:.2}",
        nanoseconds_per_item(many_time, PACKETS),
        nanoseconds_per_item(few_time, PACKETS),
        many_time.as_secs_f64() / few_time.as_secs_f64(),
    );
}

fn main() {
    let mut few = Bench::new(FEW_FLOWS);
    let mut many = Bench::new(MANY_FLOWS);
    for burst in [1, 10] {
        compare(&mut few, &mut many, burst);
    }
}
