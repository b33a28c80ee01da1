//! Faults of usage reports on the users' platform.

use super::FaultCell::{self, Reason, Test};
use super::ProtocolTable;

/// Faults of usage reports, one per row.
const USAGE_FAULTS: [&str; 12] = [
    "instance killed",
    "instance stopped",
    "holder killed",
    "holder killed with an instance",
    "holder frozen",
    "clocks stepped",
    "messages lost or overtaken",
    "store away",
    "store comes back from a copy",
    "control API silent or refusing",
    "connection that is not accepted while a second copy is sent",
    "instance cut from the endpoints",
];

const NO_REQUEST: FaultCell = Reason("no request is involved");
const NO_CONTROL: FaultCell = Reason("counting doesn't call the control API");

/// Usage reports on the users' platform.
pub const USAGE: ProtocolTable = ProtocolTable {
    name: "Usage reports on the users' platform",
    faults: &USAGE_FAULTS,
    steps: &["count and send", "fix the report", "send the report"],
    cells: &[
        &[
            Test(&[
                "gateway::usage::killed_instance_is_counted_up_to_its_last_message",
                "decide::serving_usage::instance_that_dies_in_mid_window_is_counted_up_to_its_last_message",
            ]),
            Test(&["decide::serving_usage::silent_instance_is_waited_for_while_time_allows"]),
            Reason("only the holder sends reports"),
        ],
        &[
            Test(&["gateway::usage::stopped_instances_send_their_last_counts"]),
            Test(&["decide::serving_usage::instance_that_stops_is_not_waited_for"]),
            Test(&["gateway::duty_values::release_waits_for_a_call"]),
        ],
        &[
            Test(&["decide::serving_usage::new_holder_waits_for_the_counts_of_all"]),
            Test(&[
                "decide::serving_usage::window_that_was_fixed_is_not_fixed_again_by_the_next_holder",
            ]),
            Test(&["gateway::usage::next_holder_repeats_fixed_reports_to_the_byte"]),
        ],
        &[
            Test(&["decide::serving_usage::holder_that_dies_with_an_instance_leaves_a_snapshot"]),
            Test(&["decide::serving_usage::snapshot_of_silent_instances_has_their_counts"]),
            Test(&["gateway::usage::next_holder_repeats_fixed_reports_to_the_byte"]),
        ],
        &[
            Test(&["gateway::usage::frozen_holder_is_replaced_and_reports_nothing_different"]),
            Test(&["gateway::usage::frozen_holder_is_replaced_and_reports_nothing_different"]),
            Test(&["gateway::usage::frozen_holder_is_replaced_and_reports_nothing_different"]),
        ],
        &[
            Test(&[
                "decide::serving_true_time::clock_stepped_forward_and_back",
                "decide::serving_true_time::clock_stepped_back_and_forward",
                "decide::serving_true_time::clock_stepped_at_the_start_and_back",
                "decide::serving_true_time::third_of_the_clocks_is_wrong_in_both_directions",
            ]),
            Test(&["decide::serving_true_time::few_of_many_clocks_decide_nothing"]),
            Reason("what is fixed doesn't depend on a clock any more"),
        ],
        &[
            Test(&[
                "decide::serving_usage::counts_are_exact_though_half_of_the_messages_are_lost",
                "decide::serving_usage::counts_are_exact_though_messages_are_overtaken",
            ]),
            Test(&["decide::serving_usage::window_is_open_until_its_counts_are_acknowledged"]),
            Reason("reports are no messages between instances"),
        ],
        &[
            Test(&["decide::serving_usage::counts_wait_while_the_store_is_down"]),
            Test(&["gateway::usage::reports_wait_while_the_store_is_down"]),
            Test(&["gateway::usage::reports_wait_while_the_store_is_down"]),
        ],
        &[
            Test(&[
                "decide::serving_usage::window_that_instances_know_as_fixed_is_not_fixed_again",
            ]),
            Test(&["decide::serving_usage::first_window_after_a_lost_history_is_not_reported"]),
            Test(&["gateway::usage::no_window_is_reported_anew_after_a_return_of_the_store"]),
        ],
        &[
            NO_CONTROL,
            Test(&["gateway::usage::reports_wait_while_the_control_api_is_silent"]),
            Test(&[
                "gateway::usage::reports_wait_while_the_control_api_is_silent",
                "gateway::usage::holder_that_conflicts_makes_no_further_call",
            ]),
        ],
        &[
            Test(&["gateway::usage::request_whose_second_copy_alone_is_sent_is_counted"]),
            NO_REQUEST,
            NO_REQUEST,
        ],
        &[
            Test(&[
                "gateway::usage::relayed_requests_are_counted_once",
                "gateway::usage::request_that_another_instance_has_counted_is_not_counted",
            ]),
            NO_REQUEST,
            NO_REQUEST,
        ],
    ],
};
