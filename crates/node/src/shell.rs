//! The task that owns a core and its two UDP sockets.

use crate::command::{Command, NodeStatus};
use crate::core::Core;
use crate::shared_store::Consistency;
use loftdrift_carried::{InputAge, Output};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Larger than any datagram that a core takes.
const BUFFER_BYTES: usize = 4 * 1024;
/// Datagrams taken from one socket before the other one has its turn.
const DATAGRAMS_A_TURN: usize = 32;
/// Turns of the nodes' socket before timers are served all the same: a flood holds up no timer for
/// longer than 512 datagrams take.
const MOST_TURNS: usize = 16;
/// Longest time between two looks at the core's status.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// A process that has not had its turn for so long stood still.
const STANDSTILL: Duration = Duration::from_secs(1);
/// A process that wakes so long after it wanted to did not run: what it reads may have come before.
const OVERSLEPT: Duration = Duration::from_millis(10);

/// What a turn begins with.
enum Ready {
    Local,
    Peers,
    Command(Command),
    Nothing,
}

/// The shell of one core.
pub(crate) struct Shell<C> {
    pub(crate) core: C,
    pub(crate) started: Instant,
    /// To callers, or to the back end.
    pub(crate) local: UdpSocket,
    /// To other nodes.
    pub(crate) peers: UdpSocket,
    pub(crate) commands: mpsc::Receiver<Command>,
    pub(crate) status: watch::Sender<NodeStatus>,
    pub(crate) fetches: mpsc::Sender<SocketAddrV4>,
    pub(crate) readings: mpsc::Sender<()>,
    pub(crate) probes: mpsc::Sender<SocketAddrV4>,
    pub(crate) audits: mpsc::Sender<Consistency>,
    pub(crate) rewrites: mpsc::Sender<()>,
    /// For how long what is read from the local socket may have waited there.
    pub(crate) local_age: InputAge,
}

impl<C: Core> Shell<C> {
    /// Runs until the task is dropped or nobody can send commands.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut last_turn = self.now();
        loop {
            let wake_at = self.wake_at();
            let ready = tokio::select! {
                ready = self.local.readable() => ready.map_or(Ready::Nothing, |()| Ready::Local),
                ready = self.peers.readable() => ready.map_or(Ready::Nothing, |()| Ready::Peers),
                () = tokio::time::sleep_until(wake_at) => Ready::Nothing,
                command = self.commands.recv() => match command {
                    Some(command) => Ready::Command(command),
                    None => return,
                },
            };
            // Before anything that waited meanwhile is taken.
            if self.now().saturating_sub(last_turn) > STANDSTILL {
                self.core.resume(self.now());
            }
            if wake_at.elapsed() > OVERSLEPT {
                self.local_age.note_pause(last_turn);
                // Whatever woke it: what comes after this reading has not waited.
                self.take(Ready::Local, &mut buffer);
            }
            last_turn = self.now();
            self.take(ready, &mut buffer);
            if self.is_due() {
                self.take_all_peers(&mut buffer);
            }
            if self.is_due() {
                self.core.handle_timeout(self.now());
            }
            self.act();
            self.publish();
        }
    }

    fn take(&mut self, ready: Ready, buffer: &mut [u8]) {
        match ready {
            Ready::Local => {
                // What nodes have said about a flow counts before the flow's next packet.
                self.take_peers(buffer);
                self.take_local(buffer);
            }
            Ready::Peers => {
                self.take_peers(buffer);
            }
            Ready::Command(command) => self.take_command(command),
            Ready::Nothing => {}
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn wake_at(&self) -> Instant {
        let latest = self.now() + STATUS_INTERVAL;
        self.started + self.core.next_timeout().map_or(latest, |next| next.min(latest))
    }

    fn take_local(&mut self, buffer: &mut [u8]) {
        let began = self.now();
        self.core.note_local_waited(self.local_age.waited(began));
        for _ in 0..DATAGRAMS_A_TURN {
            let Ok((length, _)) = self.local.try_recv_from(buffer) else {
                return self.local_age.note_batch(began, true);
            };
            self.core.handle_local(self.started.elapsed(), &buffer[..length]);
            self.act();
        }
        self.local_age.note_batch(began, false);
    }

    fn is_due(&self) -> bool {
        let now = self.now();
        self.core.next_timeout().is_some_and(|next| next <= now)
    }

    /// Takes some of what nodes have said; `true` when there may be more.
    fn take_peers(&mut self, buffer: &mut [u8]) -> bool {
        for _ in 0..DATAGRAMS_A_TURN {
            let Ok((length, SocketAddr::V4(from))) = self.peers.try_recv_from(buffer) else {
                return false;
            };
            self.core.handle_peer(self.started.elapsed(), from, &buffer[..length]);
            self.act();
        }
        true
    }

    /// Takes what nodes have said, before anybody is held to be silent: an answer that waits in the
    /// socket is not late, this process is.
    fn take_all_peers(&mut self, buffer: &mut [u8]) {
        for _ in 0..MOST_TURNS {
            if !self.take_peers(buffer) {
                return;
            }
        }
    }

    fn take_command(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::Adopt(configuration) => self.core.adopt(now, configuration),
            Command::Learn(news) => self.core.learn(now, &news),
            Command::Audit(list, answer) => drop(answer.send(self.core.audit(now, &list))),
            Command::TakeSnapshot(snapshot) => self.core.take_snapshot(now, snapshot),
            Command::Health(is_healthy) => self.core.take_health(now, is_healthy),
            Command::Probed(outcome) => self.core.take_probe(now, outcome),
            Command::StoreAnswers(answers) => self.core.note_store(now, answers),
            Command::Drain => self.core.drain(now),
            // Whoever asked and did not wait needs no answer.
            Command::GiveSnapshot(answer) => drop(answer.send(self.core.snapshot())),
            Command::GiveMeasures(answer) => drop(answer.send(self.core.measures(now))),
            Command::Report(report, answer) => {
                let _ = answer.send(self.core.take_report(now, &report));
            }
            Command::Unreadable => self.core.note_unreadable(),
            Command::Departure(gone, answer) => {
                self.core.take_departure(now, &gone);
                let _ = answer.send(());
            }
        }
    }

    /// Carries out what the core asks for. A datagram that the kernel does not take is lost, as on
    /// any network.
    fn act(&mut self) {
        while let Some(output) = self.core.take_output() {
            match output {
                Output::ToCaller { host, datagram } => {
                    let to = SocketAddrV4::new(host, self.core.caller_port());
                    let _ = self.local.try_send_to(&datagram, to.into());
                }
                Output::ToBackend(datagram) => {
                    if let Some(to) = self.core.backend() {
                        let _ = self.local.try_send_to(&datagram, to.into());
                    }
                }
                Output::ToPeer { to, message } => {
                    let _ = self.peers.try_send_to(&message.encode(), to.into());
                }
                // One reading serves all who ask meanwhile.
                Output::ReadStore => drop(self.readings.try_send(())),
                // One audit serves all who ask meanwhile.
                Output::ReadMembers { is_urgent } => {
                    let currency =
                        if is_urgent { Consistency::Latest } else { Consistency::MayBeStale };
                    let _ = self.audits.try_send(currency);
                }
                // One entry serves all auditors.
                Output::WriteEntry => drop(self.rewrites.try_send(())),
                // One that finds no place is asked for again.
                Output::ProbeBackend => {
                    let backend = self.core.backend();
                    backend.map(|backend| self.probes.try_send(backend));
                }
                // One that is not fetched now is named again by the next heartbeat.
                Output::FetchSnapshot { from } => drop(self.fetches.try_send(from)),
            }
        }
    }

    fn publish(&mut self) {
        let status = self.core.status(self.now());
        self.status.send_if_modified(|published| {
            let changed = *published != status;
            *published = status;
            changed
        });
    }
}
