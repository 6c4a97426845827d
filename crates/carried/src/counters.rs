//! Counters and gauges of the cores of carried flows.

use loftdrift_counters::counter_set;

counter_set! {
    /// Counters of a balancer for carried flows.
    pub struct CarriedBalancerCounters {
        /// Packets received from callers.
        packets_received,
        /// Packets dropped because they do not decode.
        packets_malformed,
        /// Packets dropped because no route has their destination address.
        packets_without_route,
        /// Packets sent to the agent that owns their flow.
        packets_forwarded,
        /// Packets of flows that are not in the flow cache.
        packets_located,
        /// Lookups started to find the agent that owns a flow.
        lookups_started,
        /// Packets dropped because too many lookups are in progress.
        lookups_passed_over,
        /// Lookups that found the agent that owns the flow.
        lookups_found,
        /// Queries sent to agents asking whether they own a flow.
        lookup_questions,
        /// Packets delivered on trial to back ends whose agents may have forgotten the flow.
        lookup_trials,
        /// Flows that no agent owns and whose callers were reset.
        flows_told_over,
        /// Flows that an agent reported as over after resetting the caller.
        flows_ended,
        /// Packets that an agent returned because it does not own their flow.
        packets_not_held,
        /// New flows requested by callers.
        openings_started,
        /// New flows placed at a back end.
        openings_placed,
        /// New flows whose caller continued before the agent's answer arrived.
        openings_overtaken,
        /// New flows refused because no back end can answer in time.
        openings_refused_busy,
        /// New flows refused because no back end takes new flows.
        openings_refused_unavailable,
        /// New flows refused because no route has their destination address.
        openings_refused_no_route,
        /// New flows given up because no agent answered.
        openings_given_up,
        /// New flows queued at an agent until its back end has room.
        openings_queued,
        /// SYNs dropped in the admission pause after a stall; their retransmissions are accepted.
        openings_fenced,
        /// Times that the process stalled.
        standstills,
        /// Delegated store reads: agents asked to read the shared store for this balancer.
        store_errands,
        /// Audits: comparisons of the shared store's list of nodes with the nodes that are alive.
        member_audits,
        /// Reads of the shared store made because no peer reported a recent confirmation.
        store_readings,
        /// New flows that failed too late for a reset; the caller retransmits the SYN instead.
        openings_left_to_copies,
        /// Offers made to agents.
        offers_made,
        /// Offers that an agent declined.
        offers_declined,
        /// Offers that were not answered in time.
        offers_unanswered,
        /// Unanswered offers not held against agents, as this process had a high scheduling delay.
        unanswered_while_late,
        /// SYNs ignored because they may have waited longer than their callers do.
        openings_stale,
        /// Times that a flow was not offered again: the retry budget was spent on declined offers.
        offers_withheld,
        /// Answers to offers that this balancer has not made to the agent.
        answers_unexpected,
        /// Times that an agent became suspect.
        suspicions,
        /// Messages from other nodes that do not decode.
        messages_malformed,
        /// Configurations adopted.
        configurations_adopted,
        /// Configurations ignored because they contain nothing newer.
        configurations_passed_over,
    }
    gauges {
        /// The operator's number of the configuration in force.
        configuration_version,
        /// The highest configuration number reported by a peer.
        configuration_newest_heard,
        /// The store revision up to which all writes are in force; it falls when the era rises.
        configuration_revision,
        /// Era of the store: 1 plus the number of known restores from an older copy.
        store_era,
        /// Seconds since the configuration in force was adopted.
        configuration_age_seconds,
        /// Lookups that wait to be started.
        lookups_waiting,
        /// Maximum number of concurrent lookups.
        lookup_window,
        /// Flows in the flow cache.
        flows,
        /// Known agents.
        agents,
        /// Agents that are suspect.
        agents_suspect,
        /// Recent scheduling delay of this process: how late its timers fire.
        lateness_milliseconds,
        /// Milliseconds since the last confirmation that the store held nothing newer.
        store_unconfirmed_milliseconds,
        /// 1 while this balancer is one of those that watch the store, else 0.
        waits_at_store,
        /// Known nodes.
        peers,
    }
}

counter_set! {
    /// Counters of an agent for carried flows.
    pub struct CarriedAgentCounters {
        /// Offers of new flows received.
        offers_received,
        /// Offers ignored because they waited in the socket during a stall.
        offers_stale,
        /// Times that the process stalled.
        standstills,
        /// New flows passed to the back end.
        offers_taken,
        /// New flows that were queued until the back end had room.
        flows_queued,
        /// Queued flows that were declined because the caller's attempt had ended.
        flows_expired,
        /// Offers declined because the back end is at its admission limit.
        declined_busy,
        /// Offers declined because the back end returned the SYN.
        declined_returned,
        /// Offers declined because the back end takes no new flows.
        declined_not_accepting,
        /// Offers declined because they are for another service.
        declined_other_service,
        /// Offers declined because the circuit breaker is open: the back end fails its requests.
        declined_failing,
        /// Offers declined because the zone is evacuated.
        declined_evacuated,
        /// Offers declined because the back end is cold and has reached its limit of new flows.
        declined_cold,
        /// Requests that the back end failed, refused with a slot free, aborted or did not answer.
        requests_failed,
        /// Times that the circuit breaker opened.
        breaker_openings,
        /// Packets passed to the back end.
        packets_delivered,
        /// Packets of the back end passed to callers.
        packets_answered,
        /// Packets that the back end returned.
        packets_returned,
        /// Packets whose flow this agent does not own.
        packets_not_held,
        /// Queries received asking whether this agent owns a flow.
        lookups_received,
        /// Flows that the back end has lost and whose callers were reset.
        flows_reset,
        /// Packets dropped because they do not decode.
        packets_malformed,
        /// Packets of possibly forgotten flows, delivered to the back end to decide.
packets_tried,
        /// Packets on trial passed on to other agents for balancers.
        trials_relayed,
        /// Messages from other nodes that do not decode.
        messages_malformed,
        /// Delegated store reads requested by balancers.
        store_errands,
        /// Heartbeats received from the back end.
        backend_reports,
        /// Heartbeats of the back end ignored because a newer one is known.
        backend_reports_outdated,
        /// Heartbeats of a different start than the known one, not yet accepted.
        backend_reports_doubted,
        /// Heartbeats ignored because they name another service than the back end's own.
        backend_reports_foreign,
        /// Messages of a back end ignored because they cannot be parsed.
        backend_reports_unreadable,
        /// Times that the back end stopped responding.
        backend_silences,
        /// Probes whether a process listens at the back end's port.
        backend_probes,
        /// Times that the back end's process was found to have exited.
        backend_ends,
        /// Configurations adopted.
        configurations_adopted,
        /// Configurations ignored because they contain nothing newer.
        configurations_passed_over,
    }
    gauges {
        /// The operator's number of the configuration in force.
        configuration_version,
        /// The highest configuration number reported by a peer.
        configuration_newest_heard,
        /// The store revision up to which all writes are in force; it falls when the era rises.
        configuration_revision,
        /// Era of the store: 1 plus the number of known restores from an older copy.
        store_era,
        /// Seconds since the configuration in force was adopted.
        configuration_age_seconds,
        /// Flows in the flow table.
        flows,
        /// Requests in progress or waiting at the back end.
        waiting,
        /// New flows queued until the back end has room.
        in_line,
        /// Known nodes.
        peers,
        /// Mean service time of a request at the back end, in microseconds.
        work_microseconds,
    }
}
