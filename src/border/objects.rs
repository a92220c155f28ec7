//! Types of objects kept in the platform (placeholder until schema/objects.json is there).
