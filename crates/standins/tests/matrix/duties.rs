//! Faults of the lease of the duties on the users' platform.

use super::FaultCell::{self, Reason, Test};
use super::ProtocolTable;

/// Faults of the lease, one per row.
const DUTY_FAULTS: [&str; 13] = [
    "holder killed",
    "holder frozen",
    "machine suspended",
    "holder stopped",
    "holder starts again",
    "holder cut from the store",
    "store away",
    "append carried out late",
    "answer lost",
    "history or record lost",
    "store comes back from a copy",
    "two candidates at once",
    "messages lost, malformed or of another version",
];

const MODEL: &str = "decide::serving_duty_lease_model::one_holder_through_faults";
const SOAK: &str = "gateway::duty_soak::calls_are_right_through_faults";
const NO_MESSAGE: FaultCell = Reason("the lease is read from the store alone");

/// Lease of the duties on the users' platform.
pub const DUTIES: ProtocolTable = ProtocolTable {
    name: "Lease of the duties on the users' platform",
    faults: &DUTY_FAULTS,
    steps: &["acquire", "renew and record", "act under the lease"],
    cells: &[
        &[
            Test(&["gateway::duties::another_acquires_after_sigkill_of_the_holder"]),
            Test(&["gateway::duties::another_acquires_after_sigkill_of_the_holder"]),
            Test(&[MODEL, SOAK]),
        ],
        &[
            Test(&["gateway::duties::another_acquires_after_sigstop_of_the_holder"]),
            Test(&["gateway::duties::another_acquires_after_sigstop_of_the_holder"]),
            Test(&[MODEL]),
        ],
        &[Test(&[MODEL]), Test(&[MODEL]), Test(&["decide::serving_duty_lease::suspension_counts"])],
        &[
            Test(&["gateway::duties::sigterm_hands_the_lease_over_at_once"]),
            Test(&["gateway::duties::sigterm_without_a_store_is_not_delayed"]),
            Test(&["gateway::duty_values::release_waits_for_a_call"]),
        ],
        &[
            Test(&[
                "gateway::duties::restarted_holder_waits_and_takes_a_higher_token",
                "decide::serving_duty_lease::holder_before_the_last_two_waits_after_a_release",
            ]),
            Test(&["gateway::duty_values::next_holder_has_the_values"]),
            Test(&["decide::serving_duty_lease::holder_before_the_last_one_waits_after_a_release"]),
        ],
        &[
            Test(&[
                "gateway::duties::another_acquires_if_only_the_holder_is_cut_off_from_the_store",
            ]),
            Test(&[
                "gateway::duties::another_acquires_if_only_the_holder_is_cut_off_from_the_store",
            ]),
            Test(&[MODEL]),
        ],
        &[
            Test(&["gateway::duties::lease_is_held_again_after_the_store_was_away"]),
            Test(&["gateway::duty_values::write_to_a_store_that_is_away_ends"]),
            Test(&["decide::serving_duty_lease::expired_term_is_renewed_if_nobody_held_since"]),
        ],
        &[
            Test(&["decide::serving_duty_lease::append_carried_out_after_the_term_gives_no_token"]),
            Test(&["decide::serving_duty_lease::lost_answer_is_resolved_by_reading"]),
            Test(&[MODEL]),
        ],
        &[
            Test(&[MODEL]),
            Test(&["gateway::duty_values::write_whose_answer_is_lost_is_found"]),
            Test(&["decide::serving_duty_lease::lost_answer_is_resolved_by_reading"]),
        ],
        &[
            Test(&["decide::serving_duty_lease::lost_record_ends_the_term"]),
            Test(&[
                "gateway::duty_values::next_holder_has_the_values_after_lost_history",
                "decide::serving_duty_lease::forgotten_history_keeps_the_term",
            ]),
            Test(&[MODEL]),
        ],
        &[
            Test(&["gateway::duties::lease_is_acquired_anew_after_a_return_of_the_store"]),
            Test(&["decide::serving_duty_lease::own_record_of_an_earlier_era_gives_no_term"]),
            Test(&["decide::serving_duty_lease::era_ends_the_term"]),
        ],
        &[
            Test(&[
                "gateway::duties::one_of_several_instances_holds_the_lease",
                "decide::serving_duty_lease::of_two_candidates_one_acquires",
            ]),
            Test(&["gateway::duty_values::write_without_the_lease_fails"]),
            Test(&["decide::serving_duty_lease::conflict_ends_the_term_for_good"]),
        ],
        &[
            Test(&[
                "gateway::duties::leader_without_duties_does_not_keep_others_from_the_lease",
                "gateway::duties::malformed_datagrams_do_no_harm",
            ]),
            NO_MESSAGE,
            Test(&["gateway::duty_values::duty_messages_are_decoded"]),
        ],
    ],
};
