//! What each branch may use: shares, the fair queue and admission.
