//! Serving idempotent requests, and the planned stop of an instance.

use super::FaultCell::{Reason, Test};
use super::{FAULTS, ProtocolTable};

const NO_RECORD: &str = "serving appends no record";
const NO_LEASE: &str = "serving needs no lease";
const NO_EDIT: &str = "a request keeps the entry that it was admitted under";
const STOP_NO_RECORD: &str =
    "only the release of a lease is appended; without it the lease expires";
const STOP_NO_EDIT: &str = "a stop involves no edit";

pub const SERVING: ProtocolTable = ProtocolTable {
    faults: &FAULTS,
    name: "Serving an idempotent request",
    steps: &["choose an endpoint", "relay the answer"],
    cells: &[
        &[
            Test(&["standins::serving_faults::call_after_instance_kill"]),
            Test(&["standins::serving_faults::stream_with_instance_kill"]),
        ],
        &[
            Test(&[
                "standins::serving_faults::call_with_instance_paused",
                "standins::serving_faults::call_with_engine_paused",
            ]),
            Test(&[
                "standins::serving_faults::stream_with_instance_paused",
                "standins::serving_faults::stream_with_engine_paused",
                "persimmonlift::resume::engine_freezes",
            ]),
        ],
        &[
            Test(&[
                "standins::serving_faults::call_while_partitioned_from_log",
                "persimmonlift::peers::isolated_turns_unready",
            ]),
            Test(&["standins::serving_faults::stream_while_partitioned_from_log"]),
        ],
        &[
            Test(&[
                "standins::serving_faults::call_with_stale_reports",
                "standins::serving_faults::call_with_list_down",
            ]),
            Test(&[
                "standins::serving_faults::stream_with_stale_reports",
                "standins::serving_faults::stream_with_list_down",
            ]),
        ],
        &[
            Test(&["standins::serving_faults::call_after_engine_crash"]),
            Test(&[
                "standins::serving_faults::stream_with_engine_crash",
                "persimmonlift::resume::engine_crashes",
            ]),
        ],
        &[
            Test(&["standins::serving_faults::call_with_log_down"]),
            Test(&["standins::serving_faults::stream_with_log_down"]),
        ],
        &[
            Test(&["standins::serving_faults::call_with_log_slow"]),
            Test(&["standins::serving_faults::stream_with_log_slow"]),
        ],
        &[Reason(NO_RECORD), Test(&["persimmonlift::resume::connections_are_cut"])],
        &[Reason(NO_LEASE), Reason(NO_LEASE)],
        &[Reason(NO_EDIT), Reason(NO_EDIT)],
        &[
            Test(&[
                "standins::serving_faults::crashing_request",
                "persimmonlift::crashes::crashing_request_is_resent",
                "persimmonlift::peers::strike_is_sent_to_all",
            ]),
            Test(&["persimmonlift::crashes::concurrent_requests_are_answered"]),
        ],
        &[
            Test(&["standins::serving_faults::call_on_unresponsive_connections"]),
            Test(&[
                "standins::serving_faults::stream_on_unresponsive_connection",
                "persimmonlift::resume::connections_stop_responding",
            ]),
        ],
        &[
            Test(&[
                "standins::serving_faults::call_with_engine_withdrawn",
                "standins::serving_faults::withdrawn_engine_receives_no_requests",
            ]),
            Test(&[
                "standins::serving_faults::stream_with_engine_withdrawn",
                "persimmonlift::resume::engine_leaves",
            ]),
        ],
        &[
            Test(&["standins::serving_faults::call_with_log_down_and_engine_crash"]),
            Test(&[
                "standins::serving_faults::stream_with_engine_crash_and_unresponsive_connections",
            ]),
        ],
    ],
};

pub const STOP: ProtocolTable = ProtocolTable {
    faults: &FAULTS,
    name: "Planned stop of an instance",
    steps: &["become unready", "drain the requests in flight"],
    cells: &[
        &[
            Test(&["standins::serving_faults::stream_with_instance_kill"]),
            Test(&["standins::serving_faults::stream_with_instance_kill"]),
        ],
        &[
            Test(&["persimmonlift::whole_path::drain_serves_late_calls"]),
            Test(&["standins::serving_faults::drain_with_engine_paused"]),
        ],
        &[
            Reason("a stop needs no other instance; the list shows the instance as leaving"),
            Test(&["standins::serving_faults::drain_with_log_down"]),
        ],
        &[
            Test(&["standins::serving_faults::drain_with_list_down"]),
            Test(&["standins::serving_faults::drain_with_stale_reports"]),
        ],
        &[
            Test(&["standins::serving_faults::drain_with_engine_crash"]),
            Test(&["standins::serving_faults::drain_with_engine_crash"]),
        ],
        &[
            Test(&["standins::serving_faults::drain_with_log_down"]),
            Test(&["standins::serving_faults::drain_with_log_down"]),
        ],
        &[
            Test(&["standins::serving_faults::drain_with_log_slow"]),
            Test(&["standins::serving_faults::drain_with_log_slow"]),
        ],
        &[Reason(STOP_NO_RECORD), Reason(STOP_NO_RECORD)],
        &[
            Reason("a stopping instance releases its leases; an expired one needs no release"),
            Reason("requests in flight need no lease"),
        ],
        &[Reason(STOP_NO_EDIT), Reason(STOP_NO_EDIT)],
        &[
            Reason("becoming unready runs no request"),
            Test(&["standins::serving_faults::drain_with_engine_crash"]),
        ],
        &[
            Reason("becoming unready needs no connection"),
            Test(&["standins::serving_faults::drain_with_engine_unresponsive"]),
        ],
        &[
            Test(&["standins::serving_faults::drain_with_engine_withdrawn"]),
            Test(&["standins::serving_faults::drain_with_engine_withdrawn"]),
        ],
        &[
            Test(&["standins::serving_faults::drain_with_log_down_and_engine_crash"]),
            Test(&["standins::serving_faults::drain_with_log_down_and_engine_crash"]),
        ],
    ],
};
