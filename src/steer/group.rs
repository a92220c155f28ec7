//! The targets of one service in this zone, as this host sees them: pick and admission.
