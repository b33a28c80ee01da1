//! Planned change of an engine.

use super::FaultCell::{Reason, Test};
use super::{FAULTS, ProtocolTable};

const NO_REQUEST: &str = "no request reaches an engine by this step";
const PAIRS: &[&str] = &[
    "standins::role_faults::change_pairs_with_holder_killed",
    "standins::role_faults::change_pairs_with_holder_partitioned",
    "standins::role_faults::change_pairs_with_holder_paused",
    "standins::role_faults::change_pairs_with_log_down",
    "standins::role_faults::change_pairs_with_log_slow",
    "standins::role_faults::change_pairs_with_log_answer_lost",
    "standins::role_faults::change_pairs_with_engine_crash",
    "standins::role_faults::change_pairs_with_engine_unresponsive",
    "standins::role_faults::change_pairs_with_engine_paused",
    "standins::role_faults::change_pairs_with_holder_killed_ignoring_fence",
];

pub const CHANGE: ProtocolTable = ProtocolTable {
    faults: &FAULTS,
    name: "Planned change of an engine",
    steps: &["plan", "confirm", "drain", "order", "open"],
    cells: &[
        &[
            Test(&["decide::change::unordered_plan_of_an_earlier_holder_is_withdrawn"]),
            Test(&["decide::change::unconfirmed_too_long_is_withdrawn"]),
            Test(&["decide::change::unordered_plan_of_an_earlier_holder_is_withdrawn"]),
            Test(&[
                "persimmonlift::planner::holder_killed_half_way",
                "persimmonlift::planner::holder_killed_half_way_before_engines_that_ignore_fences",
            ]),
            Test(&["decide::change::recorded_change_is_opened"]),
        ],
        &[
            Test(&["coordination::lease::stale_holder_plans"]),
            Test(&["persimmonlift::planner::unconfirmed_plan_orders_nothing"]),
            Test(&["decide::change::silent_engine_waits"]),
            Test(&["standins::role_faults::change_pairs_with_holder_paused"]),
            Test(&["coordination::lease::stale_holder_opens"]),
        ],
        &[
            Test(&["coordination::lease::one_holder_cut_off"]),
            Test(&["persimmonlift::peers::unread_plan_is_not_confirmed"]),
            Test(&["decide::change::work_of_an_unlisted_instance_waits"]),
            Test(&["standins::role_faults::change_pairs_with_holder_partitioned"]),
            Test(&["standins::role_faults::change_pairs_with_holder_partitioned"]),
        ],
        &[
            Test(&["decide::change::withdrawn_engine_ends_the_plan"]),
            Test(&["persimmonlift::planner::unconfirmed_plan_orders_nothing"]),
            Test(&["decide::change::work_of_an_unlisted_instance_waits"]),
            Test(&["coordination::lease::open_order_of_listed_holder"]),
            Test(&["decide::change::changing_engine_waits"]),
        ],
        &[
            Test(&["decide::change::silent_engine_waits"]),
            Test(&["decide::change::unconfirmed_is_never_ordered_on_an_idle_engine"]),
            Test(&["decide::change::silent_engine_waits"]),
            Test(&[
                "persimmonlift::planner::engine_crash_half_way",
                "decide::change::engine_back_in_its_old_role_is_ordered_again",
            ]),
            Test(&["standins::role_faults::change_pairs_with_engine_crash"]),
        ],
        &[
            Test(&["coordination::lease::one_holder_log_down"]),
            Test(&["decide::change::unconfirmed_waits"]),
            Test(&["standins::role_faults::change_pairs_with_log_down"]),
            Test(&["persimmonlift::planner::log_outage_half_way"]),
            Test(&["standins::role_faults::change_pairs_with_log_down"]),
        ],
        &[
            Test(&["coordination::lease::one_holder_log_slow"]),
            Test(&["decide::change::unconfirmed_waits"]),
            Test(&["standins::role_faults::change_pairs_with_log_slow"]),
            Test(&["standins::role_faults::change_pairs_with_log_slow"]),
            Test(&["standins::role_faults::change_pairs_with_log_slow"]),
        ],
        &[
            Test(&["coordination::lease::plan_answers_lost"]),
            Test(&["decide::change::unconfirmed_waits"]),
            Reason("draining sends no order and appends no record"),
            Test(&[
                "decide::change::lost_order_is_repeated",
                "standins::role_faults::change_pairs_with_log_answer_lost",
            ]),
            Test(&["standins::role_faults::change_pairs_with_log_answer_lost"]),
        ],
        &[
            Test(&["coordination::lease::stale_holder_plans"]),
            Test(&["decide::change::unordered_plan_of_an_earlier_holder_is_withdrawn"]),
            Test(&["coordination::lease::stale_holder_withdraws"]),
            Test(&[
                "coordination::lease::stale_holder_orders",
                "decide::change::fencing_engine_is_shown_the_new_number",
                "decide::change::other_engine_waits_for_a_listed_sender",
            ]),
            Test(&["coordination::lease::stale_holder_opens"]),
        ],
        &[
            Reason("a plan is based on the entry in force; the log orders concurrent edits"),
            Reason("confirmations depend on the plan, not on the catalogue"),
            Reason("a drain depends on the plan, not on the catalogue"),
            Test(&["decide::change::refused_order_ends_the_plan"]),
            Reason("an ordered change is always opened; a later edit leads to a new plan"),
        ],
        &[
            Reason(NO_REQUEST),
            Reason(NO_REQUEST),
            Test(&["decide::change::silent_engine_waits"]),
            Reason(NO_REQUEST),
            Reason(NO_REQUEST),
        ],
        &[
            Test(&["coordination::lease::one_holder_on_unresponsive_connection"]),
            Test(&["peer::calls::unresponsive_connection"]),
            Test(&["decide::change::silent_engine_waits"]),
            Test(&["standins::role_faults::change_pairs_with_engine_unresponsive"]),
            Test(&["standins::role_faults::change_pairs_with_engine_unresponsive"]),
        ],
        &[
            Test(&["decide::change::withdrawn_engine_ends_the_plan"]),
            Test(&["decide::change::withdrawn_engine_ends_the_plan"]),
            Test(&["decide::change::withdrawn_engine_ends_the_plan"]),
            Test(&[
                "persimmonlift::planner::engine_withdrawn_half_way",
                "decide::change::engine_gone_after_the_order_is_recorded",
            ]),
            Test(&["standins::role_faults::change_pairs_with_engine_crash"]),
        ],
        &[
            Test(&["decide::change::silent_engine_waits_for_a_listed_sender"]),
            Test(PAIRS),
            Test(PAIRS),
            Test(PAIRS),
            Test(PAIRS),
        ],
    ],
};
