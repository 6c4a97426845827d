//! What the back end, or whoever writes in its name, says of itself.

use super::*;
use crate::backend::{BackendReport, ReportOutcome};
use crate::incarnation::Incarnation;

/// A back end whose very first heartbeat is heard here began beside this process.
const FRESH_SEQUENCE: u64 = 1;
/// One that lost power with this process's machine sends its first heartbeat before the process
/// listens; the next ones, which follow at once, are heard ...
const SOON_SEQUENCE: u64 = 3;
/// ... so soon after the process's start. A back end that has run before sends one about each
/// second, so that one in seven is heard so soon.
const SOON: Duration = Duration::from_millis(150);

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Takes a heartbeat of the back end.
    pub fn take_report(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        self.counters.backend_reports += 1;
        let is_first = !self.backend.has_reported();
        let outcome = self.backend.take_report(now, report);
        if outcome == ReportOutcome::Foreign {
            self.note_foreign(report);
            return outcome;
        }
        let is_first = is_first && self.backend.has_reported();
        if is_first {
            log::info!(
                backend:% = report.incarnation, sequence = report.sequence,
                warm_up_left_ms = report.warm_up_left.as_millis() as u64,
                flows = self.flows.active_flows();
                "backend_heard"
            );
        }
        if is_first && report.sequence <= FRESH_SEQUENCE {
            self.may_have_forgotten = false;
            self.begun_at = Some(now);
            self.cold_gate.know_all();
        } else if is_first && self.seems_fresh(now, report) {
            self.seems_fresh = true;
            self.begun_at = Some(now);
        }
        match outcome {
            ReportOutcome::Started => {
                log::info!(backend:% = report.incarnation, sequence = report.sequence; "backend_started");
                self.begun_at = Some(now);
                self.seems_fresh = false;
                self.doubt_flows(now);
            }
            ReportOutcome::Outdated => self.counters.backend_reports_outdated += 1,
            ReportOutcome::Doubted => {
                self.counters.backend_reports_doubted += 1;
                log::info!(
                    backend:% = report.incarnation, sequence = report.sequence; "backend_doubted"
                );
            }
            ReportOutcome::Updated | ReportOutcome::Foreign => {}
        }
        if matches!(outcome, ReportOutcome::Started | ReportOutcome::Updated) {
            self.silent_until = None;
            // While the zone is evacuated it may turn cold at any moment.
            self.may_be_cold = self.is_evacuated();
            self.watch.note_sign();
        }
        self.tell_change(now, &report.incarnation.id);
        self.serve_line(now);
        outcome
    }

    /// Counts a heartbeat of another service's back end; the first one of each writer is told.
    fn note_foreign(&mut self, report: &BackendReport) {
        self.counters.backend_reports_foreign += 1;
        if self.foreign_writer.as_ref() != Some(&report.incarnation.id) {
            log::warn!(
                backend:% = report.incarnation, says = report.service.as_str(),
                serves = self.backend.service();
                "backend_report_foreign"
            );
            self.foreign_writer = Some(report.incarnation.id.clone());
        }
    }

    /// Whether the back end whose first heartbeat this is seems to have started beside this process.
    fn seems_fresh(&self, now: Duration, report: &BackendReport) -> bool {
        let is_cold = !report.warm_up_left.is_zero();
        is_cold && report.sequence <= SOON_SEQUENCE && now <= SOON
    }

    /// Notes that a back end's word could not be read.
    pub fn note_unreadable(&mut self) {
        self.counters.backend_reports_unreadable += 1;
    }

    /// Takes the back end's word that it leaves.
    pub fn take_departure(&mut self, now: Duration, gone: &Incarnation) {
        self.backend.take_departure(gone);
        self.tell_change(now, &gone.id);
        self.serve_line(now);
    }

    /// Takes the answer to a question about the back end's health.
    pub fn take_health(&mut self, now: Duration, is_healthy: bool) {
        self.backend.take_health(is_healthy);
        self.tell_change(now, "asked");
    }

    /// The back end has started anew. Flows of its earlier start are over, but some may have opened
    /// since, before this heartbeat came: the back end tells which it holds.
    fn doubt_flows(&mut self, now: Duration) {
        self.work = WorkMeter::default();
        self.breaker = Breaker::new();
        self.empty_line(now, DeclineReason::NotAccepting);
        for id in self.flows.ids() {
            let phase = self.flows.get(id).map(|flow| flow.body.phase);
            // One that is being opened is answered by this start or by none.
            if !matches!(phase, Some(Phase::Offered { .. })) {
                self.set_phase(now, id, Phase::Tried);
            }
        }
    }
}
