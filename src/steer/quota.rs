//! What this host may send to another region or over a link.
