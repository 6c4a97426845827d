//! Which agents to ask for a flow that this balancer does not remember.

use crate::configuration::RoutingTable;
use crate::pool::Pool;
use std::net::SocketAddrV4;

/// Most agents that one packet is sent to; the sender's repetitions reach the others.
const MOST_ASKED: usize = 16;

/// Chooses the agents, another part of them with each packet when there are many.
#[derive(Debug, Default)]
pub(crate) struct Locator {
    turn: usize,
}

impl Locator {
    /// Agents of the services that take or took the address's flows; all agents where these are
    /// few, since an address may have stood for a service that this process never knew.
    pub(crate) fn choose(
        &mut self,
        pool: &Pool,
        routes: &RoutingTable,
        address: &SocketAddrV4,
        except: Option<SocketAddrV4>,
    ) -> Vec<SocketAddrV4> {
        let mut asked: Vec<SocketAddrV4> = if pool.len() <= MOST_ASKED {
            pool.iter().map(|(agent, _)| *agent).collect()
        } else {
            let agents = routes.holders(address).flat_map(|service| pool.of_service(service));
            agents.map(|(agent, _)| *agent).collect()
        };
        asked.retain(|agent| Some(*agent) != except);
        if asked.len() > MOST_ASKED {
            self.turn = (self.turn + MOST_ASKED) % asked.len();
            asked.rotate_left(self.turn);
            asked.truncate(MOST_ASKED);
        }
        asked
    }
}
