/**
 * Account limits over all nodes, the fair queue, load shedding and the retry budget.
 */
export {};
