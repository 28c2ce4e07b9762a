import type { EndpointId } from '@lovagearch/common';
import type { EndpointRecord } from './endpointRecord.js';
import type { EndpointView } from './types.js';

/** Lifetime of cached views of endpoints in this node's region, in milliseconds. */
export const OWN_REGION_VIEW_TTL_MS = 250;
/** Lifetime of cached views of endpoints in other regions, in milliseconds. */
export const OTHER_REGION_VIEW_TTL_MS = 1_000;

interface CachedView {
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
  private readonly cachedViews = new Map<EndpointId, CachedView>();

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
    const cached = this.cachedViews.get(record.id);
    const isCurrent =
      cached?.record === record &&
      cached.revision === revision &&
      nowMs - cached.createdMs < maxAgeMs;
    if (isCurrent) return cached.view;
    const view = createView();
    this.cachedViews.set(record.id, { record, revision, createdMs: nowMs, view });
    return view;
  }

  /** Removes all views; called when the endpoints of the VM list are replaced. */
  clear(): void {
    this.cachedViews.clear();
  }
}
