//! Once-only work.

use super::FaultCell::{Reason, Test};
use super::{FAULTS, ProtocolTable};

const PAIRS: &[&str] = &[
    "standins::once_faults::once_pairs_with_kill",
    "standins::once_faults::once_pairs_with_pause",
    "standins::once_faults::once_pairs_with_log_partition",
    "standins::once_faults::once_pairs_with_log_down",
    "standins::once_faults::once_pairs_with_log_slow",
    "standins::once_faults::once_pairs_with_log_unresponsive",
    "standins::once_faults::once_pairs_with_log_answer_lost",
    "standins::once_faults::once_pairs_with_log_append_lost",
    "standins::once_faults::once_pairs_with_service_answer_lost",
    "standins::once_faults::once_pairs_with_service_unresponsive",
    "standins::once_faults::once_pairs_with_service_crash",
];

pub const ONCE: ProtocolTable = ProtocolTable {
    faults: &FAULTS,
    name: "Once-only work",
    steps: &["claim the key", "dispatch", "record the outcome"],
    cells: &[
        &[
            Test(&[
                "standins::once_faults::claim_after_kill",
                "coordination::once::holder_killed_before_dispatch",
            ]),
            Test(&[
                "standins::once_faults::dispatch_under_kill",
                "coordination::once::holder_killed_after_dispatch",
            ]),
            Test(&["standins::once_faults::dispatch_under_kill"]),
        ],
        &[
            Test(&[
                "standins::once_faults::claim_while_paused",
                "coordination::once::holder_paused_past_deadline",
            ]),
            Test(&["standins::once_faults::dispatch_while_paused"]),
            Test(&["standins::once_faults::dispatch_while_paused"]),
        ],
        &[
            Test(&[
                "standins::once_faults::claim_while_partitioned_from_log",
                "coordination::once::home_unreached",
            ]),
            Test(&["standins::once_faults::dispatch_while_partitioned_from_log"]),
            Test(&["standins::once_faults::dispatch_while_partitioned_from_log"]),
        ],
        &[
            Test(&["standins::once_faults::claim_with_list_down"]),
            Test(&["persimmonlift::once_only::endpoints_down"]),
            Test(&["coordination::once::home_unreached"]),
        ],
        &[
            Test(&["standins::once_faults::claim_with_service_crashed"]),
            Test(&["standins::once_faults::dispatch_under_service_crash"]),
            Test(&["standins::once_faults::dispatch_under_service_crash"]),
        ],
        &[
            Test(&[
                "standins::once_faults::claim_with_log_down",
                "standins::once_faults::nothing_runs_with_log_down",
                "coordination::once::log_down",
            ]),
            Test(&["standins::once_faults::dispatch_with_log_down"]),
            Test(&[
                "coordination::once::answer_in_outage",
                "coordination::once::unknown_in_outage",
            ]),
        ],
        &[
            Test(&[
                "standins::once_faults::claim_with_log_slow",
                "coordination::once::unconfirmed_late",
            ]),
            Test(&["standins::once_faults::dispatch_with_log_slow"]),
            Test(&["standins::once_faults::dispatch_with_log_slow"]),
        ],
        &[
            Test(&[
                "standins::once_faults::claim_with_answer_lost",
                "coordination::once::run_answers_lost",
                "coordination::once::home_answer_lost",
            ]),
            Test(&[
                "standins::once_faults::dispatch_with_answer_lost",
                "standins::once_faults::unknown_outcome",
                "persimmonlift::once_only::answer_lost_after_the_run",
            ]),
            Test(&["standins::once_faults::dispatch_with_log_answer_lost"]),
        ],
        &[
            Reason("a claim is not a lease: it is granted once and not renewed"),
            Test(&[
                "coordination::once::holder_paused_past_deadline",
                "coordination::once::one_dispatch_a_permit",
            ]),
            Reason("an outcome is valid whenever it is appended"),
        ],
        &[
            Test(&[
                "standins::once_faults::racing_callers",
                "persimmonlift::once_only::concurrent_copies",
            ]),
            Reason("a call keeps the entry that it was admitted under"),
            Test(&[
                "coordination::once::resolution_is_final",
                "persimmonlift::once_only::operator_resolves_an_outcome",
            ]),
        ],
        &[
            Reason("a claim runs nothing"),
            Test(&["standins::once_faults::dispatch_under_service_crash"]),
            Test(&["standins::once_faults::unknown_outcome"]),
        ],
        &[
            Test(&[
                "standins::once_faults::claim_on_unresponsive_log_connection",
                "coordination::once::home_unresponsive",
            ]),
            Test(&["standins::once_faults::dispatch_on_unresponsive_connection"]),
            Test(&["standins::once_faults::dispatch_on_unresponsive_log_connection"]),
        ],
        &[
            Reason("a claim does not refer to an endpoint"),
            Test(&["persimmonlift::once_only::every_endpoint_down"]),
            Reason("an outcome is recorded without the endpoint"),
        ],
        &[Test(PAIRS), Test(PAIRS), Test(PAIRS)],
    ],
};
