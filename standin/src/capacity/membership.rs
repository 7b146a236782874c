//! The cost of membership: fleets of the membership state machine, simulated in one thread and virtual time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crocuswharf::{
    Body, Heartbeat, Kind, Liveness, LoadLevel, Member, Membership, MembershipAction,
    MembershipOptions, wire_bytes,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fit::Point;
use super::report::{Cost, Figure};
use super::target;
use super::usage::{bytes_per_copy, thread_time};

const SIZES: [u16; 4] = [25, 50, 100, 200];
const STEP: Duration = Duration::from_millis(50);
/// The number of steps until all members know each other and no updates are being gossiped.
const CONVERGENCE_STEPS: u32 = 1_200;
/// The number of steps measured after convergence.
const MEASURED_STEPS: u32 = 600;
const MEMORY_COPIES: u32 = 40;

pub(super) fn measure() -> anyhow::Result<Vec<Figure>> {
    let mut time = Vec::new();
    let mut bytes = Vec::new();
    let mut memory = Vec::new();
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        fleet.run(CONVERGENCE_STEPS);
        memory.push(point(size, fleet.member_list_bytes()?));
        fleet.sent_bytes = 0.0;
        let before = thread_time()?;
        fleet.run(MEASURED_STEPS);
        let spent = thread_time()?.saturating_sub(before);
        let node_seconds = f64::from(size) * (STEP * MEASURED_STEPS).as_secs_f64();
        time.push(point(size, spent.as_secs_f64() * 1e6 / node_seconds));
        bytes.push(point(size, fleet.sent_bytes / node_seconds));
    }
    let per_second = Cost::Processor {
        events_per_second: 1.0,
    };
    let sent = Cost::Network {
        messages_per_second: 1.0,
    };
    Ok(vec![
        figure("core, for each second", time, per_second),
        figure("sent for each second, no churn", bytes, sent),
        figure("members and rumours", memory, Cost::Memory { copies: 1.0 }),
    ])
}

fn figure(name: &'static str, points: Vec<Point>, cost: Cost) -> Figure {
    Figure {
        role: "membership",
        name,
        along: "member",
        is_control: true,
        points,
        target_size: target::ROUTERS,
        cost,
    }
}

fn point(size: u16, value: f64) -> Point {
    Point {
        size: size.into(),
        value,
    }
}

/// A fleet with a lossless network whose delay is one step.
struct Fleet {
    rng: ChaCha8Rng,
    now: Duration,
    nodes: Vec<Membership>,
    in_flight: VecDeque<(usize, usize, Heartbeat)>,
    sent_bytes: f64,
}

impl Fleet {
    fn new(size: u16) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(3),
            now: Duration::ZERO,
            nodes: (0..size).map(node).collect(),
            in_flight: VecDeque::new(),
            sent_bytes: 0.0,
        }
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now += STEP;
            for (from, to, heartbeat) in std::mem::take(&mut self.in_flight) {
                let actions = self.nodes[to].receive(&heartbeat, self.now, &mut self.rng);
                self.apply_actions(to, Some(from), actions);
            }
            for index in 0..self.nodes.len() {
                let actions = self.nodes[index].tick(self.now, &mut self.rng);
                self.apply_actions(index, None, actions);
            }
        }
    }

    fn apply_actions(
        &mut self,
        index: usize,
        sender_index: Option<usize>,
        actions: Vec<MembershipAction>,
    ) {
        for action in actions {
            let (to, heartbeat) = match action {
                MembershipAction::Send { to, heartbeat } => (Some(node_index(to)), heartbeat),
                MembershipAction::Reply { heartbeat } => (sender_index, heartbeat),
            };
            let Some(to) = to else { continue };
            let body = Body::encode(Kind::Heartbeat, &heartbeat);
            self.sent_bytes += f64::from(u32::try_from(wire_bytes(&body)).unwrap_or(u32::MAX));
            self.in_flight.push_back((index, to, heartbeat));
        }
    }

    /// Returns the memory of one node's member list, in bytes. New nodes learn all members of the fleet.
    fn member_list_bytes(&self) -> anyhow::Result<f64> {
        let records: Vec<Heartbeat> = self
            .nodes
            .iter()
            .map(|node| Heartbeat {
                sender: Some(crocuswharf::MemberRecord::full(node.own())),
                ..Heartbeat::default()
            })
            .collect();
        bytes_per_copy(MEMORY_COPIES, |copy| {
            let mut rng = ChaCha8Rng::seed_from_u64(copy.into());
            let mut new_node = node(u16::MAX);
            for heartbeat in &records {
                let _ = new_node.receive(heartbeat, Duration::from_secs(1), &mut rng);
            }
            assert_eq!(
                new_node.members().count(),
                self.nodes.len() + 1,
                "a node did not learn all members"
            );
            new_node
        })
    }
}

fn node(index: u16) -> Membership {
    let own = Member {
        router: format!("router-{index:05}").into(),
        zone: format!("zone-{}", index % 7).into(),
        peers: address(index, 7_000),
        callers: address(index, 8_000),
        incarnation: 1_760_000_000_000,
        version: 1,
        liveness: Liveness::Alive,
        leaving: false,
        load: LoadLevel::Normal,
        activity: 0,
    };
    let seeds = vec![address(0, 7_000), address(1, 7_000), address(2, 7_000)];
    Membership::new(own, seeds, MembershipOptions::default(), Duration::ZERO)
}

fn address(index: u16, port: u16) -> SocketAddr {
    let [high, low] = index.to_be_bytes();
    ([10, 0, high, low], port).into()
}

fn node_index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!("the fleet only uses IPv4 addresses");
    };
    let [_, _, high, low] = address.ip().octets();
    u16::from_be_bytes([high, low]).into()
}
