//! Faults of the users' platform, against the ways of a request through an instance there.

use super::FaultCell::{Reason, Test};
use super::ProtocolTable;

/// Faults on the users' platform, one per row.
const PLATFORM_FAULTS: [&str; 37] = [
    "store comes back from a copy",
    "store away",
    "instance starts",
    "endpoint leaves by its own notice",
    "endpoint requests a pause",
    "endpoint names a limit",
    "bytes without end",
    "answer with neither length nor chunks",
    "request crashes endpoints",
    "prompt part crashes engines",
    "client leaves",
    "engines of two software versions",
    "instance cut from all endpoints",
    "all endpoints full, with slow work",
    "platform takes engines of a zone away",
    "orders for engines are declined or unanswered",
    "client reads slowly or nothing",
    "endpoint sends bytes that complete no event",
    "answer breaks off at any byte, in any framing",
    "endpoint answers 101",
    "answer breaks off halfway",
    "late second copy of an answer",
    "answer is lost, then another endpoint refuses",
    "value or datagram out of range",
    "endpoint is slow",
    "request arrives as a stopping instance closes",
    "all endpoints are silent for a second",
    "requests come until a stopping instance exits",
    "requests come late in the stop of a single instance",
    "all endpoints are silent beside a stopping instance",
    "instance gets a quarter of a core over its stop",
    "endpoint is silent over a whole stop",
    "body is still arriving",
    "client reads slowly at the exit",
    "background task ends",
    "only endpoint of a pool is silent",
    "instances are gone for good",
];

/// Serving on the users' platform.
pub const PLATFORM: ProtocolTable = ProtocolTable {
    name: "Serving on the users' platform",
    faults: &PLATFORM_FAULTS,
    steps: &["lookup or entry", "generation", "other instances"],
    cells: &[
        &[
            Test(&[
                "gateway::era::version_after_a_return_is_in_force_in_time",
                "gateway::era::configuration_does_not_go_back_with_the_store",
                "gateway::era::endpoint_that_left_before_a_return_gets_nothing",
                "gateway::era::endpoint_that_comes_after_a_return_is_used",
            ]),
            Reason("endpoints and configuration are the same for all requests"),
            Test(&[
                "gateway::era::version_after_a_return_is_in_force_in_time_at_all_instances",
                "gateway::era::endpoint_that_leaves_after_a_return_gets_nothing_from_all_instances",
                "gateway::era::own_entry_is_written_again",
            ]),
        ],
        &[
            Test(&[
                "gateway::config::requests_are_served_while_the_store_is_unavailable",
                "gateway::crashing_lookups::lookup_that_ends_endpoints_is_refused_without_the_store",
            ]),
            Reason("a request of any kind asks the store for nothing"),
            Test(&[
                "gateway::crash_evidence::crashing_request_is_refused_by_an_instance_without_the_list",
            ]),
        ],
        &[
            Test(&[
                "gateway::crash_evidence::crashing_request_is_refused_by_an_instance_that_is_just_ready",
                "gateway::retry_limits::instance_that_restarts_often_stays_within_the_slack",
            ]),
            Test(&[
                "gateway::crashing_parts::crashing_part_is_refused_by_an_instance_that_starts_later",
            ]),
            Test(&[
                "gateway::crash_evidence::crashing_request_is_refused_by_a_member_that_is_just_ready",
                "gateway::notices::leaving_endpoint_is_known_to_an_instance_that_starts_later",
                "gateway::repair_schedule::instance_without_facts_gets_one_at_once",
            ]),
        ],
        &[
            Test(&["gateway::notices::leaving_endpoint_gets_nothing_more"]),
            Test(&[
                "gateway::notices::endpoint_that_leaves_from_the_head_of_a_stream_gets_nothing_more",
                "gateway::notices::leaving_engine_reads_no_more_prompts",
            ]),
            Test(&["gateway::notices::leaving_endpoint_is_known_to_other_instances"]),
        ],
        &[
            Test(&[
                "gateway::notices::endpoint_that_sheds_gets_nothing_until_the_time_is_over",
                "gateway::notices::all_shedding_is_refused_at_once_with_the_shortest_time",
            ]),
            Test(&["gateway::notices::shedding_engine_gets_no_generations"]),
            Reason("a pause binds the instance that received it"),
        ],
        &[
            Test(&["gateway::rate_limits::limit_of_one_instance_holds"]),
            Test(&[
                "gateway::rate_limits::limit_of_prefill_engines_holds",
                "gateway::rate_limits::limit_of_decode_engines_holds",
            ]),
            Test(&[
                "gateway::rate_limits::limit_of_three_instances_holds",
                "gateway::rate_limits::limit_holds_through_leaders",
            ]),
        ],
        &[
            Test(&[
                "gateway::flood::body_without_end_is_retried",
                "gateway::flood::head_without_end_is_retried",
                "gateway::flood::chunk_size_without_end_is_retried",
                "gateway::flood::sound_service_is_served_beside_endless_chunk_sizes",
            ]),
            Test(&[
                "gateway::flood::first_event_without_end_is_cut",
                "gateway::flood::later_chunk_size_without_end_is_cut",
            ]),
            Reason("instances read no answers of each other's endpoints"),
        ],
        &[
            Test(&["gateway::unframed::plain_answer_is_whole"]),
            Test(&[
                "gateway::unframed::stream_that_ends_inside_an_event_is_cut",
                "gateway::unframed::stream_that_ends_inside_an_event_is_resumed",
                "gateway::unframed::half_an_answer_of_a_prompt_read_apart_is_not_used",
            ]),
            Reason("instances read no answers of each other's endpoints"),
        ],
        &[
            Test(&[
                "gateway::crash_evidence::crashing_request_without_a_body_is_refused",
                "gateway::crashing_lookups::lookup_that_ends_endpoints_is_refused",
                "gateway::crashing_lookups::request_with_a_body_that_ends_endpoints_is_refused",
            ]),
            Test(&["decide::serving_crash_table::third_crash_refuses"]),
            Test(&[
                "gateway::crashes::crashing_request_is_refused_by_all_instances",
                "gateway::crashing_lookups::lookup_that_ends_endpoints_is_refused_beside_restarts",
            ]),
        ],
        &[
            Reason("plain requests have no prompt parts"),
            Test(&[
                "gateway::crashing_parts::crashing_part_is_refused",
                "gateway::crashing_parts::crashing_part_of_prompts_read_apart_is_refused",
                "gateway::crashing_parts::rare_neighbours_of_a_crashing_part_are_served",
            ]),
            Test(&[
                "gateway::crashing_parts::two_crashing_parts_are_refused",
                "gateway::messages::facts_on_the_parts_of_a_crash_take_few_bytes",
            ]),
        ],
        &[
            Test(&[
                "gateway::crashing_lookups::lookup_whose_client_leaves_before_the_end_is_refused",
            ]),
            Test(&[
                "gateway::streams::client_disconnect_ends_the_stream",
                "gateway::crashing_parts::crashing_part_whose_clients_leave_before_the_end_is_refused",
            ]),
            Reason("only the instance that the client called knows of it"),
        ],
        &[
            Reason("plain requests have no streams"),
            Test(&[
                "gateway::software_versions::stream_is_resumed_at_its_software_version",
                "gateway::software_versions::prompt_is_read_and_answered_at_one_software_version",
                "gateway::software_versions::stream_is_not_resumed_at_an_engine_that_came_back",
            ]),
            Test(&[
                "gateway::software_versions::stream_is_taken_up_at_its_software_version_after_a_kill",
                "gateway::software_versions::stream_is_taken_up_at_its_software_version_by_new_instances",
            ]),
        ],
        &[
            Test(&[
                "gateway::cut_instances::callers_of_instances_that_hang_are_served",
                "gateway::cut_instances::callers_of_instances_without_new_connections_are_served",
            ]),
            Test(&["gateway::cut_instances::stream_goes_on_through_another_instance"]),
            Test(&[
                "gateway::cut_instances::callers_of_most_instances_that_are_reset_are_served",
                "gateway::cut_instances::requests_are_refused_at_once_while_all_instances_are_cut",
            ]),
        ],
        &[
            Test(&[
                "gateway::cut_instances::slow_work_of_a_full_service_is_not_taken_for_a_cut_link",
                "gateway::cut_instances::waiting_requests_of_a_full_service_are_not_taken_for_a_cut_link",
                "gateway::cut_instances::cut_from_full_services_is_noticed",
            ]),
            Test(&["decide::serving_link::silent_check_of_full_endpoints_shows_nothing"]),
            Reason("nothing is relayed"),
        ],
        &[
            Reason("engines serve no lookups"),
            Test(&[
                "decide::serving_fleet_size::taken_away_engines_are_ordered_elsewhere_at_once",
                "decide::serving_fleet_size::loss_after_a_lowering_order_is_noticed",
                "gateway::scaling::taken_away_engines_are_replaced_elsewhere",
                "loadmodel::scaling::loss_of_a_zones_engines_is_served_in_time",
            ]),
            Test(&["gateway::scaling::next_holder_goes_on"]),
        ],
        &[
            Reason("engines serve no lookups"),
            Test(&[
                "decide::serving_fleet_size::unavailable_zone_is_tried_again_with_backoff",
                "decide::serving_fleet_size::unanswered_order_is_not_contradicted",
                "gateway::scaling::zone_without_engines_is_left_out",
            ]),
            Test(&["decide::serving_fleet_size::next_holder_goes_on"]),
        ],
        &[
            Test(&[
                "gateway::slow_readers::slow_clients_of_plain_answers_stay_within_the_memory",
                "gateway::slow_readers::slow_request_bodies_stay_within_the_memory",
            ]),
            Test(&[
                "gateway::slow_readers::stream_of_a_slow_client_is_whole",
                "gateway::slow_readers::slow_clients_of_streams_stay_within_the_memory",
                "gateway::slow_readers::client_that_never_reads_frees_the_engine",
            ]),
            Reason("the relaying instance reads on in the same way"),
        ],
        &[
            Reason("a plain answer ends at its time limit"),
            Test(&[
                "gateway::slow_readers::stream_that_completes_no_event_is_given_up",
                "gateway::slow_readers::resumable_stream_that_completes_no_event_is_resumed",
            ]),
            Reason("given up there after the same time, here after twice that"),
        ],
        &[
            Test(&[
                "gateway::cut_answers::cut_answers_to_once_only_requests_are_not_framed_as_whole",
                "gateway::cut_answers::cut_answers_to_hedged_requests_are_not_framed_as_whole",
            ]),
            Test(&[
                "gateway::cut_answers::cut_streams_that_may_be_resumed_are_not_framed_as_whole",
                "gateway::cut_answers::cut_answers_of_engines_that_only_read_the_prompt_are_not_used",
            ]),
            Test(&[
                "gateway::cut_answers::cut_answers_to_relayed_once_only_requests_are_not_framed_as_whole",
                "gateway::cut_answers::cut_streams_of_another_instance_are_not_framed_as_whole",
            ]),
        ],
        &[
            Test(&["gateway::cut_answers::switch_of_protocols_is_no_answer"]),
            Reason("the same exchange"),
            Reason("the same exchange"),
        ],
        &[
            Test(&["gateway::plain::lookup_is_retried_after_a_truncated_answer"]),
            Test(&[
                "gateway::streams::stream_without_its_last_chunk_is_cut",
                "gateway::streams::cut_stream_to_a_client_of_http_1_0_is_reset",
            ]),
            Reason("relayed in chunks, with the same check"),
        ],
        &[
            Test(&[
                "gateway::late_answers::late_copy_without_an_id_reaches_no_other_caller",
                "gateway::late_answers::late_copy_with_an_equal_id_reaches_no_other_caller",
            ]),
            Reason("the same check of each head"),
            Reason("instances send no second copies"),
        ],
        &[
            Test(&["gateway::late_answers::limit_after_a_lost_answer_is_no_promise"]),
            Reason("the same check of each complete answer"),
            Reason("the same for an answer of the instance that relays"),
        ],
        &[
            Test(&[
                "gateway::extreme_values::largest_idle_timeout",
                "gateway::extreme_values::largest_values_of_a_configuration",
            ]),
            Reason("the same connections and limits"),
            Test(&["gateway::extreme_values::damaged_datagrams"]),
        ],
        &[
            Test(&["gateway::hedges::late_request_is_hedged_and_the_loser_cancelled"]),
            Test(&[
                "gateway::hedges::late_resumable_stream_is_hedged_before_its_first_event",
                "gateway::hedges::long_prompt_is_not_hedged",
            ]),
            Reason("each instance learns by itself"),
        ],
        &[
            Test(&[
                "gateway::drain::requests_that_arrive_with_the_close_are_served",
                "gateway::drain::connections_that_arrive_with_the_end_are_served",
            ]),
            Reason("the same connections"),
            Reason("a stopping instance declines relayed requests"),
        ],
        &[
            Test(&["gateway::config_changes::requests_outlast_the_silence_of_all_endpoints"]),
            Reason("the same test"),
            Test(&[
                "gateway::config_changes::requests_to_a_fleet_outlast_the_silence_of_all_endpoints",
            ]),
        ],
        &[
            Test(&[
                "gateway::stop::requests_that_come_until_the_end_are_answered",
                "gateway::stop::signals_while_stopping_cut_nothing",
            ]),
            Test(&["gateway::drain::stream_that_may_outlast_the_drain_is_refused"]),
            Reason("a stopping instance declines relayed requests"),
        ],
        &[
            Test(&[
                "gateway::late_requests::late_entries_have_a_known_outcome",
                "gateway::late_requests::late_entries_on_open_connections_have_a_known_outcome",
            ]),
            Test(&[
                "gateway::late_requests::late_streams_are_whole_or_refused",
                "gateway::drain::stream_that_may_outlast_the_final_answers_is_refused",
            ]),
            Test(&[
                "gateway::late_requests::late_relayed_entries_have_a_known_outcome",
                "gateway::late_requests::late_entries_that_a_stopping_instance_relays_have_a_known_outcome",
            ]),
        ],
        &[
            Test(&[
                "gateway::stopping_relays::requests_wait_for_their_endpoint_beside_a_stopping_instance",
            ]),
            Test(&[
                "gateway::stopping_relays::stream_waits_for_its_engine_beside_a_stopping_instance",
            ]),
            Reason("a stopping instance says that it takes nothing over"),
        ],
        &[
            Test(&["gateway::stop::slowed_instance_answers_hundreds_of_requests_at_the_end"]),
            Reason("the same final answers"),
            Reason("the same final answers"),
        ],
        &[
            Test(&["gateway::stop::silent_endpoint_is_answered_for_at_the_end"]),
            Test(&["gateway::stop::cut_stream_is_named_in_the_log"]),
            Reason("relayed requests get the same final answer"),
        ],
        &[
            Test(&[
                "gateway::stop::unfinished_body_is_answered_at_the_end",
                "gateway::stop::starting_instance_refuses_a_body_in_chunks",
            ]),
            Reason("bodies of generations are read in the same way"),
            Reason("instances send whole bodies"),
        ],
        &[
            Test(&["gateway::stop::large_answer_to_a_slow_client_outlasts_the_process"]),
            Test(&["gateway::stop::cut_stream_is_named_in_the_log"]),
            Test(&["gateway::early_refusals::declined_relay_reaches_its_sender_over_the_exit"]),
        ],
        &[
            Test(&["gateway::failed_task::requests_are_answered_after_the_end_of_a_task"]),
            Reason("the same final answers"),
            Reason("relayed requests get the same final answer"),
        ],
        &[
            Test(&[
                "gateway::config_changes::requests_outlast_a_silence_of_the_only_endpoint_while_the_other_instance_stops",
            ]),
            Test(&[
                "gateway::config_changes::begun_streams_outlast_a_silence_of_the_store_and_all_endpoints",
            ]),
            Test(&[
                "gateway::silent_endpoints::requests_to_silent_endpoints_keep_to_their_attempts",
            ]),
        ],
        &[
            Reason("requests need no other instance"),
            Reason("streams need no other instance"),
            Test(&[
                "gateway::gone_instances::crashing_request_is_refused_after_most_instances_are_killed",
            ]),
        ],
    ],
};
