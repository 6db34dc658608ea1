//! Links between hosts: budgets, the HTTP client and silent-connection detection.
