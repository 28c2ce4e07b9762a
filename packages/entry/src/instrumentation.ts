import type { Metrics } from '@lovagearch/common';
import type { Admission, Containment, RunCoordinator } from './types.js';

/**
 * Wraps an admission controller: counts admitted and rejected requests by account and class, and
 * records the time in the queue in milliseconds.
 *
 * @example
 * const instrumented = createInstrumentedAdmission(admission, metrics);
 */
export const createInstrumentedAdmission = (admission: Admission, metrics: Metrics): Admission => ({
  admit: (request) => {
    const labels = { account: request.account, class: request.requestClass };
    return admission
      .admit(request)
      .map((ticket) => {
        metrics.addCount('requests_admitted', labels);
        metrics.recordMs('queue_ms', ticket.queuedMs, labels);
        return ticket;
      })
      .mapErr((error) => {
        metrics.addCount('requests_not_admitted', { ...labels, type: error.type });
        return error;
      });
  },
  tryTakeRetry: (account) => {
    const isTaken = admission.tryTakeRetry(account);
    metrics.addCount(isTaken ? 'retries_taken' : 'retries_refused', { account });
    return isTaken;
  },
});

/** Wraps a run coordinator: counts by account how runs begin and end. */
export const createInstrumentedRunCoordinator = (
  runs: RunCoordinator,
  metrics: Metrics,
): RunCoordinator => ({
  begin: (account, key, bodyHash) =>
    runs
      .begin(account, key, bodyHash)
      .map((result) => {
        metrics.addCount('runs_begun', { account, type: result.type });
        return result;
      })
      .mapErr((error) => {
        metrics.addCount('runs_refused', { account, type: error.type });
        return error;
      }),
  finish: (grant, response) => {
    metrics.addCount('runs_ended', { account: grant.account, type: 'finished' });
    return runs.finish(grant, response);
  },
  release: (grant) => {
    metrics.addCount('runs_ended', { account: grant.account, type: 'released' });
    return runs.release(grant);
  },
  abandon: (grant) => {
    metrics.addCount('runs_ended', { account: grant.account, type: 'abandoned' });
    runs.abandon(grant);
  },
});

/** Wraps a containment: counts checks other than `clear`, by type, and endpoint crashes. */
export const createInstrumentedContainment = (
  containment: Containment,
  metrics: Metrics,
): Containment => ({
  check: (fingerprint) => {
    const decision = containment.check(fingerprint);
    if (decision.type !== 'clear') metrics.addCount('containment_checks', { type: decision.type });
    return decision;
  },
  recordStart: containment.recordStart,
  recordOutput: containment.recordOutput,
  recordEnd: (endpoint, fingerprint, outcome) => {
    if (outcome === 'crashed') metrics.addCount('endpoint_crashes');
    containment.recordEnd(endpoint, fingerprint, outcome);
  },
});
