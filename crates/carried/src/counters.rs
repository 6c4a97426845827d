//! What the cores of carried flows count.

use loftdrift_counters::counter_set;

counter_set! {
    /// Counters of a balancer of carried flows.
    pub struct CarriedBalancerCounters {
        /// Packets of callers received.
        packets_received,
        /// Packets dropped because they do not decode.
        packets_malformed,
        /// Packets dropped because no route names their address.
        packets_without_route,
        /// Packets sent to the agent where their flow lives.
        packets_forwarded,
        /// Packets of flows that are not remembered.
        packets_located,
        /// Flows that agents were asked for.
        lookups_started,
        /// Packets dropped because too many flows are searched for.
        lookups_passed_over,
        /// Flows that an agent held.
        lookups_found,
        /// Agents asked whether a flow lives there.
        lookup_questions,
        /// Packets given on trial to back ends whose agents may have forgotten their flow.
        lookup_trials,
        /// Flows that nobody holds, whose callers were told.
        flows_told_over,
        /// Flows of which an agent has told the caller that they are over.
        flows_ended,
        /// Packets that an agent returned because their flow does not live there.
        packets_not_held,
        /// Flows asked for.
        openings_started,
        /// Flows opened at a back end.
        openings_placed,
        /// Flows whose caller went on before an agent's answer was here.
        openings_overtaken,
        /// Flows refused because no back end can answer in time.
        openings_refused_busy,
        /// Flows refused because no back end takes new flows.
        openings_refused_unavailable,
        /// Flows refused because no route names their address.
        openings_refused_no_route,
        /// Flows given up because no agent has answered.
        openings_given_up,
        /// Flows that wait at an agent until its back end has room.
        openings_queued,
        /// Opening packets dropped right after a standstill; their copies are taken.
        openings_fenced,
        /// Times that the process stood still.
        standstills,
        /// Agents asked to read the shared store for this balancer.
        store_errands,
        /// Comparisons of the shared store's list of nodes with those that live.
        member_audits,
        /// Readings of the shared store since nobody told of a confirmation.
        store_readings,
        /// Flows left to copies of their opening packets, too late for a reset.
        openings_left_to_copies,
        /// Offers made to agents.
        offers_made,
        /// Offers that an agent declined.
        offers_declined,
        /// Offers that no agent answered in time.
        offers_unanswered,
        /// Of those, such as were not held against their agents, this process being late itself.
        unanswered_while_late,
        /// Opening packets passed over that may have waited for longer than their callers do.
        openings_stale,
        /// Times that a flow was not offered again, too many offers having been declined.
        offers_withheld,
        /// Answers of agents to offers that this balancer has not made to them.
        answers_unexpected,
        /// Agents that became suspect.
        suspicions,
        /// Messages of other nodes that do not decode.
        messages_malformed,
        /// Configurations put in force.
        configurations_adopted,
        /// Configurations passed over because nothing in them is newer.
        configurations_passed_over,
    }
    gauges {
        /// The operator's number of the configuration in force.
        configuration_version,
        /// The highest number that a peer has told of.
        configuration_newest_heard,
        /// The store's revision up to which everything written is in force; it falls where the era rises.
        configuration_revision,
        /// How often the store has come back from an older copy, as far as is known, and one more.
        store_era,
        /// Seconds since the configuration in force was adopted.
        configuration_age_seconds,
        /// Flows that wait for their search to begin.
        lookups_waiting,
        /// Searches that may be under way at once.
        lookup_window,
        /// Flows remembered.
        flows,
        /// Agents known.
        agents,
        /// Agents that are suspect.
        agents_suspect,
        /// How late this process has served its timers lately.
        lateness_milliseconds,
        /// Milliseconds since the store was last known to hold nothing newer.
        store_unconfirmed_milliseconds,
        /// 1 while this balancer is one of those that wait at the store.
        waits_at_store,
        /// Nodes known.
        peers,
    }
}

counter_set! {
    /// Counters of an agent of carried flows.
    pub struct CarriedAgentCounters {
        /// Offers of new flows received.
        offers_received,
        /// Offers passed over right after a standstill.
        offers_stale,
        /// Times that the process stood still.
        standstills,
        /// New flows passed to the back end.
        offers_taken,
        /// New flows that had to wait until the back end had room.
        flows_queued,
        /// Of those, such as were declined when their callers' tries were over.
        flows_expired,
        /// Offers declined because the back end has enough to do.
        declined_busy,
        /// Offers declined because the back end sent the opening packet back.
        declined_returned,
        /// Offers declined because the back end takes no new flows.
        declined_not_accepting,
        /// Offers declined because they are for another service.
        declined_other_service,
        /// Offers declined because the back end fails what it is asked.
        declined_failing,
        /// Offers declined because the zone is evacuated.
        declined_evacuated,
        /// Offers declined because the back end is cold and has been given enough.
        declined_cold,
        /// Requests that the back end failed, refused with a slot free, broke off, or left unanswered.
        requests_failed,
        /// Times that the circuit breaker opened.
        breaker_openings,
        /// Packets passed to the back end.
        packets_delivered,
        /// Packets of the back end passed to callers.
        packets_answered,
        /// Packets that the back end sent back.
        packets_returned,
        /// Packets whose flow does not live here.
        packets_not_held,
        /// Questions whether a flow lives here.
        lookups_received,
        /// Flows that the back end has lost, whose callers were told.
        flows_reset,
        /// Packets dropped because they do not decode.
        packets_malformed,
        /// Packets of flows that this agent has forgotten, left to the back end to judge.
        packets_tried,
        /// Messages of other nodes that do not decode.
        messages_malformed,
        /// Readings of the shared store that balancers asked for.
        store_errands,
        /// Heartbeats of the back end.
        backend_reports,
        /// Heartbeats of the back end that were older than what is known.
        backend_reports_outdated,
        /// Heartbeats of another start than the known one, not believed yet.
        backend_reports_doubted,
        /// Heartbeats that named another service than the back end's own; nothing came of them.
        backend_reports_foreign,
        /// Words of a back end that could not be read; nothing came of them.
        backend_reports_unreadable,
        /// Times that the back end fell silent.
        backend_silences,
        /// Questions whether anybody listens at the back end's port.
        backend_probes,
        /// Times that the back end's process was found to have ended.
        backend_ends,
        /// Configurations put in force.
        configurations_adopted,
        /// Configurations passed over because nothing in them is newer.
        configurations_passed_over,
    }
    gauges {
        /// The operator's number of the configuration in force.
        configuration_version,
        /// The highest number that a peer has told of.
        configuration_newest_heard,
        /// The store's revision up to which everything written is in force; it falls where the era rises.
        configuration_revision,
        /// How often the store has come back from an older copy, as far as is known, and one more.
        store_era,
        /// Seconds since the configuration in force was adopted.
        configuration_age_seconds,
        /// Flows remembered.
        flows,
        /// Requests that wait for an answer.
        waiting,
        /// New flows that wait until the back end has room.
        in_line,
        /// Nodes known.
        peers,
        /// Mean time of a request at the back end, in microseconds.
        work_microseconds,
    }
}
