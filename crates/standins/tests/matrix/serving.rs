//! Serving idempotent requests, and the planned stop of an instance.

use super::FaultCell::{Reason, Test};
use super::ProtocolTable;

const NO_RECORD: &str = "serving appends no record";
const NO_LEASE: &str = "serving needs no lease";
const NO_EDIT: &str = "a request keeps the entry that it was admitted under";
const STOP_NO_RECORD: &str = "only a lease's release is appended, which lapses otherwise";
const STOP_NO_EDIT: &str = "no edit is part of a stop";

pub const SERVING: ProtocolTable = ProtocolTable {
    name: "Serving an idempotent request",
    steps: &["choose an endpoint", "relay the answer"],
    cells: &[
        &[
            Test(&["standins::serving_faults::call_after_kill_of_instance"]),
            Test(&["standins::serving_faults::stream_over_kill_of_instance"]),
        ],
        &[
            Test(&[
                "standins::serving_faults::call_while_paused",
                "standins::serving_faults::call_with_engine_paused",
            ]),
            Test(&[
                "standins::serving_faults::stream_while_paused",
                "standins::serving_faults::stream_over_paused_engine",
                "persimmonlift::resume::engine_freezes",
            ]),
        ],
        &[
            Test(&[
                "standins::serving_faults::call_while_parted_from_log",
                "persimmonlift::peers::isolated_turns_unready",
            ]),
            Test(&["standins::serving_faults::stream_while_parted_from_log"]),
        ],
        &[
            Test(&[
                "standins::serving_faults::call_with_late_reports",
                "standins::serving_faults::call_with_list_down",
            ]),
            Test(&[
                "standins::serving_faults::stream_with_late_reports",
                "standins::serving_faults::stream_with_list_down",
            ]),
        ],
        &[
            Test(&["standins::serving_faults::call_after_engine_crash"]),
            Test(&[
                "standins::serving_faults::stream_over_engine_crash",
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
            Test(&["standins::serving_faults::call_on_silent_connections"]),
            Test(&[
                "standins::serving_faults::stream_over_silent_connection",
                "persimmonlift::resume::connections_stop_responding",
            ]),
        ],
        &[
            Test(&[
                "standins::serving_faults::call_with_engine_withdrawn",
                "standins::serving_faults::withdrawn_engine_is_left_alone",
            ]),
            Test(&[
                "standins::serving_faults::stream_over_withdrawn_engine",
                "persimmonlift::resume::engine_leaves",
            ]),
        ],
        &[
            Test(&["standins::serving_faults::call_with_log_down_and_engine_crash"]),
            Test(&["standins::serving_faults::stream_over_crash_and_silence"]),
        ],
    ],
};

pub const STOP: ProtocolTable = ProtocolTable {
    name: "Planned stop of an instance",
    steps: &["turn unready", "end the requests in flight"],
    cells: &[
        &[
            Test(&["standins::serving_faults::stream_over_kill_of_instance"]),
            Test(&["standins::serving_faults::stream_over_kill_of_instance"]),
        ],
        &[
            Test(&["persimmonlift::whole_path::drain_serves_late_calls"]),
            Test(&["standins::serving_faults::drain_with_engine_paused"]),
        ],
        &[
            Reason("a stop asks nobody; the list says that the instance leaves"),
            Test(&["standins::serving_faults::drain_with_log_down"]),
        ],
        &[
            Test(&["standins::serving_faults::drain_with_list_down"]),
            Test(&["standins::serving_faults::drain_with_late_reports"]),
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
            Reason("a stopping instance gives its leases up; a lapsed one is gone already"),
            Reason("requests in flight need no lease"),
        ],
        &[Reason(STOP_NO_EDIT), Reason(STOP_NO_EDIT)],
        &[
            Reason("turning unready runs no request"),
            Test(&["standins::serving_faults::drain_with_engine_crash"]),
        ],
        &[
            Reason("turning unready needs no connection"),
            Test(&["standins::serving_faults::drain_with_engine_silent"]),
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
