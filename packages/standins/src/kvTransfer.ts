import { computeSha256Hex } from '@lovagearch/common';
import { Agent, request } from 'undici';
import type { KvSource } from './engineSchemas.js';
import { computePayload, decodeSegment, encodeSegment } from './kvSegment.js';

const TRANSFER_TIMEOUT_MS = 30_000;
const MAX_SEGMENT_BYTES = 268_435_456;

export interface ImportedBlocks {
  /** Keys of the blocks 1 to depth, verified against the request's own keys. */
  readonly keys: readonly string[];
  /** Keys whose payload is not the one that belongs to them; only a test double can tell. */
  readonly wrongKeys: readonly string[];
}

export interface ExportedSegment {
  readonly sha256: string;
  readonly bytes: number;
}

/** Moves segments between the engine stand-in and store VMs. */
export class KvTransfer {
  private readonly agent = new Agent({ pipelining: 1, maxResponseSize: MAX_SEGMENT_BYTES });

  private constructor(private readonly kvBytesPerToken: number) {}

  static create(kvBytesPerToken: number): KvTransfer {
    return new KvTransfer(kvBytesPerToken);
  }

  /** Fetches and verifies a segment; any mismatch is a miss and returns undefined. */
  async import(
    source: KvSource,
    expectedKeys: readonly string[],
  ): Promise<ImportedBlocks | undefined> {
    try {
      return await this.runImport(source, expectedKeys);
    } catch {
      // A store VM that fails is a cache miss, never a failed request.
      return undefined;
    }
  }

  /** Writes a segment to a store VM; returns undefined if the store VM did not take it. */
  async export(
    target: string,
    tailKey: string,
    keys: readonly string[],
  ): Promise<ExportedSegment | undefined> {
    const body = encodeSegment(keys, this.kvBytesPerToken);
    const sha256 = computeSha256Hex(body);
    try {
      const response = await request(`${target}/v1/segments/${tailKey}`, {
        dispatcher: this.agent,
        method: 'PUT',
        headers: {
          'content-type': 'application/octet-stream',
          'x-length': String(body.length),
          'x-sha256': sha256,
          'x-depth': String(keys.length),
        },
        body,
        signal: AbortSignal.timeout(TRANSFER_TIMEOUT_MS),
      });
      await response.body.dump();
      return response.statusCode === 201 ? { sha256, bytes: body.length } : undefined;
    } catch {
      return undefined;
    }
  }

  private async runImport(
    source: KvSource,
    expectedKeys: readonly string[],
  ): Promise<ImportedBlocks | undefined> {
    const url = `${source.url}/v1/segments/${source.segmentId}`;
    const signal = AbortSignal.timeout(TRANSFER_TIMEOUT_MS);
    const response = await request(url, { dispatcher: this.agent, signal });
    const bytes = Buffer.from(await response.body.arrayBuffer());
    const { headers } = response;
    if (response.statusCode !== 200 || headers['x-length'] !== String(bytes.length)) {
      return undefined;
    }
    const sha256 = computeSha256Hex(bytes);
    if (headers['x-sha256'] !== sha256 || source.sha256 !== sha256) return undefined;
    const blocks = decodeSegment(bytes);
    if (blocks?.length !== source.depth) return undefined;
    if (blocks.some(({ key }, index) => key !== expectedKeys[index])) return undefined;
    // The segment may have been freed or replaced while it was read.
    const after = await request(url, { dispatcher: this.agent, method: 'HEAD', signal });
    await after.body.dump();
    if (after.headers['x-generation'] !== headers['x-generation']) return undefined;
    const wrongBlocks = blocks.filter(
      ({ key, payload }) => !payload.equals(computePayload(key, this.kvBytesPerToken)),
    );
    return { keys: blocks.map(({ key }) => key), wrongKeys: wrongBlocks.map(({ key }) => key) };
  }
}
