import type { EndpointId } from '@lovagearch/common';
import type { EndpointRecord } from './nodeEndpointRecord.js';
import type { EndpointView } from './types.js';

/** Lifetime of cached views of endpoints in this node's region, in milliseconds. */
export const OWN_VIEW_MS = 250;
/** Lifetime of cached views of endpoints in other regions, in milliseconds. */
export const FOREIGN_VIEW_MS = 1_000;

interface KeptView {
  readonly record: EndpointRecord;
  readonly revision: number;
  readonly createdMs: number;
  readonly view: EndpointView;
}

/**
 * Caches endpoint views between requests, because creating 3,500 views takes about 10 ms. A view is
 * recreated when the endpoint's record or rows change, and after a short time, because its ages
 * grow without any message.
 */
export class EndpointViewCache {
  private readonly kept = new Map<EndpointId, KeptView>();

  static create(): EndpointViewCache {
    return new EndpointViewCache();
  }

  /**
   * Returns the cached view, or creates and caches one.
   *
   * @param revision changes whenever the endpoint's rows change
   * @param maxAgeMs largest age of a cached view
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

  /** Removes all views; called when the endpoints of the VM list are replaced. */
  removeAll(): void {
    this.kept.clear();
  }
}
