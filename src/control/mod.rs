//! Control: the planner lease, the plan and the membership of entry hosts. Pure, like [`crate::steer`].
