import { BoundedMap } from '@lovagearch/common';
import { MAX_SEGMENTS_PER_STORE, STORE_HIGH_WATERMARK, STORE_LOW_WATERMARK } from './constants.js';

/** A segment of KV cache data on a store VM, as known to the node that watches the store. */
export interface CatalogSegment {
  readonly segmentId: string;
  readonly anchor: string;
  readonly bytes: number;
  readonly depth: number;
  /** Probability that the segment is used again, from 0 to 1. */
  readonly returnChance: number;
  readonly usedAtMs: number;
}

/**
 * Chooses the segments that a store VM evicts when it fills up: those with the lowest expected
 * benefit per byte. The benefit decays with the time since the last use.
 */
export class SegmentCatalog {
  private readonly segments = BoundedMap.create<string, CatalogSegment>(MAX_SEGMENTS_PER_STORE);

  private constructor(private readonly retentionMs: number) {}

  /** @param retentionMs time after which an unused segment has no value, in milliseconds */
  static create(retentionMs: number): SegmentCatalog {
    return new SegmentCatalog(retentionMs);
  }

  get size(): number {
    return this.segments.size;
  }

  add(segment: CatalogSegment): void {
    this.segments.set(segment.segmentId, segment);
  }

  get(segmentId: string): CatalogSegment | undefined {
    return this.segments.peek(segmentId);
  }

  remove(segmentId: string): void {
    this.segments.delete(segmentId);
  }

  /** Records that a request imported a segment. */
  recordUse(segmentId: string, nowMs: number): void {
    const segment = this.segments.peek(segmentId);
    if (segment === undefined) return;
    const returnChance = 1 - (1 - segment.returnChance) * 0.5;
    this.segments.set(segmentId, { ...segment, usedAtMs: nowMs, returnChance });
  }

  /**
   * Chooses the segments to evict, least valuable first.
   *
   * @param usedBytes bytes in use as reported by the store VM
   * @param capacityBytes capacity as reported by the store VM
   */
  chooseEvictions(usedBytes: number, capacityBytes: number, nowMs: number): CatalogSegment[] {
    if (usedBytes <= capacityBytes * STORE_HIGH_WATERMARK) return [];
    let excessBytes = usedBytes - capacityBytes * STORE_LOW_WATERMARK;
    const ranked = [...this.segments.values()]
      .map((segment) => ({ segment, value: this.computeValue(segment, nowMs) }))
      .sort((a, b) => a.value - b.value);
    const evictions: CatalogSegment[] = [];
    for (const { segment } of ranked) {
      if (excessBytes <= 0) break;
      evictions.push(segment);
      excessBytes -= segment.bytes;
    }
    return evictions;
  }

  /**
   * Value per byte. The recompute time saved is proportional to the size, so the size cancels out.
   */
  private computeValue(segment: CatalogSegment, nowMs: number): number {
    const idleMs = nowMs - segment.usedAtMs;
    return segment.returnChance * Math.max(0, 1 - idleMs / this.retentionMs);
  }
}
