import type { EndpointId } from '@lovagearch/common';
import type { EndpointRecord } from './nodeEndpointRecord.js';
import type { EndpointView } from './types.js';

/** Longest time for which the view of an endpoint of the own region is kept, in milliseconds. */
export const OWN_VIEW_MS = 250;
/** Longest time for which the view of an endpoint of another region is kept, in milliseconds. */
export const FOREIGN_VIEW_MS = 1_000;

interface KeptView {
  readonly record: EndpointRecord;
  readonly revision: number;
  readonly createdMs: number;
  readonly view: EndpointView;
}

/**
 * Views of endpoints that are kept between requests: creating those of 3,500 endpoints takes about
 * 10 ms. A view is created again when the endpoint's record or rows change, and after a short time,
 * because ages grow without any message.
 */
export class EndpointViewCache {
  private readonly kept = new Map<EndpointId, KeptView>();

  static create(): EndpointViewCache {
    return new EndpointViewCache();
  }

  /**
   * Returns the kept view or creates one.
   *
   * @param revision changes with each change of the endpoint's rows
   * @param maxAgeMs longest time for which the view may be kept
   */
  get(
    record: EndpointRecord,
    revision: number,
    nowMs: number,
    maxAgeMs: number,
    createView: () => EndpointView,
  ): EndpointView {
    const kept = this.kept.get(record.id);
    const isCurrent =
      kept?.record === record && kept.revision === revision && nowMs - kept.createdMs < maxAgeMs;
    if (isCurrent) return kept.view;
    const view = createView();
    this.kept.set(record.id, { record, revision, createdMs: nowMs, view });
    return view;
  }

  /** Forgets all views; called when the endpoints of the VM list are replaced. */
  removeAll(): void {
    this.kept.clear();
  }
}
