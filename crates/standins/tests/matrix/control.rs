//! Catalogue edits and leases.

use super::FaultCell::{Reason, Test};
use super::{FAULTS, ProtocolTable};

const NO_ENGINE: &str = "no engine or request is involved";
const NO_LEASE: &str = "an edit needs no lease; its base revision is checked";
const NO_OPERATOR: &str = "operators don't control leases";
const FROM_LOG: &str = "a lease is read from the log alone";

pub const EDIT: ProtocolTable = ProtocolTable {
    faults: &FAULTS,
    name: "Catalogue edit",
    steps: &["append the edit", "propagate it"],
    cells: &[
        &[
            Test(&["coordination::catalogue::editor_killed"]),
            Test(&["standins::edit_faults::edit_survives_kill_of_editor"]),
        ],
        &[
            Test(&["coordination::catalogue::edit_late_after_give_up"]),
            Test(&["standins::edit_faults::edit_reaches_paused_instance"]),
        ],
        &[
            Test(&[
                "coordination::catalogue::partition_of_log",
                "coordination::catalogue::partition_of_both",
            ]),
            Test(&[
                "standins::edit_faults::edit_reaches_partitioned_instance",
                "persimmonlift::peers::edit_is_relayed_by_peers",
            ]),
        ],
        &[
            Reason("an edit reads neither reports nor the list"),
            Test(&["standins::edit_faults::edit_with_list_down"]),
        ],
        &[Reason(NO_ENGINE), Reason(NO_ENGINE)],
        &[
            Test(&[
                "standins::edit_faults::edit_with_log_down",
                "standins::edit_faults::edit_refused_has_no_effect",
                "persimmonlift::admin::log_is_down",
            ]),
            Test(&["coordination::catalogue::edit_in_outage"]),
        ],
        &[
            Test(&["standins::edit_faults::edit_with_log_slow"]),
            Test(&["coordination::catalogue::slow_log"]),
        ],
        &[
            Test(&[
                "standins::edit_faults::edit_with_answer_lost",
                "coordination::catalogue::edit_answer_lost",
            ]),
            Reason("reading has no effect whose answer could be lost"),
        ],
        &[Reason(NO_LEASE), Reason(NO_LEASE)],
        &[
            Test(&[
                "standins::edit_faults::edits_race",
                "coordination::catalogue::race",
                "persimmonlift::admin::edit_and_late_edit",
            ]),
            Test(&["standins::edit_faults::edits_race_with_answer_lost"]),
        ],
        &[Reason(NO_ENGINE), Reason(NO_ENGINE)],
        &[
            Test(&["standins::edit_faults::edit_on_unresponsive_connection"]),
            Test(&["standins::edit_faults::edit_on_unresponsive_connection"]),
        ],
        &[Reason(NO_ENGINE), Reason(NO_ENGINE)],
        &[
            Test(&[
                "standins::edit_faults::edit_with_log_slow_and_answer_lost",
                "coordination::catalogue::editor_killed_answer_lost",
            ]),
            Test(&["coordination::catalogue::retention_with_instances_replaced"]),
        ],
    ],
};

pub const LEASE: ProtocolTable = ProtocolTable {
    faults: &FAULTS,
    name: "Lease of a duty",
    steps: &["claim", "renew", "act under the lease"],
    cells: &[
        &[
            Test(&["coordination::lease::killed_holder_is_replaced"]),
            Test(&["coordination::lease::killed_holder_is_replaced"]),
            Test(&["persimmonlift::planner::holder_killed_half_way"]),
        ],
        &[
            Test(&["coordination::lease::one_holder_cut_off"]),
            Test(&["coordination::lease::one_holder_cut_off"]),
            Test(&["standins::role_faults::change_pairs_with_holder_paused"]),
        ],
        &[
            Test(&["coordination::lease::one_holder_cut_off"]),
            Test(&["coordination::lease::one_holder_cut_off"]),
            Test(&["standins::role_faults::change_pairs_with_holder_partitioned"]),
        ],
        &[
            Reason(FROM_LOG),
            Reason(FROM_LOG),
            Test(&[
                "coordination::lease::open_order_of_listed_holder",
                "coordination::lease::open_order_of_gone_holder",
            ]),
        ],
        &[
            Reason(NO_ENGINE),
            Reason(NO_ENGINE),
            Test(&["persimmonlift::planner::engine_crash_half_way"]),
        ],
        &[
            Test(&["coordination::lease::one_holder_log_down"]),
            Test(&["coordination::lease::one_holder_log_down"]),
            Test(&["persimmonlift::planner::log_outage_half_way"]),
        ],
        &[
            Test(&["coordination::lease::one_holder_log_slow"]),
            Test(&["coordination::lease::one_holder_log_slow"]),
            Test(&["standins::role_faults::change_pairs_with_log_slow"]),
        ],
        &[
            Test(&["coordination::lease::one_holder_answers_lost"]),
            Test(&["coordination::lease::one_holder_answers_lost"]),
            Test(&["coordination::lease::plan_answers_lost"]),
        ],
        &[
            Test(&["coordination::lease::one_holder_appends_late"]),
            Test(&["coordination::lease::one_holder_cut_off"]),
            Test(&[
                "coordination::lease::stale_holder_plans",
                "coordination::lease::stale_holder_orders",
                "coordination::lease::stale_holder_opens",
                "coordination::lease::stale_holder_withdraws",
            ]),
        ],
        &[Reason(NO_OPERATOR), Reason(NO_OPERATOR), Reason(NO_OPERATOR)],
        &[Reason(NO_ENGINE), Reason(NO_ENGINE), Reason("no request runs under a lease")],
        &[
            Test(&["coordination::lease::one_holder_on_unresponsive_connection"]),
            Test(&["coordination::lease::one_holder_on_unresponsive_connection"]),
            Test(&["standins::role_faults::change_pairs_with_engine_unresponsive"]),
        ],
        &[
            Reason(NO_ENGINE),
            Reason(NO_ENGINE),
            Test(&["persimmonlift::planner::engine_withdrawn_half_way"]),
        ],
        &[
            Test(&["standins::role_faults::change_pairs_with_holder_killed"]),
            Test(&["standins::role_faults::change_pairs_with_holder_partitioned"]),
            Test(&["standins::role_faults::change_pairs_with_holder_paused"]),
        ],
    ],
};
