/**
 * Chooses a runner for each request and keeps load estimates and link budgets.
 */
export {};
