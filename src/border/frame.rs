//! Types of frames between entry hosts (placeholder until schema/frame.json is there).
