//! Handles what the back end, or a sender that claims to be it, reports about itself.

use super::lookups::FIRST_REPORT_TIMEOUT;
use super::*;
use crate::backend::{BackendReport, ReportOutcome};
use crate::readiness::MAX_HEARTBEAT_DELAY;

/// Sequence number of a back end's first heartbeat.
const FIRST_SEQUENCE: u64 = 1;
/// A first heartbeat that arrives this long after the process's start is that of a back end that
/// started later than the process: an earlier one has sent its first heartbeat before, within
/// [`FIRST_REPORT_TIMEOUT`] after its own start, and no heartbeat takes longer to arrive.
const MIN_FIRST_REPORT_UPTIME: Duration = MAX_HEARTBEAT_DELAY.saturating_add(FIRST_REPORT_TIMEOUT);
impl<F: SegmentFormat> CarriedAgent<F> {
    /// Handles a heartbeat of the back end.
    pub fn take_report(&mut self, now: Duration, report: &BackendReport) -> ReportOutcome {
        self.counters.backend_reports += 1;
        let is_first = !self.backend.has_reported();
        let outcome = self.backend.take_report(now, report);
        if outcome == ReportOutcome::OtherService {
            self.note_foreign_report(report);
            return outcome;
        }
        let is_first = is_first && self.backend.has_reported();
        if is_first {
            log::info!(
                backend:% = report.incarnation, sequence = report.sequence,
                warm_up_left_ms = report.warm_up_left.as_millis() as u64, flows = self.flows.active_flows();
                "backend_heard"
            );
        }
        if is_first && self.has_started_since(now, report) {
            self.may_miss_flows = false;
            self.backend_started_at = Some(now);
            self.cold_rate_limit.clear_restart_block();
        }
        match outcome {
            ReportOutcome::Started => {
                log::info!(backend:% = report.incarnation, sequence = report.sequence; "backend_started");
                self.backend_started_at = Some(now);
                self.put_flows_on_trial(now);
            }
            ReportOutcome::Outdated => self.counters.backend_reports_outdated += 1,
            ReportOutcome::Unconfirmed => {
                self.counters.backend_reports_doubted += 1;
                log::info!(
                    backend:% = report.incarnation, sequence = report.sequence; "backend_doubted"
                );
            }
            ReportOutcome::Updated | ReportOutcome::OtherService => {}
        }
        if matches!(outcome, ReportOutcome::Started | ReportOutcome::Updated) {
            self.silent_until = None;
            // While its zone is evacuated the back end receives no flows and may turn cold at any
            // time.
            self.may_be_cold = self.is_evacuated();
            self.probe.note_activity();
        }
        self.announce_condition_change(now, &report.incarnation.id);
        self.serve_wait_queue(now);
        outcome
    }

    /// Counts a heartbeat that names another service than this agent's. Logs only the first one in
    /// a row from the same sender.
    fn note_foreign_report(&mut self, report: &BackendReport) {
        self.counters.backend_reports_foreign += 1;
        if self.last_foreign_sender.as_ref() != Some(&report.incarnation.id) {
            log::warn!(
                backend:% = report.incarnation, says = report.service.as_str(),
                serves = self.backend.service();
                "backend_report_foreign"
            );
            self.last_foreign_sender = Some(report.incarnation.id.clone());
        }
    }

    /// Whether it is certain that the back end, whose first heartbeat to be received this is, has
    /// started while this process ran, so that no earlier process of the agent placed flows there:
    /// its port was closed before, or this is its very first heartbeat and not a late one.
    fn has_started_since(&self, now: Duration, report: &BackendReport) -> bool {
        let is_certain = self.settings.is_first_start || now >= MIN_FIRST_REPORT_UPTIME;
        self.probe.is_refused() || (is_certain && report.sequence <= FIRST_SEQUENCE)
    }

    /// Counts a heartbeat or departure notice of a back end that could not be decoded.
    pub fn note_unreadable(&mut self) {
        self.counters.backend_reports_unreadable += 1;
    }

    /// Handles the back end's departure notice.
    pub fn take_departure(&mut self, now: Duration, gone: &Incarnation) {
        self.backend.take_departure(now, gone);
        self.announce_condition_change(now, &gone.id);
        self.serve_wait_queue(now);
    }

    /// Handles the answer of the back end's health page, which was needed
    /// ([`CarriedAgent::health_check`]): the back end is healthy and takes flows.
    pub fn take_healthy(&mut self, now: Duration) {
        self.backend.take_healthy(now);
        self.announce_condition_change(now, "health_page");
        self.serve_wait_queue(now);
    }

    /// Handles the record of the departures that earlier processes of the agent have acknowledged;
    /// `None` if the record cannot be read now.
    pub fn take_earlier_departures(&mut self, now: Duration, departed: Option<&[Incarnation]>) {
        self.backend.take_earlier_departures(now, departed);
        self.announce_condition_change(now, "departure_record");
        self.serve_wait_queue(now);
    }

    /// Handles a new start of the back end. Flows of its earlier start are over, but some may have
    /// opened since the new start, before this heartbeat arrived. So all flows go on trial: the
    /// back end's reaction to their next packets shows which of them it holds.
    fn put_flows_on_trial(&mut self, now: Duration) {
        self.work_meter = ServiceTimeMeter::default();
        self.breaker = Breaker::new();
        self.decline_all_waiting(now, DeclineReason::NotAccepting);
        for id in self.flows.ids() {
            let phase = self.flows.get(id).map(|flow| flow.body.phase);
            // If a flow is being opened, only the new start can still answer its SYN.
            if !matches!(phase, Some(Phase::Opening { .. })) {
                self.set_phase(now, id, Phase::OnTrial);
            }
        }
    }
}
