import { createHash } from 'node:crypto';
import { type Fingerprint, toId } from '@lovagearch/common';
import type { RequestCrash } from '@lovagearch/containment';
import { STRIKES_PREFIX } from './clusterState.js';
import { MAX_PUBLISHED_STRIKES } from './constants.js';
import type { GatewayLog } from './gatewayLog.js';
import type { SharedTable } from './types.js';

/** Computes the fingerprint of a request, which is equal for the same account, path and body. */
export const computeFingerprint = (
  account: string,
  path: string,
  body: Buffer | undefined,
): Fingerprint => {
  const hash = createHash('sha1').update(account).update('\n').update(path).update('\n');
  if (body !== undefined) hash.update(body);
  return toId<Fingerprint>(hash.digest('base64url'));
};

/** Publishes the strikes that this node recorded, several in one write. */
export class StrikePublisher {
  private readonly recentStrikes: RequestCrash[] = [];

  private hasUnpublishedStrikes = false;

  private isWriting = false;

  private constructor(
    private readonly nodeName: string,
    private readonly shared: SharedTable,
    private readonly log: GatewayLog,
  ) {}

  static create(nodeName: string, shared: SharedTable, log: GatewayLog): StrikePublisher {
    return new StrikePublisher(nodeName, shared, log);
  }

  addStrike(strike: RequestCrash): void {
    this.recentStrikes.push(strike);
    if (this.recentStrikes.length > MAX_PUBLISHED_STRIKES) this.recentStrikes.shift();
    this.hasUnpublishedStrikes = true;
  }

  /** Writes the recent strikes if there are new ones; a failed write is retried by the next call. */
  async publish(): Promise<void> {
    if (!this.hasUnpublishedStrikes || this.isWriting) return;
    this.isWriting = true;
    this.hasUnpublishedStrikes = false;
    const strikes = this.recentStrikes.map(({ fingerprint, endpointStart }) => [
      fingerprint,
      endpointStart,
    ]);
    const isWritten = await this.shared.write(`${STRIKES_PREFIX}${this.nodeName}`, { strikes });
    this.isWriting = false;
    if (isWritten) return;
    this.hasUnpublishedStrikes = true;
    this.log.logStateChange('strikes_not_published', { strikes: strikes.length });
  }
}
